#pragma once

// Implementation of peer_network, which runs on the network's thread. Shared by peer_network.cpp (commands of
// other threads), outgoing_links.cpp (connections to brokers) and incoming_sessions.cpp (connections from
// entries). Private to this folder.

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <array>
#include <atomic>
#include <future>
#include <map>
#include <set>
#include <thread>
#include <variant>

#include "eelgrassledge/core/command_queue.hpp"
#include "eelgrassledge/peer/peer_network.hpp"
#include "incoming_connections.hpp"
#include "wire_conversions.hpp"

namespace eelgrassledge {

struct peer_network::implementation final : kj::TaskSet::ErrorHandler {
    // Commands that other threads queue.
    struct send_command {
        std::string address;
        sub_request request;
    };
    struct cancel_command {
        std::string address;
        sub_request_id id;
    };
    struct sync_command {
        std::string address;
        sync_request request;
    };
    struct loads_command {
        std::string address;
    };
    struct stop_command {};
    using command =
        std::variant<send_command, cancel_command, broker_message, sync_command, loads_command, stop_command>;

    /// The connection to one broker and the messages to be sent on it.
    struct outgoing_link {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> client;
        kj::Maybe<wire::Session::Client> session;
        kj::Maybe<wire::Peer::Client> peer;
        std::vector<sub_request> unsent_requests;
        std::vector<sub_request_id> pending_cancels;
        std::vector<sync_request> pending_syncs;
        bool loads_requested = false;
        /// Number of the latest connection attempt; events of earlier attempts are ignored.
        std::uint64_t generation = 0;
        bool connected = false;
        /// No new connection attempt is made before this time.
        time_point reconnect_at{};
    };

    implementation(std::string address, session_limits limits, peer_hooks callbacks);
    ~implementation();
    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    /// Queues a command for the network's thread; safe to call from any thread.
    auto post(command c) -> void;
    /// Ends the thread and waits for it.
    auto stop() -> void;
    auto taskFailed(kj::Exception&& failure) -> void override;

    // The members below are used only on the network's thread.

    class session_server;
    class peer_server;

    /// Main function of the thread. Sets `started` to whether listening succeeded.
    auto run(std::promise<bool>& started) -> void;
    auto read_wakeups() -> kj::Promise<void>;
    auto take_commands() -> void;

    auto listen() -> void;
    /// Sends messages to the entry connected by this link.
    auto deliver(link_id link, const std::vector<broker_message>& messages) -> void;

    auto link_to(const std::string& address) -> outgoing_link& { return links[address]; }
    /// Sends the queued messages for a broker, opening a connection first if there is none.
    auto flush(const std::string& address) -> void;
    auto send_batch(wire::Session::Client& session, outgoing_link& link) -> void;
    auto send_sync(const std::string& address, outgoing_link& link, const sync_request& from) -> void;
    /// Opens the connection to a broker. If the last one failed less than the reconnect delay ago, fails the
    /// queued messages instead.
    auto open_connection(const std::string& address, outgoing_link& link) -> void;
    auto on_connected(const std::string& address, std::uint64_t generation, kj::Own<kj::AsyncIoStream> stream)
        -> void;
    /// Handles a lost connection or a failed attempt. A notification about an earlier connection to the same
    /// address has a different generation and is ignored.
    auto on_disconnected(const std::string& address, std::uint64_t generation) -> void;
    /// Fails the queued messages for an unreachable broker: answers sub-requests with `upstream_unreachable`
    /// and reports syncs as failed.
    auto fail_unsent(const std::string& address, outgoing_link& link) -> void;

    std::string listen_address;
    session_limits limits_in;
    peer_hooks hooks;
    std::array<int, 2> wake_pipe{-1, -1};
    std::array<char, 4096> wake_buffer{};
    command_queue<command> commands;
    bool is_listening = false;

    kj::AsyncIoContext* io = nullptr;
    kj::TaskSet* tasks = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> on_stop;
    kj::Own<kj::AsyncInputStream> wake_input;
    kj::Own<capnp::TwoPartyServer> server;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Own<incoming_connections> connections_in;
    std::map<std::string, outgoing_link> links;
    std::set<std::string> addresses_to_flush;
    std::set<std::string> connecting;
    std::map<link_id, wire::AnswerSink::Client> answer_sinks;
    std::uint64_t next_generation = 0;
    std::uint64_t next_link = 1;
    std::atomic<std::uint64_t> sub_requests_out{0};
    std::atomic<std::uint64_t> messages_out{0};
    std::atomic<std::uint64_t> syncs_out{0};
    std::atomic<std::uint64_t> links_in{0};
    std::atomic<std::uint64_t> links_out{0};
    std::thread worker;
};

}  // namespace eelgrassledge
