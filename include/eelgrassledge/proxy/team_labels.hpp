#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "eelgrassledge/core/ids.hpp"

namespace eelgrassledge {

/// Metric labels of teams. Bounds the number of series: the first teams have labels of their own, all others
/// share one. Not synchronized.
class team_labels {
  public:
    /// Label of the teams without one of their own. The name of a team has no blanks, so none is equal to it.
    static constexpr const char* SHARED = "other teams";
    static constexpr std::size_t MAX_TEAMS = 128;

    [[nodiscard]] auto label_of(const team_id& name) -> std::string {
        if (known_.size() < MAX_TEAMS) {
            known_.insert(name);
        }
        return known_.contains(name) ? name.value() : SHARED;
    }

  private:
    std::set<team_id> known_;
};

}  // namespace eelgrassledge
