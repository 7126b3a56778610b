#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Reachability of the other availability zones, inferred from this instance's own traffic. During a network
/// partition a zone is unresponsive: connections do not open and requests are not confirmed. A refused or
/// reset connection counts as an answer, since it shows that packets arrive.
///
/// Attempts that were sent before the last answer of their zone do not count: the answer shows that the zone
/// was reachable after them.
///
/// Not synchronized; operations are logarithmic or linear in the number of zones.
class zone_reachability {
  public:
    explicit zone_reachability(zone_id own) : own_(std::move(own)) {}

    /// Records an answer from the zone. Returns whether the zone counted as unresponsive until now.
    auto answered(const zone_id& zone, time_point now) -> bool;

    /// Records an attempt, sent at `sent`, that got no reaction from the zone in time. Returns whether the
    /// zone counts as unresponsive from now on and did not before.
    auto unanswered(const zone_id& zone, time_point sent, time_point now) -> bool;

    /// Records a call to an instance whose machine acknowledged it, but which was not confirmed in time. Of
    /// the calls that run at the same time only the first counts: an instance that gets no processor time
    /// confirms none of them. Returns the same as `unanswered`.
    auto unconfirmed(const zone_id& zone, const instance_id& by, time_point sent, time_point now) -> bool;

    /// Whether several attempts in a row were unanswered, the last of them recently.
    [[nodiscard]] auto is_unresponsive(const zone_id& zone, time_point now) const -> bool;

    /// Whether this zone is cut off: every other zone with recent traffic is unresponsive, and there are at
    /// least two of them. Of two zones that cannot reach each other, neither can tell which of them is cut
    /// off.
    [[nodiscard]] auto is_cut_off(time_point now) const -> bool;

    /// How long this zone has been cut off; zero when it is not.
    [[nodiscard]] auto cut_off_for(time_point now) const -> duration;

    /// Unresponsive zones, which should be probed: new work avoids them, so that without probes a recovery
    /// would not be detected.
    [[nodiscard]] auto unresponsive_zones(time_point now) const -> std::vector<zone_id>;

  private:
    struct zone_traffic {
        time_point last_answer{};
        time_point last_unanswered{};
        std::uint32_t unanswered_in_row = 0;
        /// Time of the last unconfirmed call that was counted, by instance, since the last answer.
        std::map<instance_id, time_point> last_unconfirmed;
    };

    [[nodiscard]] static auto is_unresponsive(const zone_traffic& traffic, time_point now) -> bool;
    /// Counts an attempt without a reaction.
    auto count_unanswered(zone_traffic& traffic, time_point now) -> bool;

    zone_id own_;
    std::map<zone_id, zone_traffic> others_;
    time_point cut_off_at_{};
};

}  // namespace eelgrassledge
