#pragma once

#include <cstddef>
#include <vector>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Quantiles of recent latencies, in logarithmic buckets whose counts fade as new samples arrive.
///
/// Adding is constant time; a quantile is linear in the number of buckets, which is fixed. The error of
/// a quantile is at most a bucket's width, about a tenth of the value.
class latency_tracker {
  public:
    latency_tracker();

    auto add(duration latency) -> void;

    /// The latency that the given share of recent samples did not exceed; zero without samples.
    [[nodiscard]] auto quantile(double share) const -> duration;

    [[nodiscard]] auto mean() const -> duration;
    [[nodiscard]] auto samples() const -> std::size_t { return total_samples_; }

  private:
    auto fade() -> void;

    std::vector<double> counts_;
    double weight_ = 0;
    double sum_us_ = 0;
    std::size_t since_fade_ = 0;
    std::size_t total_samples_ = 0;
};

}  // namespace eelgrassledge
