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

/// How a priority sub-request obtains a slot while ordinary sub-requests occupy all of them.
enum class lane_policy : std::uint8_t {
    head_of_queue,  ///< It takes the next free slot, before all queued ordinary sub-requests.
    reserved_slot,  ///< `priority_slots` of the slots never run ordinary sub-requests.
    preempt,        ///< An idempotent ordinary sub-request is cancelled and queued again.
};

/// Limits and scheduling policy of one upstream, from its service's section of the configuration document.
struct upstream_limits {
    std::uint32_t slots = 2;           ///< Sub-requests that may run at once on a warm upstream.
    std::uint32_t priority_slots = 1;  ///< Slots that `policy` reserves or frees for priority sub-requests.
    std::uint32_t queue_limit = 200;   ///< Sub-requests that may be queued, both lanes together.
    lane_policy policy = lane_policy::preempt;
    warm_up_limits warm_up;
};

/// Permission of this broker to send to the upstream.
struct send_authority {
    bool owned = false;
    /// Time until which the platform's store has confirmed the ownership. Required only for an upstream that
    /// is cold or of unknown warmth; a warm one is also served on the last known assignment.
    time_point confirmed_until{};
};

/// Instruction to send a sub-request to the upstream.
struct send_action {
    sub_request request;
    time_point deadline;  ///< The upstream must stop by this time; at most the request's own deadline.
    bool fresh_connection = false;  ///< Open a new connection instead of reusing an idle one.
};

/// Instruction to return the final answer to the entry.
struct answer_action {
    sub_answer answer;
};

/// Instruction to notify the entry that a sub-request has been running for its `slow_after`.
struct slow_action {
    sub_key key;
};

/// Instruction to cancel a sub-request that was sent.
struct abort_action {
    sub_key key;
    bool close_connection = false;
};

/// Instruction to close all idle connections to the upstream, because they may have failed in the same way
/// as the connection that was just lost or unresponsive.
struct close_idle_action {};

/// Change in the strikes of a fingerprint. A strike is counted when an upstream vanishes (its connection
/// breaks) while it runs a request with that fingerprint; such a request is a suspect.
enum class strike_change : std::uint8_t {
    added,      ///< The upstream vanished while it ran a request with the fingerprint.
    withdrawn,  ///< The upstream process did not restart, so the request did not crash it.
    cleared,    ///< A request with the fingerprint ran to completion.
};

/// Instruction to record a change in the strikes of a fingerprint.
struct strike_action {
    fingerprint print;
    strike_change change = strike_change::added;
    std::uint32_t strikes = 1;  ///< With `added`: strikes of the fingerprint, including this one.
};

using broker_action =
    std::variant<send_action, answer_action, slow_action, abort_action, close_idle_action, strike_action>;
using broker_actions = std::vector<broker_action>;

/// Outcome of a sub-request that was sent.
struct send_outcome {
    result_code code = result_code::ok;
    start_id start;  ///< Start id of the process that answered; zero when none answered.
    snapshot_id snapshot;
    shard_index shard;
    std::vector<hit> hits;
    std::vector<holding> holdings;
    /// Reason for a connection failure, for the log.
    std::string reason;
};

/// Answer of an upstream to a status poll. It may be outdated or wrong, so only the start id, the holdings
/// and the leaving flag are used, and none of them to raise a limit.
struct upstream_status {
    start_id start;
    bool leaving = false;  ///< The upstream is shutting down and takes no new sub-requests.
    std::vector<holding> holdings;
};

/// Schedules the sub-requests to one upstream. Each upstream has a single owner, so this object alone decides
/// on its queue, slots and warm-up ramp, and detects unresponsive connections and suspect requests. Each
/// event is passed in with its time and returns the actions to perform; the class itself does no I/O and
/// never blocks.
///
/// The class is not synchronized. Inserting into a queue and taking from its front is logarithmic in the
/// queue's length; `cancel` and the expiry of a deadline search the queue linearly.
///
/// Example:
/// `auto actions = broker.submit(request, now); // run each action, then arm a timer at next_wakeup()`
class upstream_broker {
  public:
    upstream_broker(upstream_id name, upstream_limits limits);

    /// Changes the limits. Running sub-requests are not aborted.
    auto configure(const upstream_limits& limits) -> void;

    /// Queues a sub-request or refuses it. `known_strikes` is the number of strikes of its fingerprint known
    /// to this daemon. If the entry sent a lower number, the sub-request is refused with `suspect_request`
    /// and the higher number, and nothing is sent to the upstream.
    auto submit(sub_request request, time_point now, std::uint32_t known_strikes = 0) -> broker_actions;

    /// Removes a queued sub-request, or aborts a running one. Neither gets an answer.
    auto cancel(const sub_key& key, time_point now) -> broker_actions;

    /// Cancels the sub-requests received on a link after its entry was lost. Running sub-requests that are
    /// not idempotent continue.
    auto cancel_link(link_id link, time_point now) -> broker_actions;

    /// Records the outcome of a sent sub-request. Unknown keys are ignored.
    auto completed(const sub_key& key, const send_outcome& outcome, time_point now) -> broker_actions;

    /// Records the answer to a status poll; empty when the poll failed, which changes nothing.
    auto polled(const std::optional<upstream_status>& status, time_point now) -> broker_actions;

    /// Records whether the instance list marks the upstream as leaving.
    auto set_leaving(bool leaving, time_point now) -> broker_actions;

    /// Changes the permission to send. If the ownership is lost, all queued sub-requests are refused with
    /// `not_owner`.
    auto set_authority(send_authority authority, time_point now) -> broker_actions;

    /// Handles time-outs and sends what has become due.
    auto advance(time_point now) -> broker_actions;

    /// Latest time for the next call of `advance`; empty when no timer is needed.
    [[nodiscard]] auto next_wakeup(time_point now) const -> std::optional<time_point>;

    /// Takes over the warm-up state of the previous owner, unless this broker already has a state of its own.
    auto inherit(const warm_up_state& state) -> void;

    [[nodiscard]] auto load() const -> upstream_load;
    [[nodiscard]] auto warm_up() const -> const warm_up_ramp& { return ramp_; }
    [[nodiscard]] auto name() const -> const upstream_id& { return name_; }
    [[nodiscard]] auto running() const -> std::size_t { return running_.size(); }
    [[nodiscard]] auto queued() const -> std::size_t { return ordinary_.size() + priority_.size(); }

  private:
    /// Position in a queue: by start time, then by ids.
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
        bool slow_notified = false;
        bool abandoned = false;  ///< Cancelled or timed out; it holds its slot until the upstream answers.
        bool requeue = false;    ///< Preempted: queued again once the upstream confirms the cancellation.
    };
    using request_queue = std::map<queue_rank, sub_request>;

    /// Reason to refuse a sub-request; empty if it may be queued.
    auto refusal_for(const sub_request& request, time_point now) const -> std::optional<result_code>;
    /// Expected queueing time of a new sub-request at the current rate; zero at a warm upstream.
    [[nodiscard]] auto expected_cold_wait(time_point now) const -> duration;
    /// Answer to a sub-request with the given code and without hits.
    auto make_answer(const sub_request& request, result_code code) -> answer_action;
    /// Empties both queues and refuses their sub-requests with `code`.
    auto refuse_queued(result_code code, broker_actions& out) -> void;
    /// Removes the queued sub-requests with a fingerprint and refuses them with `suspect_request`.
    auto refuse_queued_suspects(fingerprint print, std::uint32_t strikes, broker_actions& out) -> void;
    /// Refuses the queued sub-requests whose deadline has passed.
    auto expire(time_point now, broker_actions& out) -> void;
    /// Sends queued sub-requests as long as slots and the permitted rate allow.
    auto dispatch(time_point now, broker_actions& out) -> void;
    auto next_to_send(time_point now) -> std::optional<sub_request>;
    /// Removes and returns the first sub-request of the queue that may run beside those running now.
    auto pop_sendable(request_queue& from) -> std::optional<sub_request>;
    /// Whether a sub-request must not run beside those running now: a suspect runs alone, and only one canary
    /// of a fingerprint runs at a time.
    [[nodiscard]] auto must_wait_for_running(const sub_request& request) const -> bool;
    auto send(sub_request request, time_point now, broker_actions& out) -> void;
    /// With `lane_policy::preempt`, aborts the most recently sent ordinary sub-requests to free slots.
    auto preempt_for_priority(time_point now, broker_actions& out) -> void;
    /// Reports slow sub-requests, ends those past their deadline and closes unresponsive connections.
    auto check_running(time_point now, broker_actions& out) -> void;
    /// Time from which a running sub-request without an answer counts as unresponsive.
    [[nodiscard]] auto unresponsive_at(const running_request& running) const -> time_point;
    /// Next time at which `check_running` must act on a running sub-request.
    [[nodiscard]] auto next_check(const running_request& running) const -> time_point;
    /// Closes the connection of an unresponsive sub-request and queues the sub-request again if it is
    /// idempotent.
    auto handle_unresponsive(const sub_key& key, time_point now, broker_actions& out) -> void;
    /// Counts a strike for every sub-request that ran when the connection to the upstream broke.
    auto connection_lost(const running_request& ended, time_point now, broker_actions& out) -> void;
    /// Sends a probe that shows the upstream's start id if strikes are unconfirmed and nothing else is sent.
    auto send_strike_probe(time_point now, broker_actions& out) -> void;
    /// Ends the unconfirmed strikes: they are kept if the upstream restarted, otherwise withdrawn.
    auto resolve_strikes(bool restarted, broker_actions& out) -> void;
    /// Resolves the unconfirmed strikes by the start id in an answer to a sub-request sent at `sent`.
    auto observe_start(start_id start, time_point sent, broker_actions& out) -> void;
    auto record_answer(const running_request& ended, const send_outcome& outcome, time_point now,
                       broker_actions& out) -> void;
    /// Pauses sending; the pause doubles with each call until a sub-request succeeds.
    auto back_off(time_point now) -> void;
    auto enqueue(sub_request request) -> void;
    /// Whether ownership, pauses, rate and slots permit one more sub-request now.
    [[nodiscard]] auto may_send_now(time_point now) const -> bool;
    /// Deadline passed to the upstream: not after the confirmed ownership ends, unless the upstream is warm.
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
    std::map<fingerprint, std::uint32_t> unconfirmed_strikes_;  ///< Strikes by fingerprint, until an answer
                                                                ///< shows whether the upstream restarted.
    std::optional<start_id> last_start_;  ///< Latest start id known before those strikes.
    time_point last_strike_{};
    std::uint64_t probe_count_ = 0;
    duration service_time_{0};  ///< Smoothed running time of one sub-request.
    time_point last_answer_{};
    time_point back_off_until_{};
    duration back_off_{0};
    time_point unreachable_until_{};
    time_point next_fresh_connection_{};
    bool leaving_listed_ = false;               ///< As marked in the instance list.
    bool leaving_reported_ = false;             ///< As reported by the upstream itself.
    std::optional<start_id> leaving_start_id_;  ///< Process that reported it; another one is not leaving.
    bool fresh_connection_needed_ = false;      ///< The next send opens a new connection.
};

}  // namespace eelgrassledge
