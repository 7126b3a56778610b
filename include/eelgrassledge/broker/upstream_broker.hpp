#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "eelgrassledge/broker/sub_request.hpp"
#include "eelgrassledge/broker/warm_up.hpp"

namespace eelgrassledge {

/// How priority work obtains a slot while ordinary work holds them all.
enum class lane_policy : std::uint8_t {
    head_of_queue,  ///< It waits for the next free slot, ahead of all ordinary work.
    reserved_slot,  ///< Some slots never run ordinary work.
    preempt,        ///< Idempotent ordinary work is cancelled and queued again.
};

/// Limits and choices of one upstream, from its service in the document.
struct upstream_limits {
    std::uint32_t slots = 2;
    std::uint32_t priority_slots = 1;
    std::uint32_t queue_limit = 200;
    lane_policy policy = lane_policy::preempt;
    warm_up_limits warm_up;
};

/// Right of this broker to send to the upstream.
struct send_authority {
    bool owned = false;
    /// Until when the ownership is confirmed through the platform's store. Needed for an upstream that is
    /// cold or of unknown warmth; a warm one is also served on the last assignment known.
    time_point confirmed_until{};
};

/// Sends a sub-request to the upstream.
struct send_action {
    sub_request request;
    time_point deadline;
    bool fresh_connection = false;
};

/// Gives the final answer to the entry.
struct answer_action {
    sub_answer answer;
};

/// Tells the entry that a sub-request has been running for its `slow_after`.
struct slow_action {
    sub_key key;
};

/// Cancels a sub-request that was sent.
struct abort_action {
    sub_key key;
    bool close_connection = false;
};

/// Closes the connections to the upstream on which nothing runs: they may be as dead as one that was.
struct close_idle_action {};

enum class strike_change : std::uint8_t {
    added,      ///< The upstream vanished while it ran the fingerprint.
    withdrawn,  ///< The upstream proved to be the same process as before.
    cleared,    ///< The fingerprint ran to its end.
};

/// Reports a change in the strikes of a fingerprint.
struct strike_action {
    fingerprint print;
    strike_change change = strike_change::added;
    std::uint32_t strikes = 1;  ///< With `added`: strikes of the fingerprint, this one included.
};

using broker_action =
    std::variant<send_action, answer_action, slow_action, abort_action, close_idle_action, strike_action>;
using broker_actions = std::vector<broker_action>;

/// How a sub-request that was sent ended.
struct send_outcome {
    result_code code = result_code::ok;
    start_id start;
    snapshot_id snapshot;
    shard_index shard;
    std::vector<hit> hits;
    std::vector<holding> holdings;
    /// Why the connection failed, for the log.
    std::string reason;
};

/// What a status poll of an upstream said. It may lag or mislead; only the start id, the holdings and
/// the leaving flag are used, none of them to raise a limit.
struct upstream_status {
    start_id start;
    bool leaving = false;
    std::vector<holding> holdings;
};

/// Decisions of the one owner of an upstream: its queue, slots, ramp, suspicion of connections and
/// requests. Events go in with the time, actions come out; nothing is sent or waited for here.
///
/// The class is not synchronized. Queue operations take logarithmic time in the queue's length.
///
/// Example:
/// `auto actions = broker.submit(request, now); // run each action, then arm a timer at next_wakeup()`
class upstream_broker {
  public:
    upstream_broker(upstream_id name, upstream_limits limits);

    /// Changes the limits; running work is not cut.
    auto configure(const upstream_limits& limits) -> void;

    /// Takes a sub-request into the queue or answers it with a refusal. `known_strikes` is how many upstreams
    /// are known here to have vanished while they ran its fingerprint; an entry that knows of fewer is told
    /// before anything is sent.
    auto submit(sub_request request, time_point now, std::uint32_t known_strikes = 0) -> broker_actions;

    /// Forgets a queued sub-request; aborts a running one.
    auto cancel(const sub_key& key, time_point now) -> broker_actions;

    /// Cancels everything that came by a link, for when an entry is lost.
    auto cancel_link(link_id link, time_point now) -> broker_actions;

    /// Records how a sent sub-request ended. Unknown keys are ignored.
    auto completed(const sub_key& key, const send_outcome& outcome, time_point now) -> broker_actions;

    /// Records a status poll, or that it failed.
    auto polled(const std::optional<upstream_status>& status, time_point now) -> broker_actions;

    /// Records that the instance list shows the upstream as leaving, or no longer so.
    auto set_leaving(bool leaving, time_point now) -> broker_actions;

    /// Changes the right to send. Losing the ownership answers all queued work with `not_owner`.
    auto set_authority(send_authority authority, time_point now) -> broker_actions;

    /// Acts on the passage of time.
    auto advance(time_point now) -> broker_actions;

    /// When `advance` must be called next, if at all.
    [[nodiscard]] auto next_wakeup(time_point now) const -> std::optional<time_point>;

    /// Takes over the warm-up state of the previous owner.
    auto inherit(const warm_up_state& state) -> void;

    [[nodiscard]] auto load() const -> upstream_load;
    [[nodiscard]] auto warm_up() const -> const warm_up_ramp& { return ramp_; }
    [[nodiscard]] auto name() const -> const upstream_id& { return name_; }
    [[nodiscard]] auto running() const -> std::size_t { return running_.size(); }
    [[nodiscard]] auto queued() const -> std::size_t { return ordinary_.size() + priority_.size(); }

  private:
    struct queue_rank {
        time_point start;
        query_id query;
        sub_key key;
        // NOLINTNEXTLINE(modernize-*)
        friend auto operator<=>(const queue_rank&, const queue_rank&) = default;
    };
    struct running_request {
        sub_request request;
        time_point sent;
        bool slow_told = false;
        bool abandoned = false;  ///< The entry no longer waits; the slot is held until the upstream answers.
        bool requeue = false;    ///< Goes back to the queue once the upstream has let go of it.
    };
    using request_queue = std::map<queue_rank, sub_request>;

    auto refusal_for(const sub_request& request, time_point now) const -> std::optional<result_code>;
    [[nodiscard]] auto cold_wait(time_point now) const -> duration;
    auto refuse(const sub_request& request, result_code code) -> answer_action;
    auto flush(result_code code, broker_actions& out) -> void;
    auto flush_fingerprint(fingerprint print, std::uint32_t strikes, broker_actions& out) -> void;
    auto expire(time_point now, broker_actions& out) -> void;
    auto dispatch(time_point now, broker_actions& out) -> void;
    auto next_to_send(time_point now) -> std::optional<sub_request>;
    auto pop_sendable(request_queue& from) -> std::optional<sub_request>;
    [[nodiscard]] auto must_wait_alone(const sub_request& request) const -> bool;
    auto send(sub_request request, time_point now, broker_actions& out) -> void;
    auto preempt_for_priority(time_point now, broker_actions& out) -> void;
    auto check_running(time_point now, broker_actions& out) -> void;
    /// When a running sub-request counts as silent unless an answer comes.
    [[nodiscard]] auto silent_from(const running_request& r) const -> time_point;
    /// When a running sub-request must be looked at next.
    [[nodiscard]] auto next_check(const running_request& r) const -> time_point;
    auto give_up_silent(const sub_key& key, time_point now, broker_actions& out) -> void;
    auto connection_lost(const running_request& ended, time_point now, broker_actions& out) -> void;
    auto probe_for_strikes(time_point now, broker_actions& out) -> void;
    auto settle_strikes(bool restarted, broker_actions& out) -> void;
    auto note_start(start_id start, time_point sent, broker_actions& out) -> void;
    auto answered_by_upstream(const running_request& ended, const send_outcome& outcome, time_point now,
                              broker_actions& out) -> void;
    auto back_off(time_point now) -> void;
    auto enqueue(sub_request request) -> void;
    [[nodiscard]] auto may_send_now(time_point now) const -> bool;
    [[nodiscard]] auto send_deadline(const sub_request& request) const -> time_point;

    upstream_id name_;
    upstream_limits limits_;
    warm_up_ramp ramp_;
    send_authority authority_;
    request_queue ordinary_;
    request_queue priority_;
    std::map<sub_key, running_request> running_;
    std::set<std::pair<time_point, sub_key>> queued_deadlines_;
    std::vector<holding> holdings_;
    std::map<fingerprint, std::uint32_t> strikes_here_;  ///< Strikes not yet confirmed by a restart.
    std::optional<start_id> start_seen_;                 ///< Newest start known before those strikes.
    time_point last_strike_{};
    std::uint64_t probes_ = 0;
    duration service_time_{0};
    time_point last_answer_{};
    time_point back_off_until_{};
    duration back_off_{0};
    time_point unreachable_until_{};
    time_point next_fresh_connection_{};
    bool leaving_listed_ = false;
    bool leaving_told_ = false;
    std::optional<start_id> leaving_start_;
    bool fresh_next_ = false;
};

}  // namespace eelgrassledge
