#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "eelgrassledge/config/settings.hpp"
#include "eelgrassledge/entry/token_bucket.hpp"
#include "eelgrassledge/runtime/broker_runtime.hpp"
#include "eelgrassledge/runtime/caller_codec.hpp"
#include "eelgrassledge/runtime/entry_runtime.hpp"
#include "eelgrassledge/runtime/platform_link.hpp"

namespace eelgrassledge {

/// A request to the HTTP interface, apart from its transport.
struct api_request {
    std::string method;
    std::string path;
    std::string body;
    std::string caller_key;
    std::string bearer_token;
};

struct api_response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::optional<duration> retry_after;
};

/// A response with a JSON text.
[[nodiscard]] inline auto json_response(int status, std::string text) -> api_response {
    return {status, "application/json", std::move(text), std::nullopt};
}

/// One daemon without its HTTP server: entry, broker, membership and platform joined together.
///
/// All functions may be called from any thread.
class application {
  public:
    using respond = std::function<void(api_response)>;

    application(daemon_settings settings, event_log log);
    ~application();
    application(const application&) = delete;
    auto operator=(const application&) -> application& = delete;

    /// Whether the peer address could be listened on.
    [[nodiscard]] auto listening() const -> bool;

    /// Answers a request to the HTTP interface; `done` is called once, on any thread.
    auto handle(const api_request& request, respond done) -> void;

    /// Stops gracefully: announces it, finishes what runs, hands the upstreams over. Returns when done or
    /// when the grace in the settings has passed; false in the second case.
    auto drain() -> bool;

  private:
    auto search(const api_request& request, respond done) -> void;
    auto start_search(const api_request& request, const caller_search& wanted, respond done) -> void;
    auto run_claimed(search_request request, const respond& done) -> void;
    [[nodiscard]] auto find_caller(const document& doc, const std::string& key) const -> const caller_spec*;
    [[nodiscard]] auto lane_for(const caller_spec& caller, lane wanted) -> lane;
    [[nodiscard]] auto claim_lifetime() -> result<lease_id>;
    auto refuse(const respond& done, result_code code, std::string_view message, const request_id& request)
        -> void;

    [[nodiscard]] auto may_administer(const std::string& token) -> bool;
    auto administer(const api_request& request, const respond& done) -> void;
    [[nodiscard]] auto read_document_page() -> api_response;
    [[nodiscard]] auto write_document_page(const std::string& body) -> api_response;
    [[nodiscard]] auto status_page() -> api_response;
    [[nodiscard]] auto readiness_page() -> api_response;

    [[nodiscard]] auto current_document() -> std::shared_ptr<const document>;
    [[nodiscard]] auto takes_work() const -> bool;
    auto run_control() -> void;
    auto apply_membership() -> void;
    auto renew_ownership() -> void;
    auto ask_for_loads() -> void;
    auto send_syncs() -> void;
    [[nodiscard]] auto peer_address_of(const instance_id& instance) -> std::string;
    auto route_to_broker(const instance_id& broker, sub_request request) -> void;
    auto on_broker_message(broker_message message) -> void;
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
    std::mutex lanes_lock_;
    std::map<caller_id, token_bucket> lane_rates_;
    std::mutex claims_lock_;
    std::optional<lease_id> claim_lease_;
    time_point claim_lease_until_{};
    std::atomic<std::uint64_t> next_attempt_{1};
    std::string nonce_;
    std::uint64_t applied_version_ = 0;
    revision applied_revision_;
    std::atomic<std::size_t> entries_{1};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> refuse_new_{false};
    std::atomic<time_point::rep> out_since_{0};
    std::atomic<bool> ended_{false};
    std::thread control_;
};

}  // namespace eelgrassledge
