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

/// Number of one sub-request on its way to an upstream, unique within a process.
using attempt_id = strong_type<struct attempt_id_tag, std::uint64_t>;

struct http_header {
    std::string name;
    std::string value;
};

/// Complete answer of an upstream.
struct upstream_reply {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    /// Signature by which the caller recognizes the upstream's own answer; empty when it gave none.
    std::string signature;
};

/// Whether an answer is a success that the upstream signed.
[[nodiscard]] auto is_success(const upstream_reply& reply) -> bool;

/// How a sub-request ended, told apart by what may have run.
enum class attempt_end : std::uint8_t {
    answered,  ///< The upstream answered; the request ran.
    not_run,   ///< The upstream refused the request and says that it has not run.
    not_sent,  ///< No connection was opened.
    unclear,   ///< The connection failed, or something else than the answer came; the request may have run.
};

struct attempt_outcome {
    attempt_end end = attempt_end::unclear;
    upstream_reply reply;
    /// With `not_run`: it had no room, or its queue was too long for the deadline.
    bool is_full = false;
    /// Why it did not end with an answer, for the log.
    std::string reason;
};

/// One sub-request to send.
struct send_order {
    attempt_id attempt;
    shared_upstream to;
    time_point deadline;
    /// A kept connection may already be closed at its other end, which leaves it unclear what ran.
    bool fresh_connection = false;
};

/// Some shards of the query to be asked for by another instance.
struct group_order {
    attempt_id call;
    shard_group group;
    /// When its answer should leave, with whatever it has.
    time_point answer_by;
    time_point deadline;
};

/// How a group ended.
enum class group_end : std::uint8_t {
    answered,   ///< It answered for at least some shards.
    not_taken,  ///< The other instance did nothing with the request.
    silent,     ///< The other instance may have asked for the shards, and may not.
    failed,     ///< The other instance asked for the shards and got none.
};

struct group_outcome {
    group_end end = group_end::silent;
    /// Shards that are in, by their position in the route's list, and the signature of each.
    std::vector<std::size_t> shards;
    std::vector<std::string> signatures;
    /// Missing shards that may still run once more within the route's attempts.
    std::vector<std::size_t> open_shards;
    /// Greatest records of these shards.
    std::string merged;
    std::string reason;
};

/// Final answer of a query.
struct query_answer {
    result_code code = result_code::ok;
    /// Answer of the one upstream of a route without shards; its status, headers and body go out unchanged.
    std::optional<upstream_reply> reply;
    /// Signatures of the parts, their merged records and the number of missing parts.
    std::vector<std::string> part_signatures;
    std::string merged;
    /// Shards that are in, in the order of the signatures.
    std::vector<std::size_t> parts;
    std::size_t missing_parts = 0;
    std::vector<service_id> missing_shards;
    /// Missing shards with an attempt left, by position.
    std::vector<std::size_t> open_shards;
    /// Wait that a refused caller is asked for.
    duration retry_after{};
    /// Time from the request's arrival to its first part, and to as many as a success needs.
    std::optional<duration> first_part_after;
    std::optional<duration> enough_parts_after;
};

/// A decision for the log. `reason` is one of a few words and also labels the counter of the event.
struct query_note {
    std::string event;
    std::string reason;
    std::string detail;
};

/// How a sub-request ended, as one word.
[[nodiscard]] auto to_string(attempt_end end) -> std::string_view;
[[nodiscard]] auto to_string(group_end end) -> std::string_view;

/// What to do after an event.
struct query_actions {
    std::vector<send_order> sends;
    std::vector<group_order> group_sends;
    std::vector<attempt_id> cancels;
    std::vector<attempt_id> group_cancels;
    std::vector<query_note> notes;
    std::optional<query_answer> answer;
};

/// One attempt of a caller.
struct query_setup {
    shared_route_table table;
    const route* matched = nullptr;
    time_point received;
    /// When the caller stops waiting.
    time_point caller_deadline;
    /// Time that the caller spends on the way here and back.
    duration round_trip_time{};
    /// Shards that other instances ask for.
    std::vector<shard_group> groups;
    /// For a part of another instance's query: its shards, and when its answer should leave with whatever is
    /// in.
    std::vector<std::size_t> only_shards;
    std::optional<time_point> answer_by;
    /// Whether the request is known by now to crash upstreams; asked before each send but the first.
    std::function<bool()> is_suspect;
};

/// Life of one request on a route: which upstreams get it, when it is hedged or retried, and which answer
/// it gets. A route without shards is a fan-out of one whose answer goes out unchanged.
///
/// Events go in with the time, actions come out. Not synchronized.
class routed_query {
  public:
    /// `next_attempt` numbers the sub-requests of the process.
    routed_query(routing_state& state, query_setup setup, std::uint64_t& next_attempt);

    /// Sends the first sub-requests, or refuses the request.
    auto start(time_point now) -> query_actions;

    /// Records how a sub-request ended. Unknown attempts are ignored.
    auto ended(attempt_id attempt, const attempt_outcome& outcome, time_point now) -> query_actions;

    /// Records how another instance's part ended. Unknown calls are ignored.
    auto group_ended(attempt_id call, const group_outcome& outcome, time_point now) -> query_actions;

    /// Acts on the passage of time: hedges, partial answers, the deadline.
    auto advance(time_point now) -> query_actions;

    /// Gives up because the caller left; the actions cancel what is running.
    auto abandon(time_point now) -> query_actions;

    /// When `advance` must be called next.
    [[nodiscard]] auto next_wakeup() const -> time_point;

    [[nodiscard]] auto setup() const -> const query_setup& { return setup_; }
    /// Sub-requests sent from here so far.
    [[nodiscard]] auto send_count() const -> std::size_t;

    /// Upstreams that got the request, for a route without shards, in the order of the sends.
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
        std::uint32_t sends = 0;
        std::uint32_t runs = 0;
        /// When an answer that is still missing counts as overdue, and a hedge is considered.
        std::optional<time_point> overdue_at;
        bool settled = false;
        bool hedge_denied = false;
        /// Whether an upstream refused it for want of room.
        bool was_refused = false;
        std::optional<upstream_reply> part;
        std::optional<upstream_reply> failure;
        result_code failed_with = result_code::ok;
    };
    struct running_group {
        attempt_id call;
        std::vector<std::size_t> shards;
        time_point sent;
    };

    [[nodiscard]] auto is_idempotent() const -> bool;
    [[nodiscard]] auto required_parts() const -> std::size_t;
    [[nodiscard]] auto choose_shards() -> std::vector<shard_state>;
    [[nodiscard]] auto is_admitted(time_point now, query_actions& out) -> bool;
    [[nodiscard]] auto pressed_shards() const -> std::size_t;
    auto record_load(time_point now) -> void;
    auto send_groups(time_point now, query_actions& out) -> void;
    auto launch_first(shard_state& shard, time_point now, query_actions& out) -> void;
    auto launch_again(shard_state& shard, time_point now, query_actions& out) -> void;
    auto give_up(shard_state& shard) -> void;
    auto take_group_parts(const group_outcome& outcome) -> void;
    auto note_progress(time_point now) -> void;
    [[nodiscard]] auto at_position(std::size_t position) -> shard_state&;
    auto launch(shard_state& shard, const shared_upstream& to, time_point now, query_actions& out) -> void;
    [[nodiscard]] auto seems_to_crash() const -> bool;
    /// Whether a shard must not be sent again because the request crashes upstreams; notes it.
    [[nodiscard]] auto is_suspect(const shard_state& shard, query_actions& out) const -> bool;
    auto try_again(shard_state& shard, const attempt_outcome& outcome, time_point now, query_actions& out)
        -> bool;
    auto accept(shard_state& shard, const running_attempt& from, const upstream_reply& reply, time_point now,
                query_actions& out) -> void;
    auto cancel_running(shard_state& shard, time_point now, query_actions& out) -> void;
    auto cancel_groups(query_actions& out) -> void;
    auto settle(shard_state& shard, const attempt_outcome& outcome) -> void;
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
    /// Records that other instances merged.
    std::vector<std::string> merged_elsewhere_;
    time_point answer_by_;
    time_point in_time_until_;
    time_point late_by_;
    time_point give_up_at_;
    time_point latest_event_;
    std::size_t parts_in_ = 0;
    std::optional<time_point> first_part_at_;
    std::optional<time_point> enough_parts_at_;
    /// Connections that broke while they carried a sub-request.
    std::size_t breaks_ = 0;
    bool finished_ = false;
};

}  // namespace eelgrassledge
