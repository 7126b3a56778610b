#pragma once

#include <algorithm>

namespace eelgrassledge {

/// Share of the time to the deadline that a query's slowest shard may be expected to wait for a slot when the
/// query is admitted. An idle service is never refused. Falls when admitted queries miss their deadline and
/// rises slowly while they keep it, so that the share of late ones settles near the ratio of the two steps.
/// Constant time.
class admission_control {
  public:
    [[nodiscard]] auto margin() const -> double { return margin_; }

    /// Records an admitted query that was answered whole.
    auto answered_whole() -> void { margin_ = std::min(LARGEST, margin_ + RISE); }

    /// Records an admitted query that reached its deadline with shards still running or waiting.
    auto answered_late() -> void { margin_ = std::max(SMALLEST, margin_ * FALL); }

  private:
    static constexpr double LARGEST = 0.8;
    static constexpr double SMALLEST = 0.05;
    static constexpr double RISE = 0.0005;
    static constexpr double FALL = 0.95;

    double margin_ = LARGEST;
};

}  // namespace eelgrassledge
