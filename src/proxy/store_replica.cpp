#include "eelgrassledge/proxy/store_replica.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Removals that are held; an instance that is further behind receives a full listing.
constexpr std::size_t MAX_REMOVALS = 4096;

}  // namespace

auto store_replica::apply(const store_event& change, store_era era) -> bool {
    if (era != era_) {
        return false;
    }
    auto found = entries_.find(change.key);
    auto newest_known = found != entries_.end() ? found->second.revision : history_start_;
    if (change.revision <= newest_known && (found != entries_.end() || listed_)) {
        return false;
    }
    entries_[change.key] = {change.value, change.revision};
    if (!change.value) {
        note_removal(change.key, change.revision);
    }
    return true;
}

auto store_replica::note_removal(const std::string& key, mod_revision at) -> void {
    removals_.push_back({key, at});
    if (removals_.size() <= MAX_REMOVALS) {
        return;
    }
    auto dropped = std::move(removals_.front());
    removals_.pop_front();
    history_start_ = std::max(history_start_, dropped.revision);
    auto found = entries_.find(dropped.key);
    if (found != entries_.end() && !found->second.value && found->second.revision <= history_start_) {
        entries_.erase(found);
    }
}

auto store_replica::apply_listing(const std::set<std::string>& keys, mod_revision at)
    -> std::vector<std::string> {
    std::vector<std::string> removed;
    for (const auto& [key, known] : entries_) {
        // A key as new as the listing was present when the listing began, or was added since: if it is
        // missing, a watch after `at` reports its removal.
        if (known.value && known.revision < at && !keys.contains(key)) {
            removed.push_back(key);
        }
    }
    for (const auto& key : removed) {
        apply({key, std::nullopt, at}, era_);
    }
    if (!listed_) {
        listed_ = true;
        history_start_ = std::max(history_start_, at);
    }
    advance(at);
    return removed;
}

auto store_replica::apply_era(store_era era, const std::vector<key_value>& items, mod_revision at)
    -> std::optional<era_changes> {
    if (era <= era_) {
        return std::nullopt;
    }
    era_changes changes;
    auto previous = std::exchange(entries_, {});
    for (const auto& item : items) {
        auto known = previous.find(item.key);
        changes.listed.push_back(
            {item.key, item.value, known != previous.end() ? known->second.value : std::nullopt});
        entries_[item.key] = {item.value, item.modified};
    }
    for (const auto& [key, known] : previous) {
        if (known.value && !entries_.contains(key)) {
            changes.removed.push_back(key);
        }
    }
    removals_.clear();
    era_ = era;
    history_start_ = at;
    current_ = at;
    listed_ = true;
    return changes;
}

auto store_replica::revision_of(const std::string& key) const -> mod_revision {
    auto found = entries_.find(key);
    return found != entries_.end() && found->second.value ? found->second.revision : mod_revision{};
}

auto store_replica::after(store_position seen, time_point now) const -> result<feed_answer> {
    if (!listed_) {
        return fail(result_code::store_unavailable, "the store has not been listed yet");
    }
    feed_answer answer;
    answer.age = age(now);
    answer.changes.current = current_;
    answer.changes.era = era_;
    answer.changes.is_listing = seen < store_position{era_, history_start_};
    if (!answer.changes.is_listing && !has_changes_after(seen)) {
        return answer;
    }
    for (const auto& [key, known] : entries_) {
        if (answer.changes.is_listing ? known.value.has_value() : known.revision > seen.revision) {
            answer.changes.events.push_back({key, known.value, known.revision});
        }
    }
    return answer;
}

}  // namespace eelgrassledge
