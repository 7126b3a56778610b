#pragma once

#include <optional>
#include <string>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// What an instance knows about the load when a query over a set of shards arrives.
struct query_load {
    /// Sub-requests in flight for each slot of the upstreams, those of all instances estimated from the own
    /// ones. Above one, sub-requests queue.
    double in_flight_per_slot = 0;
    /// Expected time until the slowest part arrives that the query needs.
    duration expected{};
    /// Time until the answer is due.
    duration left{};
};

/// Text for the log.
[[nodiscard]] auto to_string(const query_load& load) -> std::string;

/// Admission control for the queries over one set of shards: refuses those that are not expected to be
/// answered in time, so that the upstreams' time goes to those that are.
///
/// Load: several times the usual number of callers for some seconds while a part of the upstreams is slow.
/// Without it all queries queue, nearly all of them miss the objective, and each of them has occupied dozens
/// of upstreams when it fails.
///
/// A query is refused only if both signs agree. Upstreams that are slow but not busy would not serve others
/// sooner if it were refused, and sub-requests that hang, for example to a partitioned zone, do not matter
/// while other replicas are expected to answer in time. Both signs fade within seconds without queries.
///
/// Not synchronized. Constant time.
class admission_control {
  public:
    /// Records that a sub-request of this instance ended that was in flight for this time.
    auto ended(duration in_flight, time_point now) -> void;

    /// Average number of sub-requests of this instance in flight, over about the last second.
    [[nodiscard]] auto in_flight(time_point now) const -> double;

    /// Whether to start a query. `urgency` is zero for the least urgent queries and one for the most urgent,
    /// which are still admitted when the others are refused.
    [[nodiscard]] static auto admits(const query_load& load, double urgency) -> bool;

    /// Wait to propose to a refused caller: until the queues have shortened. `sample` is uniformly
    /// distributed from zero to one and spreads the retries of callers that are refused together.
    [[nodiscard]] static auto wait(const query_load& load, double sample) -> duration;

    /// Records that an instance refused a query of this one.
    auto refused(time_point now) -> void { refused_at_ = now; }

    /// Whether a query was refused within the last seconds, so that the next ones may be refused as well.
    [[nodiscard]] auto was_refused_recently(time_point now) const -> bool;

  private:
    /// Sum of the times in flight, decayed to `changed_`.
    double busy_s_ = 0;
    time_point changed_{};
    std::optional<time_point> refused_at_;
};

}  // namespace eelgrassledge
