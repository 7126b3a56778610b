#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/entry/latency_tracker.hpp"
#include "eelgrassledge/routing/directory.hpp"
#include "eelgrassledge/routing/load_shedder.hpp"
#include "eelgrassledge/routing/retry_budget.hpp"
#include "eelgrassledge/routing/route_table.hpp"
#include "eelgrassledge/routing/warm_up_share.hpp"
#include "eelgrassledge/routing/zone_reachability.hpp"

namespace eelgrassledge {

/// Choices and bounds of the forwarding decisions of one instance.
struct routing_policy {
    zone_id own_zone;
    retry_budget_limits budget;
    warm_up_limits_shared warm_up;
    /// Quantile of recent sub-request latencies after which a sub-request is hedged: the slowest tenth pays
    /// for most of the tail, and the budget covers it.
    double hedge_quantile = 0.9;
    /// Largest share of the latency objective that passes before a hedge, so that its answer is still in
    /// time.
    double hedge_latest = 0.4;
    /// Time for timers that fire late and for the work on an answer, left before the objective and the
    /// deadline beside the caller's way.
    duration answer_margin = milliseconds{4};
    /// Surcharge for an upstream in another availability zone: the way there and the bytes across, and a
    /// share of its expected latency, so that a small difference between long requests does not send them
    /// across.
    double zone_surcharge_ms = 6;
    double zone_surcharge_share = 0.5;
    /// Multiple of the latency objective for which a late answer waits for missing shards.
    double late_answer_factor = 2;
    /// Wait proposed to a caller whose request was refused.
    duration retry_after = milliseconds{100};
    /// Time in which the balancer in front of the instances stops sending new connections to one that is not
    /// ready: two missed answers, a second apart.
    duration balancer_delay = milliseconds{2300};
};

/// What all queries of one instance share: the upstreams, budgets and measured latencies.
///
/// Not synchronized: one event loop owns it.
class routing_state {
  public:
    routing_state(routing_policy policy, directory_limits limits, std::function<double()> random)
        : policy_(std::move(policy)),
          upstreams_(limits),
          zones_(policy_.own_zone),
          random_(std::move(random)) {}

    /// Changes choices and bounds for what is decided from now on.
    auto reconfigure(const routing_policy& policy, directory_limits limits) -> void {
        policy_ = policy;
        upstreams_.configure(limits);
    }

    [[nodiscard]] auto policy() const -> const routing_policy& { return policy_; }
    [[nodiscard]] auto upstreams() -> directory& { return upstreams_; }
    [[nodiscard]] auto zones() -> zone_reachability& { return zones_; }

    /// Budget of extra sub-requests of a service.
    auto budget(const service_id& service) -> retry_budget& { return budgets_[service]; }

    /// Limits of the budget for the present number of instances.
    [[nodiscard]] auto budget_limits() const -> retry_budget_limits;

    /// Records how many instances are known to share the budgets, this one included.
    auto instances_changed(std::size_t count, time_point now) -> void { population_.observe(count, now); }
    [[nodiscard]] auto instances() const -> std::size_t { return population_.count(); }

    /// Load of the set of shards that a rule fans out over.
    auto shedder(const gather_rule& rule) -> load_shedder& { return shedders_[rule.shards.front()]; }

    /// Latencies of sub-requests on a route.
    auto latencies(const std::string& route_name) -> latency_tracker& { return latencies_[route_name]; }

    /// Time after which a sub-request on the route is hedged.
    auto hedge_delay(const route& r) -> duration;

    /// How urgently a new sub-request should avoid an upstream, its zone considered.
    [[nodiscard]] auto preference_of(const upstream& u, time_point now) const -> preference;

    /// The replica that should get a sub-request now; null when none may. `tried` are passed over, and with
    /// `healthy_only` all that something speaks against.
    auto choose(const service_id& service, const std::vector<shared_upstream>& tried, bool healthy_only,
                const service_rule* rule, time_point now) -> shared_upstream;

    /// Whether any replica may get a sub-request, in a zone that is not silent.
    [[nodiscard]] auto is_served(const service_id& service, time_point now) const -> bool;

    /// Whether that holds for enough shards of a route, or for one of its targets.
    [[nodiscard]] auto is_served(const route& r, time_point now) const -> bool;

    /// Takes the right to send one sub-request to an upstream; false while a cold one has had its share.
    auto admit_cold(const upstream& u, const service_rule* rule, time_point now) -> bool;

    /// Wait to propose to a caller whose request on a route is refused with `code`.
    [[nodiscard]] auto retry_after(result_code code, const route& r, bool urgent, time_point now) -> duration;

    /// A number from zero up to one.
    [[nodiscard]] auto random() -> double { return random_(); }

    /// A random index below `count`, which is not zero.
    [[nodiscard]] auto random_index(std::size_t count) -> std::size_t;

  private:
    routing_policy policy_;
    directory upstreams_;
    zone_reachability zones_;
    std::function<double()> random_;
    instance_population population_;
    std::unordered_map<service_id, retry_budget> budgets_;
    /// By the first shard of the set.
    std::unordered_map<service_id, load_shedder> shedders_;
    std::unordered_map<std::string, latency_tracker> latencies_;
    std::unordered_map<upstream_id, warm_up_share> cold_shares_;
};

}  // namespace eelgrassledge
