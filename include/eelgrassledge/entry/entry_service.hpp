#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "eelgrassledge/core/suspicion.hpp"
#include "eelgrassledge/entry/admission_control.hpp"
#include "eelgrassledge/entry/search.hpp"
#include "eelgrassledge/entry/service_view.hpp"
#include "eelgrassledge/entry/token_bucket.hpp"

namespace eelgrassledge {

/// When a second replica is asked although the first may still answer.
enum class hedge_policy : std::uint8_t {
    none,
    fixed_delay,    ///< After a fixed running time at the upstream.
    quantile,       ///< After a quantile of recent running times at the upstreams of the service.
    median_factor,  ///< After a multiple of the median of recent running times.
};

/// Which whole queries are refused at once.
enum class admission_policy : std::uint8_t {
    none,
    expected_finish,  ///< Those whose slowest shard is not expected to answer before the deadline.
};

/// Choices of an entry that the document does not hold.
struct entry_policy {
    hedge_policy hedging = hedge_policy::median_factor;
    double hedge_quantile = 0.98;
    double hedge_median_factor = 3;
    duration fixed_hedge_delay = milliseconds{40};
    bool skip_hedge_to_busy_replica = false;  ///< Skips a hedge whose replica is not expected to finish soon.
    admission_policy admission = admission_policy::expected_finish;
};

/// Sends a sub-request to the broker of its upstream.
struct dispatch_action {
    instance_id broker;
    sub_request request;
};

/// Tells a broker that a sub-request is no longer wanted.
struct withdraw_action {
    instance_id broker;
    upstream_id upstream;
    sub_request_id id;
};

/// Gives the answer to the caller.
struct reply_action {
    query_id query;
    search_answer answer;
};

/// Why an extra sub-request was sent or a query changed course; for counters and logs.
enum class note_reason : std::uint8_t {
    hedge,
    hedge_over_budget,
    retry,
    retry_over_budget,
    restart_on_newer_snapshot,
    canary_retry,
    rejected_answer,
};

/// Something worth counting.
struct note_action {
    note_reason reason;
    result_code cause;
    request_id request;
    upstream_id upstream;
};

/// Tells the rest of this daemon what an answer showed of a fingerprint.
struct suspect_action {
    fingerprint print;
    std::uint32_t strikes = 0;
};

using entry_action =
    std::variant<dispatch_action, withdraw_action, reply_action, note_action, suspect_action>;
using entry_actions = std::vector<entry_action>;

[[nodiscard]] auto to_string(note_reason reason) -> std::string_view;

/// Decisions of an entry for the queries of one service: admission, snapshot, replicas, hedges, retries,
/// merge and coverage. Events go in with the time, actions come out.
///
/// The class is not synchronized. Handling an answer takes constant time apart from the merge of its
/// hits; starting a query is linear in the replicas of its shards.
///
/// Example:
/// `auto [id, actions] = service.submit(request, now); // run each action; a reply_action ends the query`
class entry_service {
  public:
    struct submitted {
        query_id query;
        entry_actions actions;
    };
    /// Gives numbers for sub-requests and queries, unique within the process.
    using id_source = std::function<std::uint64_t()>;

    entry_service(service_spec spec, entry_policy policy, id_source numbers);

    /// Changes the limits; running queries go on under those they started with where they differ.
    auto configure(const service_spec& spec) -> void;

    auto view() -> service_view& { return view_; }
    [[nodiscard]] auto view() const -> const service_view& { return view_; }
    [[nodiscard]] auto spec() const -> const service_spec& { return spec_; }

    /// Starts a query or refuses it.
    auto submit(search_request request, time_point now) -> submitted;

    /// Records the answer to a sub-request. Answers to unknown or settled sub-requests only update loads.
    auto on_answer(const sub_answer& answer, time_point now) -> entry_actions;

    /// Records that a sub-request runs longer than its `slow_after`.
    auto on_slow(sub_request_id id, time_point now) -> entry_actions;

    /// Records that the connection to a broker was lost with everything in flight on it.
    auto on_broker_lost(const instance_id& broker, time_point now) -> entry_actions;

    /// Merges what other daemons know about a fingerprint into what is known here.
    auto merge_suspicion(fingerprint print, const suspicion& state) -> void;

    /// Acts on the passage of time.
    auto advance(time_point now) -> entry_actions;

    /// When `advance` must be called next, if at all.
    [[nodiscard]] auto next_wakeup() const -> std::optional<time_point>;

    [[nodiscard]] auto running() const -> std::size_t { return queries_.size(); }

  private:
    struct attempt {
        sub_request_id id;
        upstream_id upstream;
        instance_id broker;
        time_point sent;
        bool extra = false;
    };
    struct shard_state {
        bool answered = false;
        bool given_up = false;
        bool may_have_run = false;
        bool patient = false;
        std::uint32_t tries = 0;
        std::vector<attempt> open;
        std::vector<upstream_id> tried;
        std::optional<time_point> retry_at;
        std::optional<time_point> silent_at;  ///< When the broker is taken for silent.
        result_code last = result_code::ok;
    };
    struct query {
        query_id id;
        search_request request;
        snapshot_choice snapshot;
        std::vector<shard_state> shards;
        std::vector<hit> hits;
        std::size_t settled = 0;
        std::size_t answered = 0;
        std::uint32_t restarts = 0;
        std::uint32_t canary_failures = 0;
        std::optional<shard_index>
            canary;  ///< The shard that runs ahead of the others; empty once it answered.
        bool any_may_have_run = false;
        time_point wakeup = time_point::max();
    };
    struct place {
        query_id query;
        shard_index shard;
    };

    auto refuse(const search_request& request, result_code code, std::optional<duration> retry_after)
        -> submitted;
    [[nodiscard]] auto admission_shortfall(const search_request& request, const snapshot_choice& snapshot,
                                           time_point now) const -> std::optional<duration>;
    auto begin(query& q, time_point now, entry_actions& out) -> void;
    auto fan_out(query& q, time_point now, entry_actions& out) -> void;
    [[nodiscard]] auto needs_canary(const query& q) const -> bool;
    [[nodiscard]] auto choose_canary(const query& q, time_point now) const -> std::optional<shard_index>;
    [[nodiscard]] auto canary_replicas(const query& q, shard_index shard, time_point now) const
        -> std::vector<upstream_id>;
    auto send_shard(query& q, shard_index shard, bool extra, time_point now, entry_actions& out) -> bool;
    [[nodiscard]] auto choose_replica(const query& q, shard_index shard, bool extra, time_point now) const
        -> std::optional<upstream_id>;
    auto send_attempt(query& q, shard_index shard, const upstream_id& upstream, bool extra, time_point now,
                      entry_actions& out) -> void;
    auto accept(query& q, shard_index shard, const sub_answer& answer, time_point now, entry_actions& out)
        -> void;
    auto reject(query& q, shard_index shard, const upstream_id& upstream, const sub_answer& answer,
                time_point now, entry_actions& out) -> void;
    auto fail_canary(query& q, shard_index shard, const sub_answer& answer, time_point now,
                     entry_actions& out) -> bool;
    auto retry_or_give_up(query& q, shard_index shard, result_code code, time_point now, entry_actions& out)
        -> void;
    auto give_up(query& q, shard_index shard) -> void;
    auto restart(query& q, time_point now, entry_actions& out) -> bool;
    auto withdraw_all(query& q, entry_actions& out) -> void;
    auto hedge(query& q, shard_index shard, time_point now, entry_actions& out) -> void;
    auto finish_if_settled(query_id id, time_point now, entry_actions& out) -> void;
    auto finish(query& q, result_code code, entry_actions& out) -> void;
    auto wake_at(query& q, time_point at) -> void;
    [[nodiscard]] auto is_late_by_load(const query& q, time_point now) const -> bool;
    auto act_on_due_shards(query& q, time_point now, entry_actions& out) -> void;
    [[nodiscard]] auto slow_after() const -> duration;
    auto remember_cleared(fingerprint print) -> void;
    [[nodiscard]] auto sub_deadline(const query& q) const -> time_point;

    service_spec spec_;
    entry_policy policy_;
    id_source numbers_;
    service_view view_;
    extra_load_budget budget_;
    admission_control admission_;
    std::map<query_id, query> queries_;
    std::unordered_map<sub_request_id, place> places_;
    std::set<std::pair<time_point, query_id>> wakeups_;
    std::unordered_set<fingerprint> cleared_;
    std::deque<fingerprint> cleared_order_;
    std::unordered_map<fingerprint, suspicion> suspects_;
};

}  // namespace eelgrassledge
