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

/// When a hedge is sent: a second sub-request for the same shard to another replica while the first is still
/// running. The first answer is used and the other sub-request is withdrawn.
enum class hedge_policy : std::uint8_t {
    none,
    fixed_delay,    ///< After a fixed running time of the sub-request at the upstream.
    quantile,       ///< After a quantile of recent running times at the upstreams of the service.
    median_factor,  ///< After a multiple of the median of recent running times.
};

/// Which queries are refused at submission, before any sub-request is sent.
enum class admission_policy : std::uint8_t {
    none,
    expected_finish,  ///< Queries with a shard that is not expected to answer before the deadline.
};

/// Settings of an entry that are not part of the configuration document.
struct entry_policy {
    hedge_policy hedging = hedge_policy::median_factor;
    double hedge_quantile = 0.98;
    double hedge_median_factor = 3;
    duration fixed_hedge_delay = milliseconds{40};
    /// Sends no hedge to a replica whose expected finish is a multiple of the mean running time.
    bool skip_hedge_to_busy_replica = false;
    admission_policy admission = admission_policy::expected_finish;
};

/// Send a sub-request to the broker of its upstream.
struct dispatch_action {
    instance_id broker;
    sub_request request;
};

/// Ask a broker to cancel a sub-request whose answer is no longer needed.
struct withdraw_action {
    instance_id broker;
    upstream_id upstream;
    sub_request_id id;
};

/// Return the answer to the caller.
struct reply_action {
    query_id query;
    search_answer answer;
};

/// A decision about a running query that is counted in metrics and logged: an extra sub-request was sent or
/// denied, the query restarted, or an answer was discarded.
enum class note_reason : std::uint8_t {
    hedge,
    hedge_over_budget,  ///< Not sent: the budget of extra sub-requests was used up.
    retry,
    retry_over_budget,          ///< Not sent: the budget of extra sub-requests was used up.
    restart_on_newer_snapshot,  ///< No replica holds the snapshot of the query any more.
    canary_retry,
    rejected_answer,  ///< The answer was for another shard or snapshot than requested.
};

/// Count and log a decision.
struct note_action {
    note_reason reason;
    result_code cause;  ///< Code that led to the decision; `ok` for hedges.
    request_id request;
    upstream_id upstream;  ///< Upstream that the decision concerns; empty if it concerns none in particular.
};

/// Report the strikes of a fingerprint, as received in an answer, to the other parts of this daemon. A strike
/// is one upstream that vanished while it ran a request with this fingerprint.
struct suspect_action {
    fingerprint print;
    std::uint32_t strikes = 0;
};

/// An effect that the owner of an `entry_service` must carry out.
using entry_action =
    std::variant<dispatch_action, withdraw_action, reply_action, note_action, suspect_action>;
using entry_actions = std::vector<entry_action>;

/// Name of a decision as it is written to metrics and logs.
[[nodiscard]] auto to_string(note_reason reason) -> std::string_view;

/// Runs the queries of one service at an entry: admission, choice of snapshot and replicas, hedges, retries,
/// merge and coverage. The class does no I/O: each member function takes an event and the current time and
/// returns the actions to carry out.
///
/// The class is not thread-safe. Handling an answer takes constant time apart from the merge of its
/// hits; starting a query is linear in the replicas of its shards.
///
/// Example:
/// `auto [id, actions] = service.submit(request, now); // run each action; a reply_action ends the query`
class entry_service {
  public:
    /// The id of a submitted query and the first actions for it.
    struct submitted {
        query_id query;
        entry_actions actions;
    };
    /// Returns ids for sub-requests and queries; each call returns one that is unique within the process.
    using id_source = std::function<std::uint64_t()>;

    entry_service(service_spec spec, entry_policy policy, id_source ids);

    /// Replaces the limits of the service. Running queries keep the limits that they started with where these
    /// differ.
    auto configure(const service_spec& spec) -> void;

    /// Routes and loads of the upstreams, which the owner keeps up to date.
    auto view() -> service_view& { return view_; }
    [[nodiscard]] auto view() const -> const service_view& { return view_; }
    [[nodiscard]] auto spec() const -> const service_spec& { return spec_; }

    /// Starts a query, or refuses it with a `reply_action` among the returned actions.
    auto submit(search_request request, time_point now) -> submitted;

    /// Handles the answer to a sub-request. The answer to an unknown or already finished sub-request updates
    /// only the load and running times of its upstream.
    auto on_answer(const sub_answer& answer, time_point now) -> entry_actions;

    /// Handles a notification that a sub-request has been running for longer than its `slow_after`.
    auto on_slow(sub_request_id id, time_point now) -> entry_actions;

    /// Handles the loss of the connection to a broker; every sub-request in flight on it counts as failed.
    auto on_broker_lost(const instance_id& broker, time_point now) -> entry_actions;

    /// Merges the suspicion of a fingerprint reported by another daemon into the local one.
    auto merge_suspicion(fingerprint print, const suspicion& state) -> void;

    /// Handles all deadlines, retries and time-outs that are due at `now`.
    auto advance(time_point now) -> entry_actions;

    /// When `advance` must be called next; empty if no query is running.
    [[nodiscard]] auto next_wakeup() const -> std::optional<time_point>;

    /// Number of queries that have not been answered yet.
    [[nodiscard]] auto running() const -> std::size_t { return queries_.size(); }

  private:
    /// One sub-request in flight.
    struct attempt {
        sub_request_id id;
        upstream_id upstream;
        instance_id broker;
        time_point sent;
        bool extra = false;  ///< A hedge or an immediate retry; adds nothing to the budget.
    };
    /// Progress of one shard of a query.
    struct shard_state {
        bool answered = false;
        bool abandoned = false;     ///< No further attempt is made; the shard is reported as missing.
        bool may_have_run = false;  ///< An upstream may have started one of the attempts.
        bool patient = false;       ///< Attempts wait for a cold upstream, since all replicas are warming up.
        std::uint32_t tries = 0;
        std::vector<attempt> open;       ///< Attempts in flight.
        std::vector<upstream_id> tried;  ///< Cleared when all of them may be tried again.
        std::optional<time_point> retry_at;
        std::optional<time_point> unresponsive_at;  ///< When the broker is treated as unresponsive.
        result_code last_code = result_code::ok;
    };
    /// A running query.
    struct query {
        query_id id;
        search_request request;
        snapshot_choice snapshot;
        std::vector<shard_state> shards;
        std::vector<hit> hits;
        std::size_t settled = 0;   ///< Shards that are answered or abandoned.
        std::size_t answered = 0;  ///< Shards that are answered.
        std::uint32_t restarts = 0;
        std::uint32_t canary_failures = 0;
        /// The shard that is queried before the others; empty if there is none or once it has answered.
        std::optional<shard_index> canary;
        bool any_may_have_run = false;
        time_point wakeup = time_point::max();
    };
    /// The query and shard that a sub-request belongs to.
    struct shard_ref {
        query_id query;
        shard_index shard;
    };

    /// Answers a query with an error without running it.
    auto refuse(const search_request& request, result_code code, std::optional<duration> retry_after)
        -> submitted;
    /// By how much the longest expected wait of a shard exceeds what admission allows; empty if the query is
    /// admitted.
    [[nodiscard]] auto admission_shortfall(const search_request& request, const snapshot_choice& snapshot,
                                           time_point now) const -> std::optional<duration>;
    /// Sends the canary, or all sub-requests if the query needs none.
    auto start_shards(query& q, time_point now, entry_actions& out) -> void;
    /// Sends a sub-request for every shard that has none in flight and is neither answered nor abandoned.
    auto fan_out(query& q, time_point now, entry_actions& out) -> void;
    /// Whether the fingerprint has strikes or has not yet been answered successfully.
    [[nodiscard]] auto needs_canary(const query& q) const -> bool;
    /// The shard to query first. Depends on the fingerprint, so that all entries choose the same one.
    [[nodiscard]] auto choose_canary(const query& q, time_point now) const -> std::optional<shard_index>;
    /// Untried replicas of the canary's shard: those with an avoided broker last, otherwise in an order that
    /// depends only on the fingerprint, so that all entries choose the same one.
    [[nodiscard]] auto canary_replicas(const query& q, shard_index shard, time_point now) const
        -> std::vector<upstream_id>;
    /// Sends a sub-request to the best replica of a shard. Returns false if there is no usable replica.
    auto send_shard(query& q, shard_index shard, bool extra, time_point now, entry_actions& out) -> bool;
    /// The first untried replica. With `extra` false, one already tried if all were and none is in flight.
    [[nodiscard]] auto choose_replica(const query& q, shard_index shard, bool extra, time_point now) const
        -> std::optional<upstream_id>;
    /// Sends a sub-request for a shard to an upstream and records it as in flight.
    auto send_attempt(query& q, shard_index shard, const upstream_id& upstream, bool extra, time_point now,
                      entry_actions& out) -> void;
    /// Handles a successful answer for the right shard and snapshot.
    auto accept(query& q, shard_index shard, const sub_answer& answer, time_point now, entry_actions& out)
        -> void;
    /// Handles an answer with an error code, or for another shard or snapshot.
    auto handle_failure(query& q, shard_index shard, const upstream_id& upstream, const sub_answer& answer,
                        time_point now, entry_actions& out) -> void;
    /// Records the strikes in an answer; ends the query at `STRIKES_TO_QUARANTINE`, otherwise sends a failed
    /// canary to another replica. Returns whether the failure needs no further handling.
    auto handle_strikes(query& q, shard_index shard, const sub_answer& answer, time_point now,
                        entry_actions& out) -> bool;
    /// Sends the sub-request to another replica now or after a pause, or abandons the shard if its tries,
    /// time or budget are used up.
    auto retry_or_abandon(query& q, shard_index shard, result_code code, time_point now, entry_actions& out)
        -> void;
    /// Makes no further attempt for a shard.
    auto abandon(query& q, shard_index shard) -> void;
    /// Starts the query over on a newer snapshot. Returns false if that is not possible.
    auto restart(query& q, time_point now, entry_actions& out) -> bool;
    /// Cancels all attempts in flight.
    auto withdraw_all(query& q, entry_actions& out) -> void;
    /// Sends a hedge if the policy, the deadline and the budget allow it.
    auto hedge(query& q, shard_index shard, time_point now, entry_actions& out) -> void;
    /// Answers the query if every shard is settled or its strikes end it; replaces an abandoned canary.
    auto finish_if_settled(query_id id, time_point now, entry_actions& out) -> void;
    /// Cancels what is in flight, returns the answer to the caller and removes the query.
    auto finish(query& q, result_code code, entry_actions& out) -> void;
    /// Moves the next wakeup of a query forward to `at`, if it is later.
    auto schedule_wakeup(query& q, time_point at) -> void;
    /// Whether an unanswered shard with attempts in flight has a replica that is warm, admitting and not
    /// avoided. Then the missed deadline is due to load, not to an outage.
    [[nodiscard]] auto is_late_due_to_load(const query& q, time_point now) const -> bool;
    /// Sends due retries and handles brokers that have become unresponsive.
    auto process_due_shards(query& q, time_point now, entry_actions& out) -> void;
    /// Running time after which a hedge is sent; zero for never.
    [[nodiscard]] auto slow_after() const -> duration;
    /// Records a fingerprint as harmless; drops the oldest one beyond the capacity.
    auto remember_cleared(fingerprint print) -> void;
    /// Deadline of sub-requests: that of the query less the time to merge and return the answer.
    [[nodiscard]] auto sub_deadline(const query& q) const -> time_point;

    service_spec spec_;
    entry_policy policy_;
    id_source next_id_;
    service_view view_;
    extra_load_budget budget_;
    admission_control admission_;
    std::map<query_id, query> queries_;
    std::unordered_map<sub_request_id, shard_ref> in_flight_;
    std::set<std::pair<time_point, query_id>> wakeups_;
    std::unordered_set<fingerprint> cleared_;  ///< Fingerprints that ran without crashing their upstream.
    std::deque<fingerprint> cleared_order_;    ///< The same, oldest first.
    std::unordered_map<fingerprint, suspicion> suspects_;  ///< Fingerprints with strikes.
};

}  // namespace eelgrassledge
