#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/proxy/http_parsers.hpp"

namespace eelgrassledge {

/// What all connections of one event loop share.
struct network_context {
    asio::io_context loop;
    /// Bytes read from a socket are parsed at once, so one buffer serves all.
    std::string scratch = std::string(65536, '\0');
};

/// Parses `IP:PORT` with an IPv4 address.
[[nodiscard]] auto parse_endpoint(const std::string& address) -> result<asio::ip::tcp::endpoint>;

/// Sets what every connection needs: no delay of small writes, an end to transmissions that nobody confirms,
/// and probes that find a peer that vanished without a word. Failures are harmless and ignored.
auto tune_socket(asio::ip::tcp::socket& socket) -> void;

/// How an exchange on a connection ended.
enum class exchange_end : std::uint8_t {
    answered,
    not_connected,  ///< No connection was opened, so nothing was sent.
    broken,         ///< The connection ended, or other bytes than an answer came.
};

/// What an exchange tells of the way to the remote machine.
enum class remote_reachability : std::uint8_t {
    unknown,       ///< Nothing.
    responsive,    ///< Something came back, if only a refused connection.
    unresponsive,  ///< Nothing came back in the time that was given.
};

struct exchange_result {
    exchange_end end = exchange_end::broken;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    std::string reason;
    /// Whether any byte of an answer came.
    bool answer_begun = false;
    /// Whether it broke because the answer passed a limit.
    bool too_large = false;
    remote_reachability reachability = remote_reachability::unknown;
};

/// One connection to an HTTP server that carries one exchange at a time.
///
/// The connection is never used again after anything but one complete answer that arrived after its whole
/// request was written. Requests are never sent a second time here.
class http_connection : public std::enable_shared_from_this<http_connection> {
  public:
    using done = std::function<void(exchange_result)>;

    http_connection(network_context& network, asio::ip::tcp::endpoint remote);

    /// Sends a request, opening the connection first if need be, and calls `on_done` once with the outcome
    /// unless the connection is closed before. `max_body_bytes` bounds the answer.
    auto exchange(std::string bytes, bool to_head, std::size_t max_body_bytes, done on_done) -> void;

    /// Called once when an interim answer comes to the present exchange.
    auto on_interim(std::function<void()> hook) -> void { interim_ = std::move(hook); }

    /// Closes the connection; `on_done` is not called any more.
    auto close() -> void;

    /// Whether the connection is open, idle, and may carry another request.
    [[nodiscard]] auto is_reusable() const -> bool { return reusable_; }

    /// How long the server keeps the connection idle, as far as it said.
    [[nodiscard]] auto keep_alive() const -> std::optional<duration> { return keep_alive_; }

  private:
    auto connect() -> void;
    auto write_request() -> void;
    auto wait_for_bytes() -> void;
    auto read_bytes() -> void;
    auto finish_answer(bool bytes_left) -> void;
    auto fail(exchange_end end, std::string reason,
              remote_reachability reachability = remote_reachability::unknown) -> void;

    network_context& network_;
    asio::ip::tcp::endpoint remote_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer connect_timer_;
    std::string outgoing_;
    std::size_t written_ = 0;
    std::optional<response_parser> parser_;
    std::size_t max_body_bytes_ = 0;
    done on_done_;
    std::function<void()> interim_;
    std::optional<duration> keep_alive_;
    bool connected_ = false;
    bool waiting_ = false;
    bool reusable_ = false;
    bool closed_ = false;
};

using shared_connection = std::shared_ptr<http_connection>;

}  // namespace eelgrassledge
