#include "eelgrassledge/proxy/store_follower.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Part of the update bound that remains when a watch ends without an answer: covers the store's delay beyond
/// the wait, and a request to another source of updates.
constexpr duration UPDATE_RESERVE = milliseconds{1100};

/// Shortest and longest wait of one watch. Longer waits would save few calls.
constexpr duration MIN_WATCH_TIME = milliseconds{500};
constexpr duration MAX_WATCH_TIME = seconds{5};

/// Pause between two watches, so that changes in quick succession share a call.
constexpr duration WATCH_PAUSE = milliseconds{250};

/// Pauses after a failed call, doubled up to the longest, within which a recovered store is detected.
constexpr duration FIRST_BACKOFF = milliseconds{60};
constexpr duration MAX_BACKOFF = milliseconds{600};

auto backoff(std::uint32_t failures) -> duration {
    constexpr std::uint32_t MAX_DOUBLINGS = 6;
    return std::min(MAX_BACKOFF, FIRST_BACKOFF * (1U << std::min(failures, MAX_DOUBLINGS)));
}

}  // namespace

store_follower::store_follower(asio::io_context& loop, const watched_store& store, std::string prefix,
                               duration update_bound, store_replica& replica, follower_hooks hooks,
                               std::function<void()> advanced, event_log log)
    : store_(store),
      prefix_(std::move(prefix)),
      watch_time_(std::clamp<duration>(update_bound - UPDATE_RESERVE, MIN_WATCH_TIME, MAX_WATCH_TIME)),
      replica_(replica),
      hooks_(std::move(hooks)),
      advanced_(std::move(advanced)),
      log_(std::move(log)),
      timer_(loop) {}

auto store_follower::later(duration wait, std::function<void()> step) -> void {
    timer_.expires_after(wait);
    timer_.async_wait([step = std::move(step)](const asio::error_code& cancelled) {
        if (!cancelled) {
            step();
        }
    });
}

auto store_follower::list_from(const std::string& after) -> void {
    listing_ = true;
    listed_to_ = after;
    if (after.empty()) {
        listed_keys_.clear();
    }
    store_.list(prefix_, after, [this, sequence = sequence_](const result<store_page>& page) {
        if (sequence == sequence_) {
            handle_page(page);
        }
    });
}

auto store_follower::store_restored() -> void {
    ++sequence_;
    timer_.cancel();
    list_from("");
}

auto store_follower::handle_page(const result<store_page>& page) -> void {
    if (!page) {
        failed(page.error());
        return;
    }
    if (page->era < replica_.era()) {
        failed({result_code::store_unavailable, "the listing is of an older era"});
        return;
    }
    if (page->is_complete) {
        listed_keys_.clear();
    }
    if (!listed_keys_.empty() && page->era != listed_at_.era) {
        // The earlier pages are of another era, so the listing begins again.
        list_from("");
        return;
    }
    if (listed_keys_.empty()) {
        listed_items_.clear();
        listed_at_ = {page->era, page->current};
    }
    for (const auto& item : page->items) {
        listed_keys_.insert(item.key);
        if (page->era > replica_.era()) {
            listed_items_.push_back(item);
        } else {
            apply_change({item.key, item.value, item.modified}, page->era);
        }
    }
    if (page->has_more && page->last_key <= listed_to_) {
        // The next page cannot be asked for, and ending the listing here would remove the keys on it.
        failed({result_code::store_bad_answer, "a page of the listing has no readable key"});
        return;
    }
    succeeded();
    if (page->has_more) {
        list_from(page->last_key);
        return;
    }
    watched_to_ = std::max(watched_to_, listed_at_);
    finish_listing();
    watch();
}

auto store_follower::finish_listing() -> void {
    listing_ = false;
    if (listed_at_.era > replica_.era()) {
        apply_listed_era();
    } else {
        for (const auto& key : replica_.apply_listing(listed_keys_, listed_at_.revision)) {
            hooks_.removed(key);
        }
    }
    log_(log_level::info, "store_listed",
         {{"prefix", prefix_},
          {"keys", std::to_string(listed_keys_.size())},
          {"era", std::to_string(listed_at_.era.value())},
          {"revision", std::to_string(listed_at_.revision.value())}});
    hooks_.listed();
    advanced_();
}

auto store_follower::apply_listed_era() -> void {
    auto items = std::exchange(listed_items_, {});
    auto changes = replica_.apply_era(listed_at_.era, items, listed_at_.revision);
    if (!changes) {
        return;
    }
    for (const auto& one : changes->listed) {
        if (one.previous && hooks_.restored) {
            hooks_.restored(one.key, *one.previous, one.value);
        } else {
            hooks_.changed(one.key, one.value);
        }
    }
    for (const auto& key : changes->removed) {
        hooks_.removed(key);
    }
}

auto store_follower::apply_change(const store_event& change, store_era era) -> bool {
    if (!replica_.apply(change, era)) {
        return false;
    }
    if (change.value) {
        hooks_.changed(change.key, *change.value);
    } else {
        hooks_.removed(change.key);
    }
    return true;
}

auto store_follower::watch() -> void {
    store_.watch(prefix_, watched_to_, watch_time_,
                 [this, sequence = sequence_](const result<store_events>& events) {
                     if (sequence == sequence_) {
                         handle_events(events);
                     }
                 });
}

auto store_follower::handle_events(const result<store_events>& events) -> void {
    if (!events) {
        failed(events.error());
        return;
    }
    if (events->era < watched_to_.era) {
        failed({result_code::store_unavailable, "the changes are of an older era"});
        return;
    }
    if (events->era > watched_to_.era) {
        // The position of the watch means nothing in the new era, so the events may not be complete.
        failed({result_code::store_history_lost, "the changes are of a newer era"});
        return;
    }
    succeeded();
    listings_ = 0;
    if (events->is_listing) {
        listed_keys_.clear();
        listed_at_ = {events->era, events->current};
    }
    auto applied = false;
    for (const auto& event : events->events) {
        applied = apply_change(event, events->era) || applied;
        if (events->is_listing) {
            listed_keys_.insert(event.key);
        }
    }
    watched_to_ = std::max(watched_to_, {events->era, events->current});
    replica_.advance(watched_to_.revision);
    if (events->is_listing) {
        finish_listing();
    }
    if (!applied) {
        watch();
        return;
    }
    advanced_();
    later(WATCH_PAUSE, [this] { watch(); });
}

auto store_follower::succeeded() -> void {
    if (failures_ > 0) {
        log_(log_level::info, "news_regained",
             {{"prefix", prefix_}, {"failures", std::to_string(failures_)}});
    }
    failures_ = 0;
}

auto store_follower::failed(const error& cause) -> void {
    auto is_history_lost = cause.code == result_code::store_history_lost;
    if (!listing_ && (is_history_lost || cause.code == result_code::store_bad_answer)) {
        log_(log_level::warning, is_history_lost ? "store_history_lost" : "store_answer_unreadable",
             {{"prefix", prefix_},
              {"revision", std::to_string(watched_to_.revision.value())},
              {"reason", cause.message}});
        // The first listing starts at once. Further ones back off, so that a store that keeps no history at
        // all is not listed continuously.
        auto wait = listings_ == 0 ? duration{} : backoff(listings_);
        ++listings_;
        later(wait, [this] { list_from(""); });
        return;
    }
    if (failures_ == 0) {
        log_(log_level::warning, "news_lost", {{"prefix", prefix_}, {"reason", cause.message}});
    }
    auto wait = backoff(failures_);
    ++failures_;
    later(wait, [this] {
        if (listing_) {
            list_from(listed_to_);
        } else {
            watch();
        }
    });
}

}  // namespace eelgrassledge
