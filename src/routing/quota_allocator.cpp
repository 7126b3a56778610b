#include "eelgrassledge/routing/quota_allocator.hpp"

#include <algorithm>
#include <chrono>
#include <functional>

namespace eelgrassledge {

namespace {

/// Part of the slack that the rounding up of bursts may use; the rest covers delayed messages.
constexpr double ROUNDING_SHARE_OF_SLACK = 0.5;

/// Longest wait that a denial proposes.
constexpr duration MAX_WAIT = seconds{5};

/// Length of the span over which denials are counted.
constexpr duration COUNTED_SPAN = seconds{1};

auto seconds_between(time_point from, time_point to) -> double {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}  // namespace

auto share_of(const team& owner, const quota_split& split, const zone_id& zone) -> quota_share {
    auto found = std::find(split.zones.begin(), split.zones.end(), zone);
    if (!owner.has_quota() || found == split.zones.end()) {
        return {};
    }
    auto zones = static_cast<double>(split.zones.size());
    auto burst = std::max(1.0, owner.burst / zones);
    if (burst * zones - owner.burst <= ROUNDING_SHARE_OF_SLACK * split.slack) {
        return {owner.rate_per_s / zones, burst};
    }
    auto only = std::hash<std::string>{}(owner.name.value()) % split.zones.size();
    auto is_only = found - split.zones.begin() == static_cast<std::ptrdiff_t>(only);
    return is_only ? quota_share{owner.rate_per_s, std::max(1.0, owner.burst)} : quota_share{};
}

auto quota_allocator::start(time_point now) -> void {
    started_ = now;
    buckets_.clear();
}

auto quota_allocator::refill(bucket& of, time_point now) -> void {
    of.tokens += of.share.rate_per_s * seconds_between(of.refilled, now);
    of.tokens = std::min(of.tokens, of.share.burst);
    of.refilled = std::max(of.refilled, now);
}

auto quota_allocator::count_denial(bucket& of, time_point now) -> double {
    if (now - of.counted_since >= COUNTED_SPAN) {
        of.denied_before = now - of.counted_since < 2 * COUNTED_SPAN ? of.denied : 0;
        of.denied = 0;
        of.counted_since = now;
    }
    of.denied += 1;
    auto remaining = 1 - seconds_between(of.counted_since, now);
    return of.denied + of.denied_before * std::max(0.0, remaining);
}

auto quota_allocator::ask(const team& owner, const quota_share& share, time_point now) -> quota_decision {
    if (share.is_empty()) {
        return {quota_verdict::denied, MAX_WAIT};
    }
    auto [place, is_new] = buckets_.try_emplace(owner.name);
    auto& of = place->second;
    if (is_new) {
        of = {1, started_, share, 0, 0, now};
    }
    refill(of, now);
    of.share = share;
    of.tokens = std::min(of.tokens, share.burst);
    if (of.tokens >= 1) {
        of.tokens -= 1;
        return {quota_verdict::granted, {}};
    }
    auto missing = count_denial(of, now) - of.tokens;
    auto wait_s = std::min(missing / share.rate_per_s, std::chrono::duration<double>(MAX_WAIT).count());
    return {quota_verdict::denied,
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait_s))};
}

auto quota_allocator::sweep(time_point now) -> void {
    std::erase_if(buckets_, [&](const auto& entry) {
        auto of = entry.second;
        refill(of, now);
        // A new bucket holds at least as much by then.
        auto after_start = 1 + of.share.rate_per_s * seconds_between(started_, now);
        return of.tokens >= of.share.burst && after_start >= of.share.burst;
    });
}

}  // namespace eelgrassledge
