#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "eelgrassledge/broker/sub_request.hpp"
#include "eelgrassledge/config/session_limits.hpp"
#include "eelgrassledge/core/session_memory.hpp"
#include "eelgrassledge/membership/zone_coordinator.hpp"

namespace eelgrassledge {

/// A message from a broker to an entry: the answer to a sub-request, or a notification that the sub-request
/// is taking long (`slow`).
struct broker_message {
    sub_answer answer;
    bool slow = false;
};

/// Callbacks of the peer network for incoming messages and connection events. All of them run on the
/// network's thread and must not block.
struct peer_hooks {
    /// A sub-request arrived for this broker. Its key contains the link to send the answer on.
    std::function<void(sub_request)> on_sub_request;
    /// An entry cancelled a sub-request.
    std::function<void(sub_key)> on_cancel;
    /// The connection from an entry was closed.
    std::function<void(link_id)> on_link_closed;
    /// A message from a broker arrived for this entry.
    std::function<void(broker_message)> on_message;
    /// Returns the loads of the upstreams that this broker owns, in response to an entry's request.
    std::function<std::vector<upstream_load>()> on_ask_loads;
    /// A broker answered a request for its loads.
    std::function<void(const std::vector<upstream_load>&)> on_loads;
    /// An asynchronous operation on a connection failed and no caller handles the error.
    std::function<void(const std::string& reason)> on_task_failed;
    /// The connection to a broker was lost; all sub-requests in flight on it are lost too.
    std::function<void(const std::string& address)> on_broker_lost;
    /// A connection from another daemon, or from a client that pretends to be one, was evicted because of the
    /// limits on connections; it was in this stage and held these bytes.
    std::function<void(eviction_reason, session_stage, std::size_t bytes)> on_session_evicted;
    /// Answers a sync request of another daemon.
    std::function<sync_reply(const sync_request&)> on_sync;
    /// A reply to a sync request of this daemon arrived. `sent` is when the request was sent.
    std::function<void(const std::string& address, const sync_reply&, time_point sent)> on_sync_reply;
    /// A sync request was not answered: the peer could not be reached, the call failed or it timed out.
    std::function<void(const std::string& address)> on_sync_failed;
};

/// Cap'n Proto RPC between daemons. Listens on one address and keeps one connection to each peer in use, all
/// on one thread. Calls from other threads are queued and sent in batches.
class peer_network {
  public:
    /// Totals since construction.
    struct statistics {
        std::uint64_t sub_requests_out = 0;
        std::uint64_t messages_out = 0;
        std::uint64_t syncs_out = 0;
        std::uint64_t links_in = 0;
        std::uint64_t links_out = 0;
    };

    /// Starts the thread and listens on the address, where `limits` apply to connections. A failure to listen
    /// is not thrown; `listening` reports it.
    peer_network(std::string listen_address, session_limits limits, peer_hooks hooks);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    auto operator=(const peer_network&) -> peer_network& = delete;

    /// Whether the listening address could be opened.
    [[nodiscard]] auto listening() const -> bool;

    /// Sends a sub-request to the broker at an address.
    auto send(const std::string& address, sub_request request) -> void;

    /// Cancels a sub-request that was sent to the broker at an address.
    auto cancel(const std::string& address, sub_request_id id) -> void;

    /// Requests the loads of its upstreams from the broker at an address; `on_loads` receives them.
    auto ask_loads(const std::string& address) -> void;

    /// Sends a message on the link on which its sub-request arrived.
    auto reply(broker_message message) -> void;

    /// Sends a sync request to the daemon at an address; `on_sync_reply` or `on_sync_failed` reports the
    /// result.
    auto sync(const std::string& address, sync_request request) -> void;

    [[nodiscard]] auto counts() const -> statistics;

    /// Ends the thread and closes all connections.
    auto stop() -> void;

  private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

}  // namespace eelgrassledge
