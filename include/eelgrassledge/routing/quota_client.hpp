#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "eelgrassledge/routing/quota_allocator.hpp"

namespace eelgrassledge {

/// Decides which zones' allocators this instance asks for a grant, and in which order.
///
/// Load: a team far above its quota, whose requests would each ask every allocator in vain; and a zone whose
/// allocator is gone or has used up its share while others have room.
///
/// Not synchronized. Operations are linear in the number of zones; holds state for teams that were active
/// within the last seconds.
class quota_client {
  public:
    explicit quota_client(zone_id own_zone) : own_zone_(std::move(own_zone)) {}

    /// Progress of one request.
    struct inquiry {
        std::vector<zone_id> asked;
        /// Shortest wait of the denials, those remembered from earlier requests included.
        std::optional<duration> shortest_wait;
    };

    /// The zone to ask next: the one that granted last, then the own one, then the others. Nothing when no
    /// zone is left that may grant.
    auto next_zone(const team& owner, const quota_split& split, inquiry& progress, time_point now)
        -> std::optional<zone_id>;

    /// Records what a zone's allocator said.
    auto answered(const team& owner, const zone_id& zone, const quota_decision& decision, inquiry& progress,
                  time_point now) -> void;

    /// The decision when no zone is left to ask: denied if any zone denied, since its wait is known, and
    /// unavailable if none answered.
    [[nodiscard]] static auto conclude(const inquiry& progress) -> quota_decision;

    /// Keeps the grant of a request that did not run for a later request of the team. `granted` is when the
    /// allocator's grant was received, also for a grant that was returned before.
    auto give_back(const team_id& owner, time_point granted, time_point now) -> void;
    /// Takes such a grant and returns when it was granted; nothing if there is none.
    auto take_returned(const team_id& owner, time_point now) -> std::optional<time_point>;

    /// Forgets teams without recent requests; to be called about once a second.
    auto sweep(time_point now) -> void;
    [[nodiscard]] auto size() const -> std::size_t { return teams_.size(); }

  private:
    /// Remembered denial of a zone.
    struct denial {
        /// When to ask again.
        time_point ask_again;
        /// When the allocator expects to grant.
        time_point expected_grant;
    };
    struct team_state {
        std::optional<zone_id> last_granted;
        std::map<zone_id, denial> denials;
        /// When the returned grants were granted, in the order in which they were returned.
        std::deque<time_point> returned;
        time_point used{};
    };

    zone_id own_zone_;
    std::unordered_map<team_id, team_state> teams_;
};

}  // namespace eelgrassledge
