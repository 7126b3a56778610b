#pragma once

#include <unordered_map>
#include <vector>

#include "eelgrassledge/routing/quota_decision.hpp"

namespace eelgrassledge {

/// How the quotas of teams are split over the availability zones.
struct quota_split {
    /// All zones, in ascending order.
    std::vector<zone_id> zones;
    /// Requests by which a team may exceed its quota within a window, because of rounding and delays.
    double slack = 0;
};

/// The part of a team's quota that one zone grants.
struct quota_share {
    double rate_per_s = 0;
    /// At least one, so that a share can grant any request; zero for a zone without a share.
    double burst = 0;

    [[nodiscard]] auto is_empty() const -> bool { return burst <= 0; }
};

/// The share of a zone in a team's quota. The shares are equal, unless the burst is so small that rounding it
/// up in every zone would take more than half of the slack: then one zone, chosen by the team's name, has the
/// whole quota.
[[nodiscard]] auto share_of(const team& owner, const quota_split& split, const zone_id& zone) -> quota_share;

/// Grants requests from one zone's shares of the teams' quotas, as token buckets.
///
/// Load: teams that send several times their quota, through few or many instances. Their requests above the
/// quota must not run, and those of teams below their quota must not be refused.
///
/// Not synchronized. Constant time; holds one bucket for each team that was active recently.
class quota_allocator {
  public:
    /// Begins to grant at `now`, with one token in each bucket: what an earlier allocator has granted is not
    /// known.
    auto start(time_point now) -> void;

    /// Decides about one request. The wait of a denial is the time until the bucket has tokens for the
    /// requests denied recently.
    auto ask(const team& owner, const quota_share& share, time_point now) -> quota_decision;

    /// Removes the buckets that are full again; to be called about once a second.
    auto sweep(time_point now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return buckets_.size(); }

  private:
    struct bucket {
        double tokens = 0;
        time_point refilled{};
        quota_share share;
        /// Requests denied during the second that began at `counted_since`, and during the one before.
        double denied = 0;
        double denied_before = 0;
        time_point counted_since{};
    };

    static auto refill(bucket& of, time_point now) -> void;
    static auto count_denial(bucket& of, time_point now) -> double;

    time_point started_{};
    std::unordered_map<team_id, bucket> buckets_;
};

}  // namespace eelgrassledge
