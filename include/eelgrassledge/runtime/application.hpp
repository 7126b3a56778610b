#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "eelgrassledge/config/settings.hpp"
#include "eelgrassledge/core/session_memory.hpp"
#include "eelgrassledge/entry/token_bucket.hpp"
#include "eelgrassledge/runtime/broker_runtime.hpp"
#include "eelgrassledge/runtime/caller_codec.hpp"
#include "eelgrassledge/runtime/entry_runtime.hpp"
#include "eelgrassledge/runtime/platform_link.hpp"

namespace eelgrassledge {

/// A request to the HTTP interface, independent of the transport.
struct api_request {
    std::string method;
    std::string path;
    std::string body;
    std::string caller_key;
    std::string bearer_token;
};

/// A response of the HTTP interface, independent of the transport.
struct api_response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    /// Value of the Retry-After header; none omits the header.
    std::optional<duration> retry_after;
};

/// Builds a response whose body is a JSON text.
[[nodiscard]] inline auto json_response(int status, std::string text) -> api_response {
    return {status, "application/json", std::move(text), std::nullopt};
}

/// One daemon without its HTTP server: connects the entry, the brokers, the zone's membership and the
/// platform's store.
///
/// All functions may be called from any thread.
class application {
  public:
    /// Callback that sends a response to the client.
    using respond = std::function<void(api_response)>;

    application(daemon_settings settings, event_log log);
    ~application();
    application(const application&) = delete;
    auto operator=(const application&) -> application& = delete;

    /// Whether the listener on the peer address was opened. Otherwise neither the connection to the store nor
    /// the control loop was started.
    [[nodiscard]] auto listening() const -> bool;

    /// Answers a request to the HTTP interface; `done` is called exactly once, on any thread.
    auto handle(const api_request& request, respond done) -> void;

    /// Counts an evicted session of the listener `listener` and logs it; one line a second at most.
    auto record_eviction(const std::string& listener, eviction_reason reason, session_stage stage,
                         std::size_t bytes) -> void;

    /// Stops gracefully: announces that this daemon leaves, completes running queries and hands the upstreams
    /// over to other brokers. Blocks until that is done or until `stop_grace` of the settings has passed;
    /// returns false in the second case.
    auto drain() -> bool;

  private:
    /// Checks the size and the form of a search, then starts it.
    auto search(const api_request& request, respond done) -> void;
    /// Checks a decoded search against the document and runs it.
    auto start_search(const api_request& request, const caller_search& parsed, respond done) -> void;
    /// Runs a non-idempotent search after taking its claim in the store. Blocking calls of the store run on a
    /// thread of their own.
    auto run_with_claim(search_request request, const respond& done) -> void;
    /// Finds a caller by its key; null if no caller has that key.
    [[nodiscard]] auto find_caller(const document& doc, const std::string& key) const -> const caller_spec*;
    /// The lane a search runs in: the priority lane only if the caller is permitted to use it and is within
    /// its rate.
    [[nodiscard]] auto lane_for(const caller_spec& caller, lane requested) -> lane;
    /// Returns the store lease for new claims; grants one if the current one is missing or too old.
    [[nodiscard]] auto acquire_claim_lease() -> result<lease_id>;
    /// Counts, logs and sends a refusal.
    auto refuse(const respond& done, result_code code, std::string_view message, const request_id& request)
        -> void;

    /// Whether a token belongs to the administrator of the settings or an operator of the document.
    [[nodiscard]] auto may_administer(const std::string& token) -> bool;
    /// Answers a request to a path below `/admin/`.
    auto administer(const api_request& request, const respond& done) -> void;
    /// Response with the document in force (JSON); revision 0 and empty texts if there is none.
    [[nodiscard]] auto read_document_page() -> api_response;
    /// Writes a changed document to the store; the response holds its revision or the reasons of the refusal.
    [[nodiscard]] auto write_document_page(const std::string& body) -> api_response;
    /// Response with the state of this daemon and what it knows of all zones (JSON).
    [[nodiscard]] auto status_page() -> api_response;
    /// Response for the load balancer: 200 while this daemon is ready for queries, else 503.
    [[nodiscard]] auto readiness_page() -> api_response;

    /// The document in force; null before the first one was received.
    [[nodiscard]] auto current_document() -> std::shared_ptr<const document>;
    /// Whether new searches are accepted: not in the last phase of stopping, nor once the zone or the
    /// instance has been out of service for some seconds.
    [[nodiscard]] auto accepts_queries() const -> bool;
    /// Loop of the control thread.
    auto run_control() -> void;
    /// Passes a changed document, assignment or list of suspects to the entry and the brokers.
    auto apply_membership() -> void;
    /// Passes the current authority over each upstream to the brokers.
    auto renew_ownership() -> void;
    /// Records the loads of this daemon's brokers and requests those of other brokers whose upstreams have
    /// unknown or outdated state.
    auto request_loads() -> void;
    /// Sends the sync requests of the membership protocol that are due.
    auto send_syncs() -> void;
    /// Peer address of an instance; empty if unknown.
    [[nodiscard]] auto peer_address_of(const instance_id& instance) -> std::string;
    /// Passes a sub-request to a broker, in this daemon or over a peer link.
    auto route_to_broker(const instance_id& broker, sub_request request) -> void;
    /// Passes a broker's message to the entry that sent the sub-request.
    auto on_broker_message(broker_message message) -> void;
    /// Logs and counts a changed suspicion and passes it to the membership protocol.
    auto on_strike(fingerprint print, const suspicion& state) -> void;
    [[nodiscard]] auto make_peer_hooks() -> peer_hooks;

    daemon_settings settings_;
    event_log log_;
    metrics metrics_;
    wakeup_thread timers_;
    shared_coordinator coordinator_;
    std::unique_ptr<entry_runtime> entry_;
    std::unique_ptr<broker_runtime> broker_;
    std::unique_ptr<peer_network> peers_;
    std::unique_ptr<platform_link> platform_;

    std::mutex addresses_lock_;
    std::map<instance_id, std::string> address_by_instance_;
    std::map<std::string, instance_id> instance_by_address_;
    std::mutex document_lock_;
    std::shared_ptr<const document> document_;
    std::mutex priority_buckets_lock_;
    std::map<caller_id, token_bucket> priority_buckets_;  ///< Limit the rate of priority searches.
    std::mutex claims_lock_;
    std::optional<lease_id> claim_lease_;
    time_point claim_lease_until_{};
    std::atomic<std::uint64_t> next_attempt_{1};
    std::string nonce_;  ///< Distinguishes the claims of this process from those of an earlier one.
    std::uint64_t applied_version_ = 0;  ///< Version of the membership that was applied last.
    revision applied_revision_;
    /// Members of all zones, at least 1; each entry gets an equal share of a caller's priority rate.
    std::atomic<std::size_t> entry_count_{1};
    std::mutex evictions_lock_;
    time_point next_eviction_line_{};  ///< No eviction is logged before.
    std::uint64_t unlogged_evictions_ = 0;
    std::atomic<bool> stopping_{false};  ///< Set from the start of a drain; makes this daemon not ready.
    std::atomic<bool> refuse_new_queries_{false};
    /// When the document took this zone or instance out of service; 0 while it is in service.
    std::atomic<time_point::rep> out_since_{0};
    std::atomic<bool> stop_control_{false};
    std::thread control_;
};

}  // namespace eelgrassledge
