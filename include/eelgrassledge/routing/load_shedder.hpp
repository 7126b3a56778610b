#pragma once

#include <cstdint>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// What the outcome of a query indicates about the load of its set of shards.
enum class load_signal : std::uint8_t {
    in_time,     ///< Enough shards answered within the latency objective.
    overloaded,  ///< Too few shards answered, and many had no capacity: their upstreams refused the
                 ///< sub-request, or it was still queued behind earlier ones.
    unclear,  ///< Too few shards answered in time for another reason, or the outcome says nothing about the
              ///< load.
};

/// Admission control for the queries over one set of shards: decides which share of them this instance
/// starts. The share decreases with each overload signal and increases with each query that is answered in
/// time, so the share of queries that fail because of overload converges to about the ratio of the two steps.
/// It also increases with time, for an instance that receives few queries. All operations take constant time.
class load_shedder {
  public:
    /// Records the signal of an admitted query that has ended.
    auto finished(load_signal signal, time_point now) -> void;

    /// Share of non-urgent queries to admit, from zero to one.
    [[nodiscard]] auto admitted_share(time_point now) const -> double;

    /// Whether so many queries are refused that extra sub-requests would take capacity from other queries.
    [[nodiscard]] auto is_shedding(time_point now) const -> bool;

    /// Whether to admit a query. `urgency` is zero for the least urgent queries and one for the most urgent;
    /// these are admitted up to twice as often. `sample` is uniformly distributed from zero to one.
    [[nodiscard]] auto admits(double urgency, double sample, time_point now) const -> bool;

    /// Additional wait to propose to a refused caller. It grows as the admitted share decreases, and is half
    /// as long for the most urgent queries so that they are retried first. `sample` is uniformly distributed
    /// from zero to one and adds jitter; otherwise callers that were refused together would also retry
    /// together.
    [[nodiscard]] auto extra_wait(double urgency, double sample, time_point now) const -> duration;

  private:
    /// Admitted share at `changed_`.
    double share_ = 1;
    time_point changed_{};
};

}  // namespace eelgrassledge
