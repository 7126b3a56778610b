#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// What this instance's own traffic tells of the way to the other availability zones. A network partition
/// shows as silence: connections that do not open and requests that nobody confirms. A refused or reset
/// connection proves that packets arrive.
///
/// Not synchronized; operations are logarithmic or linear in the number of zones.
class zone_reachability {
  public:
    explicit zone_reachability(zone_id own) : own_(std::move(own)) {}

    /// Records that something in the zone answered. Gives whether the zone counted as silent until now.
    auto answered(const zone_id& zone, time_point now) -> bool;

    /// Records that something in the zone gave no sign in time. Gives whether the zone counts as silent from
    /// now on.
    auto unanswered(const zone_id& zone, time_point now) -> bool;

    /// Whether several attempts in a row were silent, the last of them lately.
    [[nodiscard]] auto is_unresponsive(const zone_id& zone, time_point now) const -> bool;

    /// Whether every other zone with recent traffic is silent. Two zones that cannot reach each other do not
    /// know which of them is cut off, so that at least two silent zones are needed.
    [[nodiscard]] auto is_cut_off(time_point now) const -> bool;

    /// Time since the zone is cut off; zero when it is not.
    [[nodiscard]] auto cut_off_for(time_point now) const -> duration;

    /// Zones to probe: without traffic, nothing else would show that a way is open again.
    [[nodiscard]] auto unresponsive_zones(time_point now) const -> std::vector<zone_id>;

  private:
    struct zone_traffic {
        time_point last_answer{};
        time_point last_silence{};
        std::uint32_t silences_since_answer = 0;
    };

    [[nodiscard]] static auto is_unresponsive(const zone_traffic& traffic, time_point now) -> bool;

    zone_id own_;
    std::map<zone_id, zone_traffic> others_;
    time_point cut_off_at_{};
};

}  // namespace eelgrassledge
