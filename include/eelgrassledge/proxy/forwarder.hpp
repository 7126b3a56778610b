#pragma once

#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "eelgrassledge/output/metrics.hpp"
#include "eelgrassledge/proxy/caller_answers.hpp"
#include "eelgrassledge/proxy/connection_pool.hpp"
#include "eelgrassledge/proxy/http_server.hpp"
#include "eelgrassledge/proxy/peer_calls.hpp"
#include "eelgrassledge/proxy/peer_protocol.hpp"
#include "eelgrassledge/proxy/team_labels.hpp"
#include "eelgrassledge/routing/crash_suspects.hpp"
#include "eelgrassledge/routing/gather_placement.hpp"
#include "eelgrassledge/routing/quota_decision.hpp"
#include "eelgrassledge/routing/stop_schedule.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Settings of a `forwarder`.
struct forwarder_settings {
    forwarding_headers headers;
    routing_policy policy;
    directory_limits directory;
    /// Record of this instance, as other instances see it.
    instance_record self;
};

/// Forwards callers' requests to upstreams and answers them. It matches a request to a route, runs a
/// `routed_query` that decides what to send where, and does the network I/O for that query. Not thread-safe:
/// all calls are made on the event loop of `network`.
class forwarder {
  public:
    forwarder(network_context& network, forwarder_settings settings, event_log log, metrics& counters);

    /// Handles a request that a caller sent on `session`.
    auto handle(const shared_session& session, inbound_request request) -> void;

    /// Handles a query for some shards of a route that another instance sent. Declines it, without running
    /// it, if it is malformed or the configuration versions of the two instances differ.
    auto handle_for_peer(const shared_session& session, inbound_request request) -> void;

    /// Sets the hooks that decide whether requests are within their teams' quotas, and that take back a grant
    /// whose request did not run. Without them quotas are not limited.
    auto limit_quotas(quota_gate ask, std::function<void(const team&, time_point granted)> returned) -> void {
        quota_gate_ = std::move(ask);
        quota_returned_ = std::move(returned);
    }

    /// What the head of a request alone shows.
    struct head_check {
        /// `ok`, or why the request is refused.
        result_code code = result_code::ok;
        const route* matched = nullptr;
        /// Team of the caller; null if it needs none.
        const team* sender = nullptr;
    };
    /// Checks a request by its head: configuration, request id, route and key.
    [[nodiscard]] auto check_head(const inbound_request& head) const -> head_check;

    /// The refusal of a caller's request that its head alone decides, logged and counted; nothing if the body
    /// is needed.
    [[nodiscard]] auto refusal_of_head(const inbound_request& head) -> std::optional<outbound_response>;

    /// The same for a query that another instance sends.
    [[nodiscard]] auto refusal_of_peer_head(inbound_request head) -> std::optional<outbound_response>;

    /// Makes `table` the table in force unless its version is not newer than the current one. Returns whether
    /// it did.
    auto apply_route_table(shared_route_table table) -> bool;

    [[nodiscard]] auto table() const -> const shared_route_table& { return table_; }
    [[nodiscard]] auto state() -> routing_state& { return state_; }
    [[nodiscard]] auto suspects() -> crash_suspects& { return suspects_; }
    [[nodiscard]] auto instances() -> instance_directory& { return instances_; }
    /// Number of queries that have not been answered yet.
    [[nodiscard]] auto running() const -> std::size_t { return queries_.size(); }

    /// From now on refuses requests that cannot end within the schedule, and ends all others by its last
    /// answer.
    auto begin_stop(const stop_schedule& schedule) -> void;

    /// Whether every route has upstreams for enough of its shards in responsive zones. Linear in the number
    /// of routes and of their shards.
    [[nodiscard]] auto serves_all_routes(time_point now) const -> bool;

    /// Sends a probe to one instance in each unresponsive zone, so that recovery is detected without other
    /// traffic; to be called about twice a second.
    auto probe_unresponsive_zones(time_point now) -> void;

    /// Closes idle connections and removes state of upstreams that no longer exist; to be called about once a
    /// second.
    auto sweep(time_point now) -> void;

  private:
    using query_number = std::uint64_t;

    struct running_query {
        /// Decides what is sent, when, and how the query ends.
        std::unique_ptr<routed_query> decisions;
        shared_session session;
        request_id id;
        fingerprint request_fingerprint;
        /// Request line and headers that are the same in the request to every upstream.
        std::string head;
        std::string body;
        bool is_head_request = false;
        /// Time for which `wakeups_` holds this query; the default value when it is in no entry.
        time_point wakeup_at{};
    };

    struct pool_entry {
        /// Keeps alive the upstream that the key in `pools_` points to.
        shared_upstream owner;
        std::unique_ptr<connection_pool> connections;
    };

    /// Request that is checked but not started yet.
    struct admission {
        shared_session session;
        inbound_request request;
        request_id id;
        fingerprint request_fingerprint;
        query_setup setup;
    };

    /// The caller's team, null if it needs none; nothing if its key is missing or unknown.
    [[nodiscard]] auto identify_team(const std::vector<http_header>& headers, const route& r) const
        -> std::optional<const team*>;
    /// Starts the request once its team's quota allows it, else refuses it.
    auto ask_quota(admission waiting) -> void;
    auto admit(admission waiting) -> void;
    /// Returns the grant of a request that did not run; none is needed for a team without a quota.
    auto return_grant(const query_setup& setup) -> void;
    auto count_for_team(const team& sender, int status) -> void;

    /// `Retry-After` of a refusal with `code`.
    [[nodiscard]] auto retry_after(result_code code) const -> duration;
    /// Logs and counts a refusal and returns its answer.
    auto make_refusal(const request_id& id, result_code code, const team* sender,
                      std::optional<duration> wait) -> outbound_response;
    /// The route of a query that another instance sends; null if the query is not taken, which is logged.
    [[nodiscard]] auto peer_route(const inbound_request& head, const std::optional<peer_query>& asked) const
        -> const route*;
    /// Wait to propose if a query of another instance is refused because its upstreams are overloaded;
    /// nothing if it is admitted. Only queries for most shards of the route are refused: the others say
    /// little about the load, and would be refused after parts of their query have run.
    [[nodiscard]] auto wait_of_refused(const request_id& id, const route& r, const peer_query& asked,
                                       const team* sender) -> std::optional<duration>;
    auto refuse(const shared_session& session, const request_id& id, result_code code,
                const team* sender = nullptr, std::optional<duration> wait = std::nullopt) -> void;
    /// Refuses the request if it is quarantined as a suspect; returns whether it is.
    auto refuse_if_suspect(const shared_session& session, fingerprint request_fingerprint,
                           const request_id& id, const team* sender) -> bool;
    auto log_refused_suspect(const request_id& id, fingerprint request_fingerprint) const -> void;

    struct running_send {
        shared_upstream to;
        /// What `crash_suspects` needs if the upstream crashes meanwhile.
        suspect_send details;
        time_point sent;
    };

    /// Passes a success or a broken connection on to `suspects_`.
    auto record_crash_evidence(const running_send& sent, const attempt_outcome& outcome) -> void;
    /// Opens a connection to an upstream that closed one without an answer, and records a crash if the
    /// connection is refused. At most one such probe runs per upstream.
    auto probe_for_crash(const shared_upstream& to) -> void;
    auto start_query(const shared_session& session, inbound_request request, const request_id& id,
                     fingerprint request_fingerprint, query_setup setup) -> void;
    auto send_group(query_number number, const running_query& query, const group_order& order) -> void;
    auto on_group_result(query_number number, const group_order& order, peer_call_result result) -> void;
    /// Ends a query whose caller has disconnected.
    auto abandon(query_number number) -> void;
    /// Performs the cancellations, log notes, sends and answer that a query decided on.
    auto apply_actions(query_number number, query_actions actions) -> void;
    auto send(query_number number, const running_query& query, const send_order& order) -> void;
    auto cancel(attempt_id attempt) -> void;
    auto cancel_all(const query_actions& actions) -> void;
    auto on_send_result(query_number number, const send_order& order, exchange_result result) -> void;
    /// Records what an upstream says in its answer about later requests: that it leaves, or that it wants
    /// none for some time.
    auto record_upstream_wishes(const shared_upstream& from, const exchange_result& answer) -> void;
    /// Records whether a zone responded, and logs when that changes.
    auto record_reachability(const zone_id& zone, const exchange_result& result) -> void;
    /// The same after a call to another instance, which may end without its confirmation.
    auto record_reachability(const instance_record& of, const exchange_result& result) -> void;
    auto log_zone_silent(const zone_id& zone, const exchange_result& last) const -> void;
    /// Classifies the result of an exchange: not sent, not run, unclear or answered.
    [[nodiscard]] auto to_outcome(exchange_result result) const -> attempt_outcome;
    auto send_answer(query_number number, const query_answer& answer) -> void;
    /// Records the time to the first part, to enough parts and to the answer in the route's histogram.
    auto observe_stages(const std::string& route_name, const query_answer& answer, duration took) -> void;
    auto log_answer(const running_query& query, const query_answer& answer, int status) -> void;
    /// Deadline that the request states, or else the route's timeout from now.
    [[nodiscard]] auto deadline_of(const inbound_request& request, const route& r) const -> time_point;
    /// Connection pool of an upstream, created if necessary, with its limit set to this instance's share.
    auto pool_of(const shared_upstream& to) -> connection_pool&;
    /// Updates the query's entry in `wakeups_`.
    auto schedule_wakeup(query_number number) -> void;
    /// Sets the timer to the earliest wake-up, if it is earlier than the one it is set to.
    auto arm_timer() -> void;
    /// Advances all queries whose wake-up time has come.
    auto wake_up() -> void;

    network_context& network_;
    time_point started_ = monotonic_now();
    /// Set while the instance stops.
    std::optional<stop_schedule> stop_;
    forwarder_settings settings_;
    event_log log_;
    metrics& counters_;
    routing_state state_;
    shared_route_table table_;
    instance_directory instances_;
    gather_placement placement_;
    peer_calls peers_;
    crash_suspects suspects_;
    quota_gate quota_gate_;
    std::function<void(const team&, time_point granted)> quota_returned_;
    team_labels team_labels_;
    std::unordered_map<query_number, running_query> queries_;
    /// Next wake-up of every query, earliest first.
    std::set<std::pair<time_point, query_number>> wakeups_;
    std::unordered_map<const upstream*, pool_entry> pools_;
    std::unordered_map<attempt_id, running_send> attempts_;
    /// Upstreams that stated a wait that cannot be used as it is; logged once for each.
    std::set<upstream_id> bad_waits_;
    /// Upstreams to which a crash probe is open.
    std::set<upstream_id> crash_probes_;
    asio::steady_timer timer_;
    /// Time that `timer_` is set to.
    time_point armed_for_ = time_point::max();
    query_number next_query_ = 1;
    std::uint64_t next_attempt_ = 1;
};

}  // namespace eelgrassledge
