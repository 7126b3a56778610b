#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "eelgrassledge/broker/sub_request.hpp"
#include "eelgrassledge/membership/zone_coordinator.hpp"

namespace eelgrassledge {

/// What a broker sends back to an entry: an answer, or word that a sub-request runs long.
struct broker_message {
    sub_answer answer;
    bool slow = false;
};

/// What the peer network calls when something arrives. All hooks run on the network's thread and must not
/// block.
struct peer_hooks {
    /// A sub-request for this broker; its key names the link on which to answer.
    std::function<void(sub_request)> on_sub_request;
    /// A sub-request that an entry no longer wants.
    std::function<void(sub_key)> on_cancel;
    /// The link to an entry is gone.
    std::function<void(link_id)> on_link_closed;
    /// A message for this entry.
    std::function<void(broker_message)> on_message;
    /// Loads of the upstreams that this broker owns, for an entry that asks.
    std::function<std::vector<upstream_load>()> on_ask_loads;
    /// Loads that a broker told this entry.
    std::function<void(const std::vector<upstream_load>&)> on_loads;
    /// Work on a connection ended with an error that nobody waits for.
    std::function<void(const std::string& reason)> on_task_failed;
    /// The connection to a broker is gone with everything in flight on it.
    std::function<void(const std::string& address)> on_broker_lost;
    /// A sync from another daemon.
    std::function<sync_reply(const sync_request&)> on_sync;
    /// The reply to a sync of this daemon, with the time at which it was sent.
    std::function<void(const std::string& address, const sync_reply&, time_point sent)> on_sync_reply;
    std::function<void(const std::string& address)> on_sync_failed;
};

/// Cap'n Proto RPC between daemons: one listening address and one connection to each peer in use, on one
/// thread. Calls from other threads are queued and sent together.
class peer_network {
  public:
    struct statistics {
        std::uint64_t sub_requests_out = 0;
        std::uint64_t messages_out = 0;
        std::uint64_t syncs_out = 0;
        std::uint64_t links_in = 0;
        std::uint64_t links_out = 0;
    };

    /// Starts the thread and listens. Throws nothing; `listening` tells whether the address could be used.
    peer_network(std::string listen_address, peer_hooks hooks);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    auto operator=(const peer_network&) -> peer_network& = delete;

    [[nodiscard]] auto listening() const -> bool;

    /// Sends a sub-request to the broker at an address.
    auto send(const std::string& address, sub_request request) -> void;

    /// Tells the broker at an address that a sub-request is no longer wanted.
    auto cancel(const std::string& address, sub_request_id id) -> void;

    /// Asks the broker at an address for the loads of its upstreams.
    auto ask_loads(const std::string& address) -> void;

    /// Sends a message back on the link by which a sub-request came.
    auto reply(broker_message message) -> void;

    /// Syncs with the daemon at an address.
    auto sync(const std::string& address, sync_request request) -> void;

    [[nodiscard]] auto counts() const -> statistics;

    auto stop() -> void;

  private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

}  // namespace eelgrassledge
