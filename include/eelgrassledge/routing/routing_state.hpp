#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/entry/latency_tracker.hpp"
#include "eelgrassledge/routing/admission_control.hpp"
#include "eelgrassledge/routing/directory.hpp"
#include "eelgrassledge/routing/load_shedder.hpp"
#include "eelgrassledge/routing/retry_budget.hpp"
#include "eelgrassledge/routing/route_table.hpp"
#include "eelgrassledge/routing/warm_up_share.hpp"
#include "eelgrassledge/routing/work_estimate.hpp"
#include "eelgrassledge/routing/zone_reachability.hpp"

namespace eelgrassledge {

/// Parameters of the forwarding decisions of one instance.
struct routing_policy {
    zone_id own_zone;
    retry_budget_limits budget;
    shared_warm_up_limits warm_up;
    /// Quantile of recent sub-request latencies after which a sub-request is hedged (sent to a second replica
    /// as well): the slowest tenth causes most of the tail latency, and the budget covers hedges for it.
    double hedge_quantile = 0.9;
    /// Longest delay before a hedge, as a share of the latency objective, so that the answer to the hedge is
    /// still in time.
    double max_hedge_share = 0.4;
    /// Time reserved before the objective and the deadline for late timers, in addition to the network time
    /// to the caller and to the time for assembling the answer.
    duration answer_margin = milliseconds{4};
    /// Time in which this instance assembles and sends an answer that has become due; see `assembly_time`.
    duration answer_assembly{};
    /// Time in which it takes the answer of another instance.
    duration group_assembly{};
    /// Surcharge on the expected latency of an upstream in another availability zone: a fixed part in
    /// milliseconds for the round trip and the transfer, and a share of the expected latency, so that a small
    /// difference between long requests does not route them to another zone.
    double zone_surcharge_ms = 6;
    double zone_surcharge_share = 0.5;
    /// Multiple of the latency objective up to which a late answer waits for missing shards.
    double late_answer_factor = 2;
    /// Wait proposed to a caller whose request was refused.
    duration retry_after = milliseconds{100};
    /// Time after which the load balancer in front of the instances sends no new connections to one that is
    /// not ready: two failed health checks, a second apart.
    duration balancer_delay = milliseconds{2300};
};

/// Processor time in which an answer is assembled and sent, and in which the answer of another instance is
/// taken, wake-ups included.
inline constexpr duration ANSWER_WORK = microseconds{700};
inline constexpr duration GROUP_WORK = microseconds{400};

/// Time for `work` on an instance with this number of processor cores. With a tenth of a core, an answer that
/// is due leaves milliseconds later, and without a reserve for that just after the objective.
[[nodiscard]] auto assembly_time(duration work, double processor_cores) -> duration;

/// State that all queries of one instance share: upstreams, budgets and measured latencies.
///
/// Not synchronized: used by one event loop only.
class routing_state {
  public:
    routing_state(routing_policy policy, directory_limits limits, std::function<double()> random)
        : policy_(std::move(policy)),
          upstreams_(limits),
          zones_(policy_.own_zone),
          random_(std::move(random)) {}

    /// Replaces the parameters for later decisions.
    auto reconfigure(const routing_policy& policy, directory_limits limits) -> void {
        policy_ = policy;
        upstreams_.configure(limits);
    }

    [[nodiscard]] auto policy() const -> const routing_policy& { return policy_; }
    [[nodiscard]] auto upstreams() -> directory& { return upstreams_; }
    [[nodiscard]] auto zones() -> zone_reachability& { return zones_; }

    /// Removes upstreams whose time for new work has ended, with what is stored for them, and returns them.
    auto sweep(time_point now) -> std::vector<shared_upstream>;

    /// Number of upstreams for which a share of the warm-up rate is stored.
    [[nodiscard]] auto cold_shares() const -> std::size_t { return cold_shares_.size(); }

    /// Budget of extra sub-requests of a service.
    auto budget(const service_id& service) -> retry_budget& { return budgets_[service]; }

    /// Limits of a service's budget for this instance: the allowance is divided by the number of instances.
    [[nodiscard]] auto budget_limits() const -> retry_budget_limits;

    /// Records how many known instances share the budgets, this one included.
    auto instances_changed(std::size_t count, time_point now) -> void { population_.observe(count, now); }
    [[nodiscard]] auto instances() const -> std::size_t { return population_.count(); }

    /// Load shedder of the set of shards that a rule fans out over.
    auto shedder(const gather_rule& rule) -> load_shedder& { return shedders_[rule.shards.front()]; }

    /// Admission control of the set of shards that a rule fans out over.
    auto admission(const gather_rule& rule) -> admission_control& { return admission_[rule.shards.front()]; }

    /// Recent latencies of sub-requests on a route.
    auto latencies(const std::string& route_name) -> latency_tracker& { return latencies_[route_name]; }

    /// Time after which a sub-request on the route is hedged: the measured quantile, at most
    /// `max_hedge_share` of the latency objective.
    auto hedge_delay(const route& r) -> duration;

    /// How strongly a new sub-request should avoid an upstream, including the state of its zone.
    [[nodiscard]] auto preference_of(const upstream& u, time_point now) const -> preference;

    /// Learned costs of sub-requests, by route.
    auto costs() -> work_estimate& { return costs_; }

    /// The replica that should get a sub-request of a route now: the one expected to complete it first, null
    /// when no replica may get it. Skips `tried`, and every replica whose preference is not `normal` and that
    /// is not expected to complete it within `avoided_limit_ms`.
    auto choose(const service_id& service, const route& r, const std::vector<shared_upstream>& tried,
                const service_rule* rule, time_point now,
                double avoided_limit_ms = std::numeric_limits<double>::infinity()) -> shared_upstream;

    /// Load of the upstreams for a new query over these shards of a route (all if empty) whose answer is due
    /// after `left`. Linear in the number of replicas.
    [[nodiscard]] auto load_of(const route& r, const std::vector<std::size_t>& shards, duration left,
                               time_point now) -> query_load;

    /// Records how many instances run queries for others, and whether this one does.
    auto runners_changed(std::size_t count, bool is_runner) -> void {
        runners_ = std::max<std::size_t>(1, count);
        is_runner_ = is_runner;
    }

    /// Number of instances among which the connections to an upstream are divided. Those that run queries for
    /// others share most of them; an instance that does not needs one for the shards that it sends itself.
    [[nodiscard]] auto connection_users() const -> std::size_t {
        return is_runner_ ? runners_ : population_.count();
    }

    /// Whether any replica of the service in a responsive zone may get a sub-request.
    [[nodiscard]] auto is_served(const service_id& service, time_point now) const -> bool;

    /// Whether enough shards of a route, or one of its targets, have such a replica.
    [[nodiscard]] auto is_served(const route& r, time_point now) const -> bool;

    /// Time until enough upstreams of a route may be sent to that are paused now: for each shard, or for the
    /// route's targets, the replica whose pause ends first. Zero if there are enough already; nothing if
    /// there will not be enough when all pauses have ended.
    [[nodiscard]] auto time_until_served(const route& r, time_point now) const -> std::optional<duration>;

    /// Whether one sub-request may be sent to an upstream now. For a cold upstream it takes one request from
    /// this instance's share of the warm-up rate, and returns false when the share is used up.
    auto admit_cold(const upstream& u, const service_rule* rule, time_point now) -> bool;

    /// Wait that is proposed to a caller whose request on a route is refused with `code`.
    [[nodiscard]] auto retry_after(result_code code, const route& r, double urgency, time_point now)
        -> duration;

    /// A random number in [0, 1).
    [[nodiscard]] auto random() -> double { return random_(); }

    /// A random index below `count`, which must not be zero.
    [[nodiscard]] auto random_index(std::size_t count) -> std::size_t;

  private:
    /// Time until a replica of the service in a responsive zone may be sent to; nothing if there is none.
    [[nodiscard]] auto time_until_served(const service_id& service, time_point now) const
        -> std::optional<duration>;

    routing_policy policy_;
    directory upstreams_;
    zone_reachability zones_;
    std::function<double()> random_;
    instance_population population_;
    std::unordered_map<service_id, retry_budget> budgets_;
    /// Keyed by the first shard of the set.
    std::unordered_map<service_id, load_shedder> shedders_;
    std::unordered_map<service_id, admission_control> admission_;
    std::size_t runners_ = 1;
    bool is_runner_ = false;
    std::unordered_map<std::string, latency_tracker> latencies_;
    work_estimate costs_;
    std::unordered_map<upstream_id, warm_up_share> cold_shares_;
};

}  // namespace eelgrassledge
