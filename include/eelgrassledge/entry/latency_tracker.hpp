#pragma once

#include <cstddef>
#include <vector>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Quantiles of recent latencies, from a histogram with logarithmic buckets whose counts decay as new samples
/// arrive.
///
/// Adding a sample takes constant time; a quantile is linear in the number of buckets, which is fixed. The
/// error of a quantile is at most the width of a bucket, about a tenth of the value.
class latency_tracker {
  public:
    latency_tracker();

    auto add(duration latency) -> void;

    /// The latency that the given share (0 to 1) of recent samples did not exceed; zero without samples.
    [[nodiscard]] auto quantile(double share) const -> duration;

    /// Mean of recent samples; zero without samples.
    [[nodiscard]] auto mean() const -> duration;
    /// Number of samples added so far, without decay.
    [[nodiscard]] auto samples() const -> std::size_t { return total_samples_; }

  private:
    /// Halves the weight of all samples so far.
    auto decay() -> void;

    std::vector<double> counts_;  ///< Decayed number of samples in each bucket.
    double weight_ = 0;           ///< Sum of `counts_`.
    double sum_us_ = 0;
    std::size_t samples_since_decay_ = 0;
    std::size_t total_samples_ = 0;
};

}  // namespace eelgrassledge
