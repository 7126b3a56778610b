#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/routing/gather_placement.hpp"
#include "eelgrassledge/routing/routing_state.hpp"

namespace eelgrassledge {

/// Identifier of one sub-request to an upstream or another instance, unique within a process.
using attempt_id = strong_type<struct attempt_id_tag, std::uint64_t>;

struct http_header {
    std::string name;
    std::string value;
};

/// Complete HTTP answer of an upstream.
struct upstream_reply {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    /// Signature of the upstream, with which the caller verifies that the answer is the upstream's own; empty
    /// if the upstream sent none.
    std::string signature;
};

[[nodiscard]] inline auto is_success_status(int status) -> bool {
    return status >= 200 && status < 300;
}

/// Whether an answer with this status promises the caller that its request has not run and never will.
[[nodiscard]] auto is_not_run_status(int status) -> bool;

/// Whether the answer has a 2xx status and a signature of the upstream.
[[nodiscard]] auto is_success(const upstream_reply& reply) -> bool;

/// How a sub-request ended, classified by whether the upstream may have run it.
enum class attempt_end : std::uint8_t {
    answered,  ///< The upstream answered; it ran the request.
    not_run,   ///< The upstream refused the request and stated that it did not run it.
    not_sent,  ///< No connection was opened.
    unclear,   ///< The connection failed or the answer was invalid; the request may have run.
};

/// Result of a sub-request to an upstream.
struct attempt_outcome {
    attempt_end end = attempt_end::unclear;
    upstream_reply reply;
    /// With `not_run`: the upstream had no free capacity, or its queue was too long for the deadline.
    bool is_full = false;
    /// Why the sub-request did not end with an answer, for the log.
    std::string reason;
};

/// Instruction to send one sub-request to an upstream.
struct send_order {
    attempt_id attempt;
    shared_upstream to;
    time_point deadline;
    /// Whether to open a new connection. The upstream may already have closed a reused one, and then it is
    /// unknown whether the request ran.
    bool fresh_connection = false;
};

/// Instruction to have another instance query a group of shards.
struct group_order {
    attempt_id call;
    shard_group group;
    /// When the other instance should send its answer, with the parts that it has received by then.
    time_point answer_by;
    time_point deadline;
};

/// How a request to another instance for a group of shards ended.
enum class group_end : std::uint8_t {
    answered,   ///< The other instance returned parts of at least some shards.
    not_taken,  ///< The other instance did not process the request.
    refused,    ///< The other instance refused the query because its upstreams are overloaded; not run.
    silent,     ///< No answer; the other instance may or may not have queried the shards.
    failed,     ///< The other instance queried the shards and received no part.
};

/// Result of a request to another instance for a group of shards.
struct group_outcome {
    group_end end = group_end::silent;
    /// Shards whose parts were received, by position in the route's list, and the signature of each part.
    std::vector<std::size_t> shards;
    std::vector<std::string> signatures;
    /// Missing shards, by position, that may be run once more within the attempts that the route allows.
    std::vector<std::size_t> open_shards;
    /// Greatest records of the received parts, merged.
    std::string merged;
    std::string reason;
    /// With `refused`: how long the caller should wait before it retries.
    duration retry_after{};
};

/// Final answer of a query.
struct query_answer {
    result_code code = result_code::ok;
    /// Answer of the upstream, for a route without shards; its status, headers and body are forwarded
    /// unchanged. Empty if there is none that may be passed on.
    std::optional<upstream_reply> reply;
    /// Signatures of the received parts.
    std::vector<std::string> part_signatures;
    /// Greatest records of the received parts, merged.
    std::string merged;
    /// Shards whose parts were received, by position, in the order of `part_signatures`.
    std::vector<std::size_t> parts;
    /// Number of shards whose parts were not received.
    std::size_t missing_parts = 0;
    std::vector<service_id> missing_shards;
    /// Missing shards, by position, that have an attempt left.
    std::vector<std::size_t> open_shards;
    /// How long a refused caller is asked to wait before it retries.
    duration retry_after{};
    /// Time from the arrival of the request to the first part, and to the number of parts required for
    /// success.
    std::optional<duration> first_part_after;
    std::optional<duration> enough_parts_after;
};

/// A decision to log. `reason` is one of a fixed set of words and is also a label of the metric that counts
/// the event.
struct query_note {
    std::string event;
    std::string reason;
    std::string detail;
};

/// Name of the outcome for logs and metrics.
[[nodiscard]] auto to_string(attempt_end end) -> std::string_view;
/// Name of the outcome for logs and metrics.
[[nodiscard]] auto to_string(group_end end) -> std::string_view;

/// Actions that the owner of a query performs after an event.
struct query_actions {
    std::vector<send_order> sends;
    std::vector<group_order> group_sends;
    std::vector<attempt_id> cancels;
    std::vector<attempt_id> group_cancels;
    std::vector<query_note> notes;
    std::optional<query_answer> answer;
};

/// Parameters of one query.
struct query_setup {
    shared_route_table table;
    const route* matched = nullptr;
    /// Team of the caller; null if it needs none.
    const team* sender = nullptr;
    /// When the team's quota was granted for it; the default value if it needs none.
    time_point quota_granted{};
    time_point received;
    /// When the caller stops waiting.
    time_point caller_deadline;
    /// Network time between the caller and this instance, both directions together.
    duration round_trip_time{};
    /// Shards that other instances query.
    std::vector<shard_group> groups;
    /// For a part of another instance's query: positions of its shards, and when to answer with the parts
    /// that were received by then.
    std::vector<std::size_t> only_shards;
    std::optional<time_point> answer_by;
    /// Whether the request is currently recorded as one that crashes upstreams; called before each send but
    /// the first.
    std::function<bool()> is_suspect;
};

/// State machine of one request on a route: selects the upstreams, decides about hedges and retries, and
/// assembles the answer. A hedge is a second sub-request for the same shard, sent to another replica while
/// the first is overdue. A route without shards is handled as a fan-out to one upstream whose answer is
/// forwarded unchanged.
///
/// Performs no I/O: each event is passed in with the current time, and the actions to perform are returned.
/// Not synchronized.
class routed_query {
  public:
    /// `next_attempt` is the next free attempt number of the process and is incremented with each
    /// sub-request.
    routed_query(routing_state& state, query_setup setup, std::uint64_t& next_attempt);

    /// Moves the deadline of the query to `latest` if it is later.
    auto limit_deadline(time_point latest) -> void;

    /// Sends the first sub-requests, or refuses the request.
    auto start(time_point now) -> query_actions;

    /// Records how a sub-request ended. Unknown attempts are ignored.
    auto ended(attempt_id attempt, const attempt_outcome& outcome, time_point now) -> query_actions;

    /// Records that another instance has begun to run its shards. Unknown calls are ignored.
    auto group_taken(attempt_id call, time_point now) -> query_actions;

    /// Records how another instance's part ended. Unknown calls are ignored.
    auto group_ended(attempt_id call, const group_outcome& outcome, time_point now) -> query_actions;

    /// Handles what is due by `now`: hedges, partial answers, the deadline.
    auto advance(time_point now) -> query_actions;

    /// Ends the query because the caller disconnected; the actions cancel the running sub-requests.
    auto abandon(time_point now) -> query_actions;

    /// When to call `advance` next at the latest.
    [[nodiscard]] auto next_wakeup() const -> time_point;

    [[nodiscard]] auto setup() const -> const query_setup& { return setup_; }
    /// Sub-requests that this instance has sent to upstreams so far.
    [[nodiscard]] auto send_count() const -> std::size_t;

    /// Upstreams to which the request was sent, separated by commas, in order; empty for more than one shard.
    [[nodiscard]] auto upstreams_tried() const -> std::string;

    [[nodiscard]] auto shard_count() const -> std::size_t { return shards_.size(); }

  private:
    struct running_attempt {
        attempt_id id;
        shared_upstream to;
        time_point sent;
    };
    struct shard_state {
        service_id service;
        /// Position in the route's list.
        std::size_t position = 0;
        std::vector<running_attempt> running;
        std::vector<shared_upstream> tried;
        /// Sub-requests sent from this instance.
        std::uint32_t sends = 0;
        /// Sub-requests that an upstream may have run, including those of another instance.
        std::uint32_t runs = 0;
        /// When a pending answer counts as overdue and a hedge is considered.
        std::optional<time_point> overdue_at;
        /// Whether the part was received or the shard has failed.
        bool settled = false;
        bool hedge_denied = false;
        /// Whether an upstream refused it for lack of capacity.
        bool was_refused = false;
        std::optional<upstream_reply> part;
        /// Failure of the last upstream, if it may be passed on.
        std::optional<upstream_reply> failure;
        result_code failed_with = result_code::ok;
    };
    struct running_group {
        attempt_id call;
        std::vector<std::size_t> shards;
        time_point sent;
    };

    [[nodiscard]] auto is_idempotent() const -> bool;
    [[nodiscard]] auto urgency() const -> double;
    [[nodiscard]] auto required_parts() const -> std::size_t;
    [[nodiscard]] auto choose_shards() -> std::vector<shard_state>;
    [[nodiscard]] auto is_admitted(time_point now, query_actions& out) -> bool;
    /// Number of shards without capacity: an upstream refused the sub-request, or the sub-request is queued
    /// in this instance until earlier ones end.
    [[nodiscard]] auto saturated_shards() const -> std::size_t;
    auto record_load(time_point now) -> void;
    /// Sends all groups and the remaining shards; after a recent refusal only the group with most of the
    /// shards, so that a refusal is true: the others follow once that group is taken.
    auto send_first(time_point now, query_actions& out) -> void;
    auto send_group(const shard_group& group, time_point now, query_actions& out) -> void;
    /// Sends what waited for the leading group.
    auto send_rest(time_point now, query_actions& out) -> void;
    /// Sends the first sub-request of a shard; fails the shard if it has no usable replica.
    auto launch_first(shard_state& shard, time_point now, query_actions& out) -> void;
    /// Sends a shard from here after another instance failed to return its part.
    auto launch_again(shard_state& shard, time_point now, query_actions& out) -> void;
    /// Marks a shard as failed that another instance may have run.
    auto mark_failed(shard_state& shard) -> void;
    auto add_group_parts(const group_outcome& outcome) -> void;
    /// Handles the refusal of a group: the whole query is refused unless parts of it have run or may run.
    auto group_refused(const running_group& group, const group_outcome& outcome, time_point now,
                       query_actions& out) -> void;
    auto note_progress(time_point now) -> void;
    [[nodiscard]] auto at_position(std::size_t position) -> shard_state&;
    auto launch(shard_state& shard, const shared_upstream& to, time_point now, query_actions& out) -> void;
    /// Records how long a sub-request was in flight, as a sign of the load of its set of shards.
    auto record_time_in_flight(const running_attempt& ended, time_point now) -> void;
    /// Whether so many connections broke that the request itself probably crashes upstreams.
    [[nodiscard]] auto likely_crashes_upstreams() const -> bool;
    /// Whether a shard must not be sent again because the request is a suspect, that is, recorded as one that
    /// crashes upstreams; if so, adds a note.
    [[nodiscard]] auto is_suspect(const shard_state& shard, query_actions& out) const -> bool;
    auto try_again(shard_state& shard, const attempt_outcome& outcome, time_point now, query_actions& out)
        -> bool;
    auto accept(shard_state& shard, const running_attempt& from, const upstream_reply& reply, time_point now,
                query_actions& out) -> void;
    auto cancel_running(shard_state& shard, time_point now, query_actions& out) -> void;
    auto cancel_groups(query_actions& out) -> void;
    auto settle(shard_state& shard, const attempt_outcome& outcome, query_actions& out) -> void;
    /// Keeps the failure of an upstream as the answer to the caller, unless its status would mislead the
    /// caller.
    auto keep_failure(shard_state& shard, const upstream_reply& reply, query_actions& out) const -> void;
    auto act_on_overdue(shard_state& shard, time_point now, query_actions& out) -> void;
    auto finish_if_decided(time_point now, query_actions& out) -> void;
    auto stop_all(time_point now, query_actions& out) -> void;
    auto finish(result_code code, time_point now, query_actions& out) -> void;
    auto assemble(query_answer& answer) const -> void;
    [[nodiscard]] auto failure_code() const -> result_code;

    routing_state& state_;
    query_setup setup_;
    std::uint64_t& next_attempt_;
    std::vector<shard_state> shards_;
    std::vector<running_group> groups_;
    /// Group for which the others and the remaining shards wait.
    std::optional<attempt_id> leading_call_;
    /// Merged records of each group, as returned by the other instances.
    std::vector<std::string> group_records_;
    /// From here on until `objective_deadline_` the query is answered as soon as it has the required parts.
    time_point answer_by_;
    /// End of the latency objective of the route.
    time_point objective_deadline_;
    /// After the objective was missed, waits until then for parts beyond the required ones.
    time_point late_answer_deadline_;
    /// When the query ends, whatever it has received.
    time_point deadline_;
    /// Time of the latest event.
    time_point latest_event_;
    std::size_t received_parts_ = 0;
    std::optional<time_point> first_part_at_;
    std::optional<time_point> enough_parts_at_;
    /// Connections that failed during a sub-request.
    std::size_t broken_connections_ = 0;
    bool finished_ = false;
    /// Wait to propose at least, from the instance that refused the query.
    duration refused_wait_{};
};

}  // namespace eelgrassledge
