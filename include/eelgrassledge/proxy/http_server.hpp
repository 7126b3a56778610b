#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "eelgrassledge/proxy/http_connection.hpp"
#include "eelgrassledge/routing/route_table.hpp"

namespace eelgrassledge {

class http_server;

/// Connection from a caller. Requests are answered in order, one at a time; bytes of further requests are
/// buffered meanwhile, up to a limit.
class http_session : public std::enable_shared_from_this<http_session> {
  public:
    http_session(http_server& server, asio::ip::tcp::socket socket);

    /// Sends the answer to the current request. Does nothing if the caller has disconnected.
    auto respond(const outbound_response& response) -> void;

    /// Estimated time that the current request and its answer spend in the network: one round trip, and one
    /// more for opening the connection if this is its first request. Uses the round-trip time measured by the
    /// operating system; zero if that is not available.
    [[nodiscard]] auto network_time() -> duration;

    /// Sends `102 Processing`, so that the sender knows before the answer that its request has arrived.
    auto send_interim() -> void;

    /// Sets a hook that is called once if the caller disconnects before its answer is sent.
    auto on_abandoned(std::function<void()> hook) -> void { on_abandoned_ = std::move(hook); }

  private:
    friend class http_server;
    enum class phase : std::uint8_t {
        reading,    ///< Waits for a request or receives one.
        answering,  ///< A request is being handled, or its answer is being written.
        lingering,  ///< Our side is shut down; input is discarded until the caller closes its side.
        closed
    };

    auto start() -> void;
    auto wait_for_bytes() -> void;
    auto read_bytes() -> void;
    /// Bytes that may be received now; zero if reading pauses.
    [[nodiscard]] auto receive_limit() const -> std::size_t;
    /// Parses the buffered input and `received`, and buffers what is left.
    auto parse_input(std::string_view received) -> void;
    /// Checks the complete head of a request whose body follows; returns whether the body is wanted.
    auto accept_head() -> bool;
    /// Continues a request whose head is complete and whose body is not.
    auto receive_body() -> void;
    auto handle_request() -> void;
    /// Answers a request that is not handled, discards what was received, and closes the connection.
    auto refuse(const outbound_response& response) -> void;
    auto write(std::string bytes, bool close_after) -> void;
    auto finish_write(bool close_after) -> void;
    /// Whether no byte of a request has arrived, read or not.
    [[nodiscard]] auto is_idle() const -> bool;
    auto linger() -> void;
    auto handle_disconnect() -> void;
    auto close() -> void;
    /// Records the memory that the session holds, and its stage.
    auto update_share() -> void;
    [[nodiscard]] auto stage() const -> session_stage;
    /// Ends the session, or its request, so that others can be served.
    auto evict(eviction_reason reason) -> void;
    auto enforce_timeout(time_point now) -> void;

    http_server& server_;
    asio::ip::tcp::socket socket_;
    request_parser parser_;
    std::string input_;
    std::string outgoing_;
    /// Empty once the session is closed.
    std::optional<session_share> share_;
    /// Memory of the request that is being handled, and of the copy that is sent on.
    std::size_t request_bytes_ = 0;
    std::function<void()> on_abandoned_;
    /// When the current request began, or when the last answer was written or lingering began.
    time_point phase_started_;
    /// When the head of the current request was complete.
    time_point body_started_;
    /// When the current answer was handed over, and how long the caller may take to read it.
    time_point write_started_;
    duration write_limit_{};
    /// Requests received so far on this connection.
    std::uint64_t requests_ = 0;
    phase phase_ = phase::reading;
    bool waiting_ = false;
    bool keep_alive_ = true;
    bool to_head_ = false;
    bool continue_sent_ = false;
    /// Whether the head of the current request was complete before its body, and accepted.
    bool head_accepted_ = false;
    bool writing_ = false;
};

using shared_session = std::shared_ptr<http_session>;

/// Properties of a listener that stay unchanged.
struct listener_policy {
    /// Limit on the number of open sessions.
    std::size_t max_sessions = 4096;
    /// At the limit, a session is replaced only if it is at least this long in its stage.
    duration min_stage_time = milliseconds{500};
    /// Whether its sessions are never evicted because of memory.
    bool is_exempt = false;
    /// Whether its requests need neither header fields nor bodies. Fields are discarded, bodies refused.
    bool serves_targets_only = false;
};

/// A session that a server ended, or whose request it refused, because of a limit.
struct session_loss {
    /// `memory`, `sessions`, `header_time`, `body_time` or `read_time`.
    const char* reason;
    session_stage stage;
    std::size_t bytes;
    /// Time since the session entered the stage.
    duration age;
};

/// HTTP server for callers: limits the size and duration of their requests, and closes connections without
/// interrupting a request.
class http_server {
  public:
    using handler = std::function<void(const shared_session&, inbound_request)>;

    /// `handle` is called with every complete request and must answer each one exactly once.
    http_server(network_context& network, handler handle);

    auto set_policy(const listener_policy& policy) -> void { policy_ = policy; }

    /// Sets a hook that is called when the head of a request is complete and its body is not. An answer that
    /// it returns is sent at once, the body is not received, and the handler is not called.
    auto on_head(std::function<std::optional<outbound_response>(const inbound_request&)> hook) -> void {
        check_head_ = std::move(hook);
    }

    auto on_loss(std::function<void(const session_loss&)> hook) -> void { on_loss_ = std::move(hook); }

    /// Opens the listening socket and starts to accept connections; returns `cannot_listen` on failure.
    auto listen(const asio::ip::tcp::endpoint& local) -> result<bool>;

    /// Address on which the server listens. For port 0 it has the port that the system chose.
    [[nodiscard]] auto address() const -> asio::ip::tcp::endpoint { return acceptor_.local_endpoint(); }

    /// Sets the limits for requests and connections; they apply from the next bytes received or time check.
    auto configure(const caller_limits& limits) -> void { limits_ = limits; }

    /// Sets whether every answer from now on has `Connection: close`, after which its connection is closed.
    auto close_after_answers(bool enabled) -> void { closes_after_answers_ = enabled; }

    /// Closes the listening socket; later connection attempts are refused.
    auto stop_listening() -> void;

    /// Closes the connections on which no request has begun or waits to be read.
    auto close_idle() -> void;

    /// Closes connections that were idle, lingered, or took to send a request or to read an answer for too
    /// long. Call about once a second.
    auto enforce_timeouts(time_point now) -> void;

    [[nodiscard]] auto sessions() const -> std::size_t { return sessions_.size(); }

  private:
    friend class http_session;
    auto accept_next() -> void;
    auto retry_accept() -> void;
    /// Waits for a connection while there are as many sessions as allowed, and makes room for it.
    auto wait_for_room() -> void;
    /// Evicts a session if there are as many as allowed; returns whether there is room for another one.
    auto make_room_for_session() -> bool;
    /// Evicts sessions until their memory is within the limit.
    auto enforce_memory_limit() -> void;
    auto report_loss(const session_share& share, const char* reason) -> void;

    network_context& network_;
    handler handle_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_;
    caller_limits limits_;
    listener_policy policy_;
    std::function<std::optional<outbound_response>(const inbound_request&)> check_head_;
    std::function<void(const session_loss&)> on_loss_;
    std::unordered_set<shared_session> sessions_;
    bool closes_after_answers_ = false;
    bool enforcing_memory_limit_ = false;
};

}  // namespace eelgrassledge
