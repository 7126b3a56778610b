#include "eelgrassledge/proxy/quota_exchange.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "eelgrassledge/core/stable_hash.hpp"
#include "eelgrassledge/proxy/peer_protocol.hpp"
#include "eelgrassledge/proxy/quota_messages.hpp"

namespace eelgrassledge {

namespace {

/// Timeout of a request to an allocator. Much longer than a round trip between zones, so that an instance
/// that waits for processor time is not passed over.
constexpr duration ASK_TIMEOUT = milliseconds{100};

}  // namespace

quota_exchange::quota_exchange(network_context& network, const watched_store& store, quota_settings settings,
                               instance_directory& instances, table_source table, event_log log,
                               metrics& counters)
    : store_(store),
      settings_(std::move(settings)),
      instances_(instances),
      table_(std::move(table)),
      log_(std::move(log)),
      counters_(counters),
      peers_(network),
      election_(settings_.election),
      client_(settings_.own_zone) {}

auto quota_exchange::ask(const team& owner, std::function<void(quota_decision)> on_decision) -> void {
    if (auto granted = client_.take_returned(owner.name, monotonic_now())) {
        on_decision({quota_verdict::granted, {}, *granted});
        return;
    }
    team limits{owner.name, owner.priority, owner.rate_per_s, owner.burst, {}};
    advance(std::make_shared<open_inquiry>(open_inquiry{std::move(limits), {}, std::move(on_decision)}));
}

auto quota_exchange::returned(const team& owner, time_point granted) -> void {
    client_.give_back(owner.name, granted, monotonic_now());
}

auto quota_exchange::advance(const shared_inquiry& inquiry) -> void {
    auto now = monotonic_now();
    auto zone = client_.next_zone(inquiry->owner, settings_.split, inquiry->progress, now);
    if (!zone) {
        auto decision = quota_client::conclude(inquiry->progress);
        counters_.count("eelgrassledge_quota_decisions_total",
                        {{"verdict", std::string{to_string(decision.verdict)}}});
        inquiry->on_decision(decision);
        return;
    }
    auto found = owners_.find(*zone);
    if (found == owners_.end()) {
        take_answer(inquiry, *zone, {});
        return;
    }
    const auto& id = found->second.id;
    if (id == settings_.election.self.id) {
        take_answer(inquiry, *zone, grant_here(inquiry->owner, now));
        return;
    }
    auto others = instances_.others();
    auto allocator = std::find_if(others.begin(), others.end(),
                                  [&](const instance_record& record) { return record.id == id; });
    if (allocator == others.end() || !instances_.is_usable(id, now)) {
        take_answer(inquiry, *zone, {});
        return;
    }
    ask_peer(inquiry, *zone, *allocator);
}

auto quota_exchange::ask_peer(const shared_inquiry& inquiry, const zone_id& zone,
                              const instance_record& allocator) -> void {
    peer_calls::order call;
    call.call = attempt_id{next_call_++};
    call.to = allocator;
    call.bytes = to_bytes(make_quota_request(allocator.peer_address, inquiry->owner.name));
    call.confirm_within = ASK_TIMEOUT;
    call.answer_within = ASK_TIMEOUT;
    call.on_done = [this, inquiry, zone, id = allocator.id](const peer_call_result& reply) {
        auto is_answered = reply.end == peer_call_end::answered;
        if (is_answered) {
            instances_.answered(id);
        } else if (!is_not_taken(reply.answer.headers)) {
            // Otherwise each request of a team above its limit waits for the timeout.
            instances_.failed(id, monotonic_now());
        }
        auto decision = is_answered && reply.answer.status == 200 ? read_quota_answer(reply.answer.headers)
                                                                  : quota_decision{};
        take_answer(inquiry, zone, decision);
    };
    peers_.start(std::move(call));
}

auto quota_exchange::take_answer(const shared_inquiry& inquiry, const zone_id& zone,
                                 const quota_decision& decision) -> void {
    auto now = monotonic_now();
    client_.answered(inquiry->owner, zone, decision, inquiry->progress, now);
    if (decision.verdict != quota_verdict::granted) {
        advance(inquiry);
        return;
    }
    counters_.count("eelgrassledge_quota_decisions_total", {{"verdict", "granted"}});
    inquiry->on_decision({quota_verdict::granted, {}, now});
}

auto quota_exchange::grant_here(const team& owner, time_point now) -> quota_decision {
    if (!election_.may_grant(now)) {
        return {};
    }
    if (granting_since_ != election_.granting_since()) {
        granting_since_ = election_.granting_since();
        allocator_.start(granting_since_);
    }
    // The limits of the configuration in force here, which may be newer than the asking instance's.
    const auto& table = table_();
    const auto* known = table ? table->team_named(owner.name) : nullptr;
    if (known == nullptr) {
        return {};
    }
    if (!known->has_quota()) {
        return {quota_verdict::granted, {}};
    }
    return allocator_.ask(*known, share_of(*known, settings_.split, settings_.own_zone), now);
}

auto quota_exchange::is_quota_request(const inbound_request& request) -> bool {
    return read_quota_request(request).has_value();
}

auto quota_exchange::handle(const shared_session& session, const inbound_request& request) -> void {
    team asked;
    asked.name = read_quota_request(request).value_or(team_id{});
    auto decision = grant_here(asked, monotonic_now());
    counters_.count("eelgrassledge_quota_grants_total",
                    {{"verdict", std::string{to_string(decision.verdict)}}});
    session->respond(make_quota_answer(decision));
}

auto quota_exchange::key_changed(const zone_id& zone, const std::string& value, store_position at) -> void {
    auto key = decode_allocator(value);
    if (!key) {
        log_(log_level::warning, "allocator_unreadable",
             {{"zone", zone.value()}, {"reason", key.error().message}});
        if (zone == settings_.own_zone) {
            election_.key_unreadable(at.revision, monotonic_now());
        }
        return;
    }
    log_(log_level::info, "allocator_seen",
         {{"zone", zone.value()},
          {"peer", key->owner.id.value()},
          {"start", std::to_string(key->owner.number)},
          {"settled_in", std::to_string(key->settled_in.value())}});
    owners_[zone] = key->owner;
    lapsing_owners_.erase(zone);
    if (zone == settings_.own_zone) {
        election_.set_era(at.era);
        election_.key_seen(*key, at.revision, monotonic_now());
    }
}

auto quota_exchange::key_removed(const zone_id& zone) -> void {
    log_(log_level::info, "allocator_gone", {{"zone", zone.value()}});
    auto now = monotonic_now();
    if (now < keys_uncertain_until_) {
        lapsing_owners_[zone] = keys_uncertain_until_;
    } else {
        owners_.erase(zone);
    }
    if (zone == settings_.own_zone) {
        election_.key_removed(now);
    }
}

auto quota_exchange::listed() -> void {
    election_.listed(monotonic_now());
}

auto quota_exchange::store_restored() -> void {
    auto now = monotonic_now();
    keys_uncertain_until_ = now + settings_.election.time_to_live;
    election_.store_restored(now);
}

auto quota_exchange::lease_renewed(lease_id lease, time_point asked) -> void {
    election_.lease_renewed(lease, asked);
}

auto quota_exchange::lease_lost() -> void {
    election_.lease_lost();
}

auto quota_exchange::stop() -> void {
    election_.stop();
}

auto quota_exchange::rank(time_point now) const -> std::size_t {
    auto candidates = instances_.all_in(settings_.own_zone);
    const auto& self = instances_.self();
    auto place = [](const instance_record& record) {
        return std::tuple{-record.capacity, stable_hash(record.id.value()), record.id};
    };
    return static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(), [&](const instance_record& record) {
            return place(record) < place(self) && instances_.is_usable(record.id, now);
        }));
}

auto quota_exchange::write_key(const quota_election::write_order& order) -> void {
    const auto& self = settings_.election.self;
    store_.put_if(
        settings_.key_prefix + settings_.own_zone.value(), encode_allocator({self, order.settled_in}),
        order.lease, order.expected, [this](const result<bool>& written) {
            if (!written) {
                log_(log_level::info, "allocator_not_written", {{"reason", written.error().message}});
            }
            election_.written(written.has_value(), monotonic_now());
        });
}

auto quota_exchange::log_changes(time_point now) -> void {
    auto grants = election_.may_grant(now);
    if (grants != was_granting_) {
        was_granting_ = grants;
        log_(log_level::info, grants ? "allocator_begins" : "allocator_ends",
             {{"zone", settings_.own_zone.value()}, {"teams", std::to_string(allocator_.size())}});
    }
}

auto quota_exchange::tick(store_era era, time_point now) -> void {
    std::erase_if(lapsing_owners_, [&](const auto& lapsing) {
        if (now < lapsing.second) {
            return false;
        }
        owners_.erase(lapsing.first);
        return true;
    });
    const auto& table = table_();
    if (table && table->has_quotas()) {
        election_.set_era(era);
        if (auto order = election_.next_write(rank(now), now)) {
            write_key(*order);
        }
    }
    log_changes(now);
    allocator_.sweep(now, settings_.split.window);
    client_.sweep(now);
    peers_.sweep(now);
}

}  // namespace eelgrassledge
