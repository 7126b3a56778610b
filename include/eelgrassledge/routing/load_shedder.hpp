#pragma once

#include <cstdint>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// How a query over a set of shards went, as far as it tells about the load of the set.
enum class load_sign : std::uint8_t {
    in_time,     ///< Enough shards answered within the latency objective.
    overloaded,  ///< Too few did, and many had no room: their upstreams refused, or earlier work was not
                 ///< done.
    unclear,     ///< Too few did for another reason.
};

/// Decides how many of the queries over one set of shards this instance starts. The share falls with each
/// sign of overload and rises with each query in time, so that the share of queries that fail for overload
/// settles near the ratio of the two steps; it also rises with time, for an instance that few callers use.
/// Constant time.
class load_shedder {
  public:
    /// Records how an admitted query went.
    auto finished(load_sign sign, time_point now) -> void;

    /// Share of the least urgent queries to admit.
    [[nodiscard]] auto admitted_share(time_point now) const -> double;

    /// Whether so many queries are refused that extra sub-requests would take room from others.
    [[nodiscard]] auto is_shedding(time_point now) const -> bool;

    /// Whether to admit a query. `point` is drawn evenly from zero to one. Of urgent queries half as large a
    /// share is refused, at most.
    [[nodiscard]] auto admits(bool urgent, double point, time_point now) const -> bool;

    /// Wait to propose to a refused caller beyond the usual one: longer the less is admitted, half as long
    /// for an urgent query, so that it comes back first. `point` is drawn evenly from zero to one and spreads
    /// the callers, who would otherwise come back together as they were refused.
    [[nodiscard]] auto extra_wait(bool urgent, double point, time_point now) const -> duration;

  private:
    double share_ = 1;
    time_point changed_{};
};

}  // namespace eelgrassledge
