#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "eelgrassledge/routing/quota_decision.hpp"

namespace eelgrassledge {

/// How the quotas of teams are split over the availability zones.
struct quota_split {
    /// All zones, in ascending order.
    std::vector<zone_id> zones;
    /// Length of the sliding windows in which requests are limited.
    duration window = seconds{5};
    /// Tolerance of the operators' bound: within a window, a team may run (rate x window + burst) x
    /// (1 + overshoot) + slack requests.
    double overshoot = 0;
    double slack = 0;
};

/// The part of a team's quota that one zone grants.
struct quota_share {
    /// The part of the configured rate.
    double rate_per_s = 0;
    /// Requests that are granted at once before the others are spread over the window.
    double burst = 0;
    /// Most requests within a window; zero for a zone without a share.
    double window_limit = 0;
    duration window{};

    [[nodiscard]] auto is_empty() const -> bool { return window_limit < 1; }
};

/// The share of a zone in a team's quota. The shares are equal, unless they would not allow a single request:
/// then one zone, chosen by the team's name, has the whole quota. All shares together use half of the
/// tolerance; the rest covers new allocators, which do not know what the earlier ones have granted.
[[nodiscard]] auto share_of(const team& owner, const quota_split& split, const zone_id& zone) -> quota_share;

/// Grants requests from one zone's shares of the teams' quotas: counts them over a sliding window, and
/// spreads them with a token bucket.
///
/// Load: teams that send several times their quota, through few or many instances. Their requests above the
/// quota must not run, and those of teams below their quota must not be refused.
///
/// Not synchronized. Constant time; holds one bucket for each team that was active recently.
class quota_allocator {
  public:
    /// Begins to grant at `now`. What an earlier allocator has granted is not known, so that during the first
    /// window each team gets one request and half of its rate.
    auto start(time_point now) -> void;

    /// Decides about one request. The wait of a denial is the time in which the requests denied recently can
    /// be granted.
    auto ask(const team& owner, const quota_share& share, time_point now) -> quota_decision;

    /// Removes teams without requests within the last windows; to be called about once a second.
    auto sweep(time_point now, duration window) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return teams_.size(); }

  private:
    /// Parts of a window in which grants are counted; the whole of the oldest part still counts.
    static constexpr std::size_t SLOTS = 10;

    struct team_state {
        double tokens = 0;
        time_point refilled{};
        /// Grants in the latest parts of the window; `slot` is the number of the latest part since the epoch
        /// of the clock.
        std::array<double, SLOTS + 1> granted{};
        std::int64_t slot = 0;
        /// Requests denied during the second that began at `counted_since`, and during the one before.
        double denied = 0;
        double denied_before = 0;
        time_point counted_since{};
        time_point used{};
    };

    /// Clears the counts of parts that have left the window, and returns the grants within it.
    static auto granted_in_window(team_state& of, duration window, time_point now) -> double;
    static auto count_denial(team_state& of, time_point now) -> double;
    /// Most grants that the window which ends now may hold.
    [[nodiscard]] auto limit_at(const quota_share& share, time_point now) const -> double;

    time_point started_{};
    std::unordered_map<team_id, team_state> teams_;
};

}  // namespace eelgrassledge
