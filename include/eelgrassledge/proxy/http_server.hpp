#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "eelgrassledge/proxy/http_connection.hpp"
#include "eelgrassledge/routing/route_table.hpp"

namespace eelgrassledge {

class http_server;

/// One connection from a caller. Requests are answered in order, one at a time; bytes of a next request wait.
class http_session : public std::enable_shared_from_this<http_session> {
  public:
    http_session(http_server& server, asio::ip::tcp::socket socket);

    /// Answers the present request. Does nothing when the caller has left.
    auto respond(const outbound_response& response) -> void;

    /// Time that the caller spends on the way of the present request and of its answer, and on opening the
    /// connection for the first one, from the round-trip time that the system measured.
    [[nodiscard]] auto network_time() -> duration;

    /// Tells the sender that its request is here, before the answer.
    auto send_interim() -> void;

    /// Called once when the caller leaves before its answer.
    auto on_abandoned(std::function<void()> hook) -> void { abandoned_ = std::move(hook); }

  private:
    friend class http_server;
    enum class phase : std::uint8_t { reading, answering, lingering, closed };

    auto start() -> void;
    auto wait_for_bytes() -> void;
    auto read_bytes() -> void;
    auto parse_input() -> void;
    auto refuse(int status) -> void;
    auto write(std::string bytes, bool close_after) -> void;
    auto written(bool close_after) -> void;
    auto linger() -> void;
    auto peer_left() -> void;
    auto close() -> void;
    auto enforce_timeout(time_point now) -> void;

    http_server& server_;
    asio::ip::tcp::socket socket_;
    request_parser parser_;
    std::string input_;
    std::string outgoing_;
    std::function<void()> abandoned_;
    time_point since_;
    std::uint64_t requests_ = 0;
    phase phase_ = phase::reading;
    bool waiting_ = false;
    bool keep_alive_ = true;
    bool to_head_ = false;
    bool continue_sent_ = false;
};

using shared_session = std::shared_ptr<http_session>;

/// Listens for callers, bounds what they send, and ends their connections without cutting a request.
class http_server {
  public:
    using handler = std::function<void(const shared_session&, inbound_request)>;

    /// `handle` gets every whole request and must answer each session once.
    http_server(network_context& network, handler handle);

    /// Opens the listening socket; `cannot_listen` when that fails.
    auto listen(const asio::ip::tcp::endpoint& local) -> result<bool>;

    /// Address on which the server listens, with the port that the system chose where none was asked for.
    [[nodiscard]] auto address() const -> asio::ip::tcp::endpoint { return acceptor_.local_endpoint(); }

    /// Limits for requests that begin from now on.
    auto configure(const caller_limits& limits) -> void { limits_ = limits; }

    /// Whether every answer from now on announces that its connection ends.
    auto close_after_answers(bool end) -> void { closes_after_answers_ = end; }

    /// Closes the connections on which no request has begun.
    auto close_idle() -> void;

    /// Ends callers that take too long; call about once a second.
    auto enforce_timeouts(time_point now) -> void;

    [[nodiscard]] auto sessions() const -> std::size_t { return sessions_.size(); }

  private:
    friend class http_session;
    auto accept_next() -> void;

    network_context& network_;
    handler handle_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_;
    caller_limits limits_;
    std::unordered_set<shared_session> sessions_;
    bool closes_after_answers_ = false;
};

}  // namespace eelgrassledge
