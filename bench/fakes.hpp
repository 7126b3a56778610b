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

/// Who orders the work at a searcher.
enum class fan_out : std::uint8_t {
    direct,  ///< Each entry sends to searchers by itself; they queue what comes in the order it comes.
    broker,  ///< The one owner of each searcher orders its work and never sends more than its slots hold.
};

/// Shape of a service and of its searchers.
struct service_shape {
    std::string name = "label-desk";
    std::uint32_t shards = 20;
    std::uint32_t replicas = 2;
    std::uint32_t slots = 2;
    double service_ms = 8;
    double sigma = 0.3;
    double straggler_share = 0.01;
    double straggler_factor = 8;
    std::uint32_t zones = 4;

    /// Queries per second at which every slot is always busy.
    [[nodiscard]] auto capacity_per_s() const -> double;
};

/// One run: what is offered to which design.
struct scenario {
    service_shape shape;
    fan_out design = fan_out::broker;
    entry_policy entry;
    lane_policy lanes = lane_policy::preempt;
    bool canary = true;
    std::uint32_t entries = 9;
    double load = 0.5;  ///< Ordinary and urgent work together, as a share of capacity.
    double urgent_share = 0.02;
    double urgent_load = -1;  ///< When not negative: urgent work as a share of capacity, besides `load`.
    std::uint64_t queries = 6000;
    std::uint64_t seed = 1;
    duration deadline = milliseconds{150};
    preference prefer = preference::time;
    std::uint32_t hedge_percent = 5;
    std::uint32_t caller_retries = 0;
    bool start_warm = true;
    warm_up_limits warm_up{20, 200, 200};
    std::uint64_t distinct_queries = 0;  ///< Different texts; zero: all differ.
    bool fixed_seconds = false;          ///< Runs for `seconds_to_run` instead of a number of queries.
    double seconds_to_run = 0;
};

/// What became of the queries of a run.
struct outcome {
    std::vector<double> urgent_ms;    ///< Latency of each answered urgent query.
    std::vector<double> ordinary_ms;  ///< Latency of each answered ordinary query.
    std::vector<double> refusal_ms;
    std::uint64_t urgent_total = 0;
    std::uint64_t total = 0;
    std::uint64_t whole = 0;  ///< Answered with full coverage within the deadline.
    std::uint64_t urgent_whole = 0;
    std::uint64_t partial = 0;
    double partial_coverage = 0;
    std::uint64_t sub_requests = 0;  ///< Sent to searchers.
    std::uint64_t sub_requests_needed = 0;
    std::map<std::string, std::uint64_t> refused;
    std::map<std::string, std::uint64_t> notes;
    std::uint64_t cold_overloads = 0;
    double seconds_run = 0;
    struct second {
        std::vector<double> ms;
        std::uint64_t queries = 0;
        std::uint64_t whole = 0;
        double coverage = 0;
    };
    std::map<std::int64_t, second> by_second;
};

/// A searcher in virtual time: slots, a queue, stragglers, cold start.
class fake_searcher {
  public:
    using finished = std::function<void(const send_outcome&)>;

    fake_searcher(event_loop& loop, const scenario& what, shard_index shard, std::uint64_t seed);

    auto submit(const sub_key& key, snapshot_id snapshot, finished done) -> void;
    auto cancel(const sub_key& key) -> void;

    /// Ends the process: what runs is lost. It comes back cold after a pause.
    auto restart(duration pause) -> void;
    auto set_slow(double factor) -> void { slow_factor_ = factor; }
    [[nodiscard]] auto queued() const -> std::size_t { return queue_.size(); }
    [[nodiscard]] auto running() const -> std::size_t { return running_.size(); }
    [[nodiscard]] auto overloads() const -> std::uint64_t { return overloads_; }
    [[nodiscard]] auto runs() const -> std::uint64_t { return runs_; }
    [[nodiscard]] auto warm() const -> bool {
        return completed_ >= static_cast<double>(what_.warm_up.requests);
    }

  private:
    struct item {
        sub_key key;
        snapshot_id snapshot;
        finished done;
    };
    auto start_work() -> void;
    auto finish(const sub_key& key, std::uint64_t run) -> void;
    [[nodiscard]] auto bears_one_more() -> bool;
    [[nodiscard]] auto base_outcome() const -> send_outcome;

    event_loop& loop_;
    const scenario& what_;
    shard_index shard_;
    std::mt19937_64 random_;
    std::uint64_t start_ = 1;
    bool up_ = true;
    double completed_ = 0;
    double slow_factor_ = 1;
    std::deque<item> queue_;
    struct running_item {
        item what;
        std::uint64_t run;
    };
    std::map<sub_key, running_item> running_;
    std::deque<time_point> recent_;
    std::uint64_t overloads_ = 0;
    std::uint64_t runs_ = 0;
};

/// Entries, brokers and searchers of one service, joined by messages that take time.
class world {
  public:
    explicit world(scenario what);

    /// Offers the load and runs to the end.
    auto run() -> outcome;

    auto loop() -> event_loop& { return loop_; }
    auto searchers() -> std::vector<std::unique_ptr<fake_searcher>>& { return searchers_; }

    /// Takes the searchers of a zone out or in, as the document would; entries learn it at once.
    auto set_zone(std::uint32_t zone, bool in) -> void;

    /// Ends all searchers of a zone at once; they return cold after the pause.
    auto cut_zone(std::uint32_t zone, duration pause) -> void;

    /// Ends a broker; a successor acts after the time that takes over.
    auto kill_broker(std::uint32_t instance, duration take_over) -> void;

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
        std::optional<time_point> armed;
    };
    struct caller {
        bool urgent = false;
        time_point offered;
        std::uint32_t retries_left = 0;
        std::uint64_t text = 0;
    };

    auto build() -> void;
    auto refresh_routes() -> void;
    auto offer_next() -> void;
    auto submit(std::size_t caller_index, std::uint32_t entry) -> void;
    auto run_entry(std::uint32_t entry, entry_actions actions) -> void;
    auto arm_entry(std::uint32_t entry) -> void;
    auto run_broker(std::size_t index, broker_actions actions) -> void;
    auto arm_broker(std::size_t index) -> void;
    auto deliver(std::size_t index, sub_request request) -> void;
    auto on_reply(std::uint32_t entry, const reply_action& reply) -> void;
    [[nodiscard]] auto broker_index(std::uint32_t entry, const upstream_id& upstream) const -> std::size_t;
    [[nodiscard]] auto hop(std::uint32_t zone_a, std::uint32_t zone_b) -> duration;
    [[nodiscard]] auto entry_zone(std::uint32_t entry) const -> std::uint32_t {
        return entry % what_.shape.zones;
    }
    [[nodiscard]] auto authority() const -> send_authority;

    scenario what_;
    event_loop loop_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<fake_searcher>> searchers_;
    std::vector<upstream_id> names_;
    std::map<upstream_id, std::size_t> index_by_name_;
    std::vector<broker_state> brokers_;
    std::vector<entry_state> entries_;
    std::vector<caller> callers_;
    std::vector<bool> zone_in_;
    std::uint64_t next_number_ = 1;
    std::uint64_t offered_ = 0;
    time_point end_of_offers_{};
    outcome result_;
};

/// A percentile of the samples; zero without any.
[[nodiscard]] auto percentile(std::vector<double> samples, double share) -> double;

}  // namespace eelgrassledge::bench
