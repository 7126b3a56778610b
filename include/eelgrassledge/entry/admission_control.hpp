#pragma once

#include <algorithm>

namespace eelgrassledge {

/// Adaptive limit for the admission of queries.
///
/// The margin is the largest share of the time to the deadline that the slowest shard of a query may be
/// expected to wait for a slot; queries above it are refused. Only the wait counts, so queries to an idle
/// service are never refused. The margin is multiplied by a factor below one when an admitted query misses
/// its deadline and grows slowly while queries complete, so that the share of late queries settles near the
/// ratio of the two steps. All operations take constant time.
class admission_control {
  public:
    /// Share of the time to the deadline, between 0 and 1.
    [[nodiscard]] auto margin() const -> double { return margin_; }

    /// Records an admitted query that was answered by all shards.
    auto record_complete() -> void { margin_ = std::min(MAX_MARGIN, margin_ + INCREASE); }

    /// Records an admitted query that reached its deadline with sub-requests still queued or running.
    auto record_late() -> void { margin_ = std::max(MIN_MARGIN, margin_ * DECREASE_FACTOR); }

  private:
    static constexpr double MAX_MARGIN = 0.8;
    static constexpr double MIN_MARGIN = 0.05;
    static constexpr double INCREASE = 0.0005;
    static constexpr double DECREASE_FACTOR = 0.95;

    double margin_ = MAX_MARGIN;
};

}  // namespace eelgrassledge
