#pragma once

// The network's thread: shared by peer_network.cpp (commands of other threads), outgoing_links.cpp
// (connections to brokers) and incoming_sessions.cpp (connections of entries). Private to this folder.

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
#include "wire_conversions.hpp"

namespace eelgrassledge {

struct peer_network::implementation final : kj::TaskSet::ErrorHandler {
    // Work that other threads queue.
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

    /// One connection to a broker.
    struct outgoing_link {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> client;
        kj::Maybe<wire::Session::Client> session;
        kj::Maybe<wire::Peer::Client> peer;
        std::vector<sub_request> waiting;
        std::vector<sub_request_id> cancelled;
        std::vector<sync_request> syncs;
        bool wants_loads = false;
        std::uint64_t generation = 0;
        bool connected = false;
        time_point redial_at{};
    };

    implementation(std::string address, peer_hooks given);
    ~implementation();
    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    /// Queues work for the network's thread; called from any thread.
    auto post(command c) -> void;
    /// Ends the thread.
    auto stop() -> void;
    auto taskFailed(kj::Exception&& failure) -> void override;

    // All that follows runs on the network's thread.

    class session_server;
    class peer_server;

    /// Body of the thread.
    auto run(std::promise<bool>& started) -> void;
    auto read_wakeups() -> kj::Promise<void>;
    auto take_commands() -> void;

    auto listen() -> void;
    /// Sends messages to the entry at the other end of a link.
    auto deliver(link_id link, const std::vector<broker_message>& messages) -> void;

    auto link_to(const std::string& address) -> outgoing_link& { return links[address]; }
    /// Sends what waits for a broker, after opening the connection if need be.
    auto flush(const std::string& address) -> void;
    auto send_batch(wire::Session::Client& session, outgoing_link& link) -> void;
    auto send_sync(const std::string& address, outgoing_link& link, const sync_request& from) -> void;
    /// Opens the connection to a broker, unless it failed a moment ago.
    auto dial(const std::string& address, outgoing_link& link) -> void;
    auto connected(const std::string& address, std::uint64_t generation, kj::Own<kj::AsyncIoStream> stream)
        -> void;
    /// Records the end of a connection. Word of an earlier one at the same address has another generation.
    auto lost(const std::string& address, std::uint64_t generation) -> void;
    /// Answers what waits for a broker that cannot be reached.
    auto fail_waiting(const std::string& address, outgoing_link& link) -> void;

    std::string listen_address;
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
    std::map<std::string, outgoing_link> links;
    std::set<std::string> dirty;
    std::set<std::string> dialling;
    std::map<link_id, wire::AnswerSink::Client> sinks;
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
