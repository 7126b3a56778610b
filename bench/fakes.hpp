#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "eelgrassledge/broker/upstream_broker.hpp"
#include "eelgrassledge/entry/entry_service.hpp"
#include "event_loop.hpp"

namespace eelgrassledge::bench {

/// Which component orders the sub-requests to a searcher.
enum class dispatch_design : std::uint8_t {
    direct,  ///< Each entry sends to the searchers itself; a searcher queues in order of arrival.
    broker,  ///< The broker that owns the searcher orders its work and sends at most one request per slot.
};

/// Size of a service and the latency distribution of its searchers.
struct service_shape {
    std::string name = "label-desk";
    std::uint32_t shards = 20;
    std::uint32_t replicas = 2;
    std::uint32_t slots = 2;        ///< Sub-requests that one searcher runs at the same time.
    double service_ms = 8;          ///< Median service time of a sub-request.
    double sigma = 0.3;             ///< Standard deviation of the logarithm of the service time.
    double straggler_share = 0.01;  ///< Share of sub-requests that take much longer (stragglers).
    double straggler_factor = 8;    ///< Factor on the service time of a straggler.
    std::uint32_t zones = 4;

    /// Queries per second that keep every slot busy, from the mean service time.
    [[nodiscard]] auto capacity_per_s() const -> double;
};

/// Configuration of one run: the offered load and the policies under test.
struct scenario {
    service_shape shape;
    dispatch_design design = dispatch_design::broker;
    entry_policy entry;
    lane_policy lanes = lane_policy::preempt;
    bool canary = true;
    std::uint32_t entries = 9;
    double load = 0.5;  ///< Ordinary and urgent work together, as a share of capacity.
    double urgent_share = 0.02;
    double urgent_load = -1;  ///< Unless negative: urgent work as a share of capacity, in addition to `load`.
    std::uint64_t queries = 6000;
    std::uint64_t seed = 1;
    duration deadline = milliseconds{150};
    preference prefer = preference::time;
    std::uint32_t hedge_percent = 5;
    std::uint32_t caller_retries = 0;
    bool start_warm = true;
    warm_up_limits warm_up{20, 200, 200};
    std::uint64_t distinct_queries = 0;  ///< Number of different query texts; 0: every text is different.
    bool fixed_seconds = false;          ///< Runs for `seconds_to_run` instead of `queries`.
    double seconds_to_run = 0;
};

/// Results of a run.
struct outcome {
    std::vector<double> urgent_ms;    ///< Latency of each answered urgent query.
    std::vector<double> ordinary_ms;  ///< Latency of each answered ordinary query.
    std::vector<double> refusal_ms;   ///< Latency of each refused query.
    std::uint64_t urgent_total = 0;
    std::uint64_t total = 0;
    std::uint64_t complete_total = 0;  ///< Answered with full coverage within the deadline.
    std::uint64_t urgent_complete_total = 0;
    std::uint64_t partial = 0;
    double partial_coverage = 0;                   ///< Sum of the coverage of the partial answers.
    std::uint64_t sub_requests = 0;                ///< Started by searchers.
    std::uint64_t sub_requests_needed = 0;         ///< Sum of the shards of the answered queries.
    std::map<std::string, std::uint64_t> refused;  ///< Refused queries by result code.
    std::map<std::string, std::uint64_t> notes;    ///< Notes of the entries by reason.
    std::uint64_t cold_overloads = 0;              ///< Requests above the rate of a cold searcher.
    double seconds_run = 0;
    /// Results of the queries that were submitted within one second.
    struct second_results {
        std::vector<double> latency_ms;
        std::uint64_t queries = 0;
        std::uint64_t complete_total = 0;
        double coverage = 0;  ///< Sum over the answered queries.
    };
    std::map<std::int64_t, second_results> by_second;  ///< Keyed by the seconds since the start of the run.
};

/// Simulated searcher in virtual time, with slots, a queue, stragglers and a warm-up after a start.
class fake_searcher {
  public:
    using finished = std::function<void(const send_outcome&)>;

    fake_searcher(event_loop& loop, const scenario& config, shard_index shard, std::uint64_t seed);

    /// Queues a sub-request. Calls `done` at once if the searcher is down, or if it is cold and the
    /// request exceeds its current rate; such an overload also resets the warm-up.
    auto submit(const sub_key& key, snapshot_id snapshot, finished done) -> void;

    /// Removes a running or queued sub-request and calls its `done` with `cancelled`.
    auto cancel(const sub_key& key) -> void;

    /// Ends the process: running and queued sub-requests fail. It starts again, cold, after the pause.
    auto restart(duration pause) -> void;

    /// Sets the factor on the service time of the sub-requests started from now on.
    auto set_slow_factor(double factor) -> void { slow_factor_ = factor; }
    [[nodiscard]] auto queued() const -> std::size_t { return queue_.size(); }
    [[nodiscard]] auto running() const -> std::size_t { return running_.size(); }

    /// Sub-requests refused because they exceeded the rate of the cold searcher.
    [[nodiscard]] auto overloads() const -> std::uint64_t { return overloads_; }

    /// Sub-requests started.
    [[nodiscard]] auto runs() const -> std::uint64_t { return runs_; }

    /// Whether the searcher has completed the sub-requests of its warm-up.
    [[nodiscard]] auto warm() const -> bool {
        return completed_ >= static_cast<double>(config_.warm_up.requests);
    }

  private:
    struct queued_request {
        sub_key key;
        snapshot_id snapshot;
        finished done;
    };
    auto start_work() -> void;
    auto finish(const sub_key& key, std::uint64_t run) -> void;

    /// Counts an arriving sub-request and returns whether it is within the rate that the searcher
    /// sustains in its current state of warm-up. A warm searcher accepts every request.
    [[nodiscard]] auto admit_at_warm_up_rate() -> bool;

    [[nodiscard]] auto base_outcome() const -> send_outcome;

    event_loop& loop_;
    const scenario& config_;
    shard_index shard_;
    std::mt19937_64 random_;
    std::uint64_t start_id_ = 1;
    bool up_ = true;
    double completed_ = 0;
    double slow_factor_ = 1;
    std::deque<queued_request> queue_;
    struct running_request {
        queued_request request;
        std::uint64_t run;
    };
    std::map<sub_key, running_request> running_;
    std::deque<time_point> recent_;  ///< Arrivals while cold, within the last second.
    std::uint64_t overloads_ = 0;
    std::uint64_t runs_ = 0;
};

/// Simulates the entries, brokers and searchers of one service and the network delay between them.
class simulation {
  public:
    explicit simulation(scenario config);

    /// Submits the queries at the configured rate and runs until 5 s after the expected end of submission.
    auto run() -> outcome;

    auto loop() -> event_loop& { return loop_; }
    auto searchers() -> std::vector<std::unique_ptr<fake_searcher>>& { return searchers_; }

    /// Takes the searchers of a zone out of service or back in, as a change of the document does.
    /// Entries and brokers are updated at once.
    auto set_zone_in_service(std::uint32_t zone, bool in_service) -> void;

    /// Ends all searchers of a zone at once; they start again, cold, after the pause.
    auto restart_zone(std::uint32_t zone, duration pause) -> void;

    /// Ends the brokers of an instance. Successors, which inherit the known warm-up state, are active
    /// after `takeover_delay`.
    auto kill_broker(std::uint32_t instance, duration takeover_delay) -> void;

    [[nodiscard]] auto zone_of(std::size_t searcher) const -> std::uint32_t;
    [[nodiscard]] auto broker_load(std::size_t index) const -> upstream_load {
        return brokers_[index].broker->load();
    }

  private:
    struct entry_state {
        std::unique_ptr<entry_service> service;
        std::map<query_id, std::size_t> callers;
    };
    struct broker_state {
        std::unique_ptr<upstream_broker> broker;
        std::size_t searcher = 0;
        std::uint32_t instance = 0;
        bool alive = true;
        std::optional<time_point> scheduled_wakeup;
    };
    struct caller {
        bool urgent = false;
        time_point submitted;
        std::uint32_t retries_left = 0;
        std::uint64_t text_number = 0;  ///< Queries of the same number have the same text.
    };

    auto build() -> void;
    auto refresh_routes() -> void;
    auto submit_next_query() -> void;
    auto submit(std::size_t caller_index, std::uint32_t entry) -> void;
    auto apply_entry_actions(std::uint32_t entry, entry_actions actions) -> void;
    auto schedule_entry_wakeup(std::uint32_t entry) -> void;
    auto apply_broker_actions(std::size_t index, broker_actions actions) -> void;
    auto schedule_broker_wakeup(std::size_t index) -> void;
    auto deliver(std::size_t index, sub_request request) -> void;
    auto on_reply(std::uint32_t entry, const reply_action& reply) -> void;
    [[nodiscard]] auto broker_index(std::uint32_t entry, const upstream_id& upstream) const -> std::size_t;

    /// Draws the delay of one message between two zones.
    [[nodiscard]] auto hop_delay(std::uint32_t zone_a, std::uint32_t zone_b) -> duration;
    [[nodiscard]] auto entry_zone(std::uint32_t entry) const -> std::uint32_t {
        return entry % config_.shape.zones;
    }
    [[nodiscard]] auto authority() const -> send_authority;

    scenario config_;
    event_loop loop_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<fake_searcher>> searchers_;
    std::vector<upstream_id> upstream_ids_;  ///< Parallel to `searchers_`.
    std::map<upstream_id, std::size_t> searcher_index_;
    /// One for each searcher, or with direct dispatch one for each pair of entry and searcher.
    std::vector<broker_state> brokers_;
    std::vector<entry_state> entries_;
    std::vector<caller> callers_;
    std::vector<bool> zone_in_service_;
    std::uint64_t next_id_ = 1;
    std::uint64_t submitted_ = 0;
    time_point submission_end_{};
    outcome result_;
};

/// The sample at the given rank, `share` from 0 to 1; 0 if there are no samples.
[[nodiscard]] auto percentile(std::vector<double> samples, double share) -> double;

}  // namespace eelgrassledge::bench
