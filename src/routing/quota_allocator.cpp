#include "eelgrassledge/routing/quota_allocator.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>

#include "eelgrassledge/core/stable_hash.hpp"

namespace eelgrassledge {

namespace {

/// Part of the tolerance that the shares use.
constexpr double USED_TOLERANCE = 0.5;

/// Part of the rate that a new allocator grants during its first window.
constexpr double FIRST_WINDOW_RATE = 0.5;

/// Windows without a request after which a team is forgotten.
constexpr int IDLE_WINDOWS = 2;

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
    auto window_s = std::chrono::duration<double>(split.window).count();
    auto limit = (owner.rate_per_s * window_s + owner.burst) * (1 + USED_TOLERANCE * split.overshoot) +
                 USED_TOLERANCE * split.slack;
    auto zones = static_cast<double>(split.zones.size());
    if (limit / zones >= 1) {
        return {owner.rate_per_s / zones, std::max(1.0, owner.burst / zones), limit / zones, split.window};
    }
    auto only = stable_hash(owner.name.value()) % split.zones.size();
    auto is_only = found - split.zones.begin() == static_cast<std::ptrdiff_t>(only);
    return is_only
               ? quota_share{owner.rate_per_s, std::max(1.0, owner.burst), std::max(1.0, limit), split.window}
               : quota_share{};
}

auto quota_allocator::start(time_point now) -> void {
    started_ = now;
    teams_.clear();
}

auto quota_allocator::granted_in_window(team_state& of, duration window, time_point now) -> double {
    auto slot = now.time_since_epoch() / std::max(duration{1}, window / static_cast<int>(SLOTS));
    auto passed = std::clamp<std::int64_t>(slot - of.slot, 0, static_cast<std::int64_t>(of.granted.size()));
    for (std::int64_t i = 1; i <= passed; ++i) {
        of.granted[static_cast<std::size_t>(slot - passed + i) % of.granted.size()] = 0;
    }
    of.slot = std::max(of.slot, slot);
    return std::accumulate(of.granted.begin(), of.granted.end(), 0.0);
}

auto quota_allocator::count_denial(team_state& of, time_point now) -> double {
    if (now - of.counted_since >= COUNTED_SPAN) {
        of.denied_before = now - of.counted_since < 2 * COUNTED_SPAN ? of.denied : 0;
        of.denied = 0;
        of.counted_since = now;
    }
    of.denied += 1;
    auto remaining = 1 - seconds_between(of.counted_since, now);
    return of.denied + of.denied_before * std::max(0.0, remaining);
}

auto quota_allocator::limit_at(const quota_share& share, time_point now) const -> double {
    if (now - started_ >= share.window) {
        return share.window_limit;
    }
    auto since_start = 1 + FIRST_WINDOW_RATE * share.rate_per_s * seconds_between(started_, now);
    return std::min(share.window_limit, since_start);
}

auto quota_allocator::ask(const team& owner, const quota_share& share, time_point now) -> quota_decision {
    if (share.is_empty()) {
        return {quota_verdict::denied, MAX_WAIT};
    }
    auto [place, is_new] = teams_.try_emplace(owner.name);
    auto& of = place->second;
    // The limit of a whole window, spread evenly.
    auto rate_per_s = share.window_limit / std::chrono::duration<double>(share.window).count();
    of.tokens = is_new ? share.burst
                       : std::min(share.burst, of.tokens + rate_per_s * seconds_between(of.refilled, now));
    of.refilled = std::max(of.refilled, now);
    of.used = now;
    auto granted = granted_in_window(of, share.window, now);
    if (of.tokens >= 1 && granted + 1 <= limit_at(share, now)) {
        of.tokens -= 1;
        of.granted[static_cast<std::size_t>(of.slot) % of.granted.size()] += 1;
        return {quota_verdict::granted, {}};
    }
    auto wait_s =
        std::min(count_denial(of, now) / rate_per_s, std::chrono::duration<double>(MAX_WAIT).count());
    return {quota_verdict::denied,
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait_s))};
}

auto quota_allocator::sweep(time_point now, duration window) -> void {
    std::erase_if(teams_, [&](const auto& entry) { return now - entry.second.used > IDLE_WINDOWS * window; });
}

}  // namespace eelgrassledge
