#include "eelgrassledge/proxy/feed_source.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

namespace eelgrassledge {

namespace {

/// Smallest zone in which instances follow a relay: with fewer instances, the calls saved do not outweigh the
/// longer path.
constexpr std::size_t MIN_ZONE_INSTANCES = 5;

/// Instances per relay, so that a relay's work for its followers stays below a hundredth of a core.
constexpr std::size_t FOLLOWERS_PER_RELAY = 40;

/// Wait of one watch of the store while other instances follow this one. They detect within about this time
/// that it no longer receives updates from the store.
constexpr duration RELAY_WATCH_TIME = milliseconds{500};

/// Greatest age at which the data of another instance counts as complete: the duration of its own watch, plus
/// that of one that was just missed.
constexpr duration MAX_AGE = milliseconds{1300};

/// Time beyond `MAX_PEER_WAIT` after which another instance counts as unresponsive.
constexpr duration PEER_RESPONSE_MARGIN = milliseconds{400};
/// Longest time for which another instance delays its answer while it has no changes.
constexpr duration MAX_PEER_WAIT = milliseconds{500};

/// Time after a store outage during which entries that disappear may have lapsed because of it and may
/// return.
constexpr duration RECENT_OUTAGE_TIME = seconds{5};

/// Wait of a watch that only checks whether the store answers.
constexpr duration PROBE_WAIT = milliseconds{1};

/// Pauses between such checks, doubled up to the longest, within which a recovered store is detected.
constexpr duration FIRST_PROBE_PAUSE = milliseconds{60};
constexpr duration MAX_PROBE_PAUSE = milliseconds{600};

constexpr const char* STORE_NAME = "store";

/// Whether an error means that the store does not serve this instance; other errors are answers of the store.
auto is_store_unavailable(const error& fault) -> bool {
    return fault.code == result_code::store_unavailable || fault.code == result_code::store_unclear;
}

/// Why an instance whose data is too old is passed over.
auto outdated(duration age) -> std::string {
    return fmt::format("its data is {} ms old", age / milliseconds{1});
}

/// Converts a listing from another instance to a complete page; nothing if an entry has no value.
auto to_page(store_events listing) -> std::optional<store_page> {
    store_page page;
    page.is_complete = true;
    page.current = listing.current;
    page.era = listing.era;
    for (auto& event : listing.events) {
        if (!event.value) {
            return std::nullopt;
        }
        page.items.push_back({std::move(event.key), std::move(*event.value), event.revision});
    }
    return page;
}

/// Sorts instances in an order that depends only on their ids and `salt`.
auto sorted_for(std::vector<instance_record> records, const std::string& salt)
    -> std::vector<instance_record> {
    auto order = [&](const instance_record& record) {
        return std::pair{std::hash<std::string>{}(salt + record.id.value()), record.id};
    };
    std::sort(records.begin(), records.end(),
              [&](const instance_record& a, const instance_record& b) { return order(a) < order(b); });
    return records;
}

}  // namespace

feed_source::feed_source(network_context& network, const watched_store& store, const feed_server& server,
                         instance_directory& instances, store_eras& eras, std::vector<std::string> seeds,
                         event_log log)
    : store_(store),
      server_(server),
      instances_(instances),
      eras_(eras),
      seeds_(std::move(seeds)),
      log_(std::move(log)),
      peers_(network) {}

auto feed_source::hooks() -> watched_store {
    auto hooks = store_;
    hooks.watch = [this](const std::string& prefix, store_position after, duration wait, events_done done) {
        watch(prefix, after, wait, std::move(done));
    };
    hooks.list = [this](const std::string& prefix, const std::string& after, page_done done) {
        list(prefix, after, std::move(done));
    };
    return hooks;
}

auto feed_source::had_recent_outage(time_point now) const -> bool {
    return last_outage_ && now - *last_outage_ < RECENT_OUTAGE_TIME;
}

auto feed_source::store_restored() -> void {
    last_outage_ = monotonic_now();
    awaits_listing_ = true;
}

auto feed_source::confirm(time_point at) const -> void {
    if (confirmed_) {
        confirmed_(at);
    }
}

auto feed_source::set_source(const std::string& source) -> void {
    if (source != source_) {
        log_(log_level::info, "feed_source_changed",
             {{"from", source_.empty() ? "none" : source_}, {"to", source}});
        source_ = source;
    }
}

auto feed_source::log_changes(const store_events& changes, const std::string& from, duration age) const
    -> void {
    if (!changes.events.empty()) {
        log_(log_level::info, "changes_taken",
             {{"from", from},
              {"era", std::to_string(changes.era.value())},
              {"revision", std::to_string(changes.current.value())},
              {"changes", std::to_string(changes.events.size())},
              {"age_ms", std::to_string(age / milliseconds{1})}});
    }
}

auto feed_source::store_became_unavailable(const error& cause) -> void {
    auto now = monotonic_now();
    last_outage_ = now;
    if (store_failure_) {
        return;
    }
    log_(log_level::warning, "store_lost", {{"reason", cause.message}});
    store_failure_ = cause;
    probe_pause_ = FIRST_PROBE_PAUSE;
    next_probe_ = now + probe_pause_;
}

auto feed_source::store_became_available() -> void {
    if (store_failure_) {
        log_(log_level::info, "store_regained", {{"lost_by", store_failure_->message}});
        store_failure_.reset();
    }
}

auto feed_source::probe_store(const std::string& prefix, store_position after) -> void {
    if (probing_ || monotonic_now() < next_probe_) {
        return;
    }
    probing_ = true;
    store_.watch(prefix, after, PROBE_WAIT, [this](const result<store_events>& events) {
        probing_ = false;
        if (events || !is_store_unavailable(events.error())) {
            store_became_available();
            return;
        }
        probe_pause_ = std::min(MAX_PROBE_PAUSE, 2 * probe_pause_);
        next_probe_ = monotonic_now() + probe_pause_;
    });
}

auto feed_source::list(const std::string& prefix, const std::string& after, page_done on_done) -> void {
    if (store_failure_) {
        probe_store(prefix, {});
        list_from_peer(*store_failure_, std::move(on_done));
        return;
    }
    auto began = monotonic_now();
    store_.list(prefix, after, [this, began, on_done = std::move(on_done)](result<store_page> page) {
        if (!page && is_store_unavailable(page.error())) {
            store_became_unavailable(page.error());
            list_from_peer(page.error(), on_done);
            return;
        }
        if (page && !page->has_more) {
            listing_received();
            confirm(began);
        }
        on_done(std::move(page));
    });
}

auto feed_source::listing_received() -> void {
    if (std::exchange(awaits_listing_, false)) {
        // The store may have been unavailable for long since it was restored; the entries that disappear by
        // this listing disappear only now.
        last_outage_ = monotonic_now();
    }
}

auto feed_source::list_from_peer(const error& cause, page_done on_done) -> void {
    auto peer = choose_peer(monotonic_now());
    if (!peer) {
        on_done(tl::unexpected<error>{cause});
        return;
    }
    // No replica holds the history since the first revision, so the answer is a listing.
    request_changes(*peer, {},
                    [this, peer = *peer, cause, on_done = std::move(on_done)](result<feed_answer> answer) {
                        if (!answer || !answer->changes.is_listing) {
                            pass_over(peer, answer ? "no listing" : answer.error().message);
                            on_done(tl::unexpected<error>{cause});
                            return;
                        }
                        auto age = answer->age;
                        auto page = to_page(std::move(answer->changes));
                        if (!page) {
                            pass_over(peer, "an entry of its listing has no value");
                            on_done(tl::unexpected<error>{cause});
                            return;
                        }
                        if (age > MAX_AGE) {
                            pass_over(peer, outdated(age));
                        }
                        listing_received();
                        on_done(std::move(*page));
                    });
}

auto feed_source::choose_relay(time_point now) const -> std::optional<instance_record> {
    const auto& self = instances_.self();
    auto zone = instances_.all_in(self.zone);
    if (zone.size() < MIN_ZONE_INSTANCES) {
        return std::nullopt;
    }
    std::erase_if(zone, [&](const instance_record& record) { return !instances_.is_usable(record.id, now); });
    zone = sorted_for(std::move(zone), "");
    auto relay_count = 1 + zone.size() / FOLLOWERS_PER_RELAY;
    zone.resize(std::min(zone.size(), relay_count));
    auto is_self = [&](const instance_record& record) { return record.id == self.id; };
    if (zone.empty() || std::any_of(zone.begin(), zone.end(), is_self)) {
        return std::nullopt;
    }
    return zone[std::hash<std::string>{}(self.id.value()) % zone.size()];
}

auto feed_source::choose_peer(time_point now) -> std::optional<instance_record> {
    auto others = instances_.others();
    for (const auto& seed : seeds_) {
        auto is_known = std::any_of(others.begin(), others.end(), [&](const instance_record& record) {
            return record.peer_address == seed;
        });
        if (!is_known) {
            others.push_back({instance_id{seed}, {}, seed, 0});
        }
    }
    std::erase_if(others, [&](const instance_record& record) {
        return instances_.is_known(record.id) && !instances_.is_usable(record.id, now);
    });
    if (others.empty()) {
        return std::nullopt;
    }
    auto last = std::find_if(others.begin(), others.end(),
                             [&](const instance_record& record) { return record.id == current_peer_; });
    if (last != others.end()) {
        return *last;
    }
    others = sorted_for(std::move(others), instances_.self().id.value());
    auto next = others[next_peer_++ % others.size()];
    current_peer_ = next.id;
    return next;
}

auto feed_source::pass_over(const instance_record& peer, const std::string& reason) -> void {
    log_(log_level::info, "feed_peer_passed_over", {{"peer", peer.id.value()}, {"reason", reason}});
    current_peer_ = {};
}

auto feed_source::watch(const std::string& prefix, store_position after, duration wait, events_done on_done)
    -> void {
    if (store_failure_) {
        probe_store(prefix, after);
        watch_peer(after, *store_failure_, std::move(on_done));
    } else if (auto relay = choose_relay(monotonic_now())) {
        watch_relay(*relay, prefix, after, std::move(on_done));
    } else {
        watch_store(prefix, after, wait, std::move(on_done));
    }
}

auto feed_source::watch_store(const std::string& prefix, store_position after, duration wait,
                              events_done on_done) -> void {
    auto began = monotonic_now();
    auto bounded = server_.has_followers(began) ? std::min(wait, RELAY_WATCH_TIME) : wait;
    set_source(STORE_NAME);
    store_.watch(prefix, after, bounded,
                 [this, began, after, on_done = std::move(on_done)](result<store_events> events) {
                     if (!events && is_store_unavailable(events.error())) {
                         store_became_unavailable(events.error());
                         watch_peer(after, events.error(), on_done);
                         return;
                     }
                     if (events && events->era == after.era) {
                         log_changes(*events, STORE_NAME, monotonic_now() - began);
                         confirm(began);
                     } else {
                         // The changes since `after` are not known to be complete, so nothing is confirmed.
                         last_outage_ = monotonic_now();
                     }
                     on_done(std::move(events));
                 });
}

auto feed_source::watch_relay(const instance_record& relay, const std::string& prefix, store_position after,
                              events_done on_done) -> void {
    request_changes(relay, after,
                    [this, relay, prefix, after, on_done = std::move(on_done)](result<feed_answer> answer) {
                        if (answer && answer->age <= MAX_AGE) {
                            on_done(std::move(answer->changes));
                            return;
                        }
                        pass_over(relay, answer ? outdated(answer->age) : answer.error().message);
                        watch_store(prefix, after, RELAY_WATCH_TIME, on_done);
                    });
}

auto feed_source::watch_peer(store_position after, const error& cause, events_done on_done) -> void {
    auto peer = choose_peer(monotonic_now());
    if (!peer) {
        on_done(tl::unexpected<error>{cause});
        return;
    }
    request_changes(*peer, after,
                    [this, peer = *peer, cause, on_done = std::move(on_done)](result<feed_answer> answer) {
                        if (!answer) {
                            last_outage_ = monotonic_now();
                            pass_over(peer, answer.error().message);
                            on_done(tl::unexpected<error>{cause});
                            return;
                        }
                        if (answer->age > MAX_AGE) {
                            last_outage_ = monotonic_now();
                            pass_over(peer, outdated(answer->age));
                        }
                        on_done(std::move(answer->changes));
                    });
}

auto feed_source::request_changes(const instance_record& peer, store_position after, answer_done on_done)
    -> void {
    set_source(peer.id.value());
    peer_calls::order call;
    call.call = attempt_id{next_call_++};
    call.to = peer;
    call.bytes = fmt::format("GET / HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n\r\n", peer.peer_address,
                             FEED_AFTER_HEADER, after.revision.value(), FEED_ERA_HEADER, after.era.value());
    call.confirm_within = MAX_PEER_WAIT + PEER_RESPONSE_MARGIN;
    call.answer_within = MAX_PEER_WAIT + PEER_RESPONSE_MARGIN;
    call.on_done = [this, peer, on_done = std::move(on_done)](const peer_call_result& reply) {
        auto now = monotonic_now();
        if (reply.end != peer_call_end::answered || reply.answer.status != 200) {
            // Any answer, whatever its status, shows that the instance is reachable.
            if (reply.end != peer_call_end::answered) {
                instances_.failed(peer.id, now);
            }
            on_done(fail(result_code::bad_answer,
                         fmt::format("status {} {}", reply.answer.status, reply.answer.reason)));
            return;
        }
        instances_.answered(peer.id);
        auto answer = decode_feed_answer(reply.answer.body);
        auto order = answer ? eras_.seen(answer->changes.era) : era_order::same;
        if (order == era_order::older) {
            on_done(fail(result_code::bad_answer, "its data is of an older era of the store"));
            return;
        }
        if (answer) {
            if (order == era_order::same) {
                confirm(now - answer->age);
            }
            log_changes(answer->changes, peer.id.value(), answer->age);
            if (strikes_ && !answer->strikes.empty()) {
                strikes_(answer->strikes);
            }
            if (answer->recent_outage) {
                last_outage_ = now;
            }
        }
        on_done(std::move(answer));
    };
    peers_.start(std::move(call));
}

}  // namespace eelgrassledge
