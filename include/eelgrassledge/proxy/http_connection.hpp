#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "eelgrassledge/core/answer_memory.hpp"
#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/session_memory.hpp"
#include "eelgrassledge/proxy/http_parsers.hpp"

namespace eelgrassledge {

/// State shared by all connections of one event loop.
struct network_context {
    /// Memory of the answers that all connections are receiving. Declared before the loop, whose destructor
    /// destroys connections.
    answer_memory answers;
    /// Memory of the sessions of all servers.
    session_memory sessions;
    asio::io_context loop;
    /// Receive buffer. Bytes read into it are consumed before the next read, so all connections share one.
    std::string read_buffer = std::string(65536, '\0');
};

/// Parses `IP:PORT` with an IPv4 address; returns `bad_settings` for any other text.
[[nodiscard]] auto parse_endpoint(const std::string& address) -> result<asio::ip::tcp::endpoint>;

/// Sets the socket options that every connection uses: TCP_NODELAY, a time-out for unacknowledged data, and
/// keep-alive probes that detect a peer that vanished without closing the connection. Failures to set an
/// option are harmless and ignored.
auto tune_socket(asio::ip::tcp::socket& socket) -> void;

/// How an exchange on a connection ended.
enum class exchange_end : std::uint8_t {
    answered,       ///< A complete answer was received.
    not_connected,  ///< No connection was opened, so nothing was sent.
    broken,         ///< The connection ended, or the bytes received are not the expected answer.
};

/// What an exchange shows about the network path to the remote machine.
enum class remote_reachability : std::uint8_t {
    unknown,       ///< The exchange does not show whether the machine is reachable.
    responsive,    ///< The machine responded; a refused connection counts.
    unresponsive,  ///< The machine did not respond before the time-out.
    unconfirmed,   ///< The machine acknowledged the request, but its process did not respond in time.
};

/// Outcome of one exchange. `status`, `headers` and `body` are those of the answer, if a complete one
/// arrived.
struct exchange_result {
    exchange_end end = exchange_end::broken;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    /// Cause of a failure, as text. The soak program searches it for "early" and "reset".
    std::string reason;
    /// Whether any byte of an answer was received.
    bool answer_begun = false;
    /// Whether the exchange failed because the answer exceeded a size limit.
    bool too_large = false;
    remote_reachability reachability = remote_reachability::unknown;
    /// When the exchange began.
    time_point sent{};
};

/// Client connection to an HTTP server that carries one exchange at a time.
///
/// The connection is reused only after exactly one complete answer that arrived after its whole request was
/// written. This class never sends a request a second time.
class http_connection : public std::enable_shared_from_this<http_connection> {
  public:
    using done = std::function<void(exchange_result)>;

    http_connection(network_context& network, asio::ip::tcp::endpoint remote);

    /// Sends the request `bytes`, opening the connection first if necessary. Calls `on_done` once with the
    /// outcome, and never from within this call; it is not called if `close` comes first. `to_head` is set
    /// for a HEAD request. `max_body_bytes` limits the body of the answer.
    auto exchange(std::string bytes, bool to_head, std::size_t max_body_bytes, done on_done) -> void;

    /// Sets a hook that is called once when an interim answer (1xx) to the current exchange arrives.
    auto on_interim(std::function<void()> hook) -> void { on_interim_ = std::move(hook); }

    /// Closes the connection; `on_done` is not called after this.
    auto close() -> void;

    /// Whether the connection is open, idle and usable for another request.
    [[nodiscard]] auto is_reusable() const -> bool { return reusable_; }

    /// Whether the connection is open and the remote machine has acknowledged all data sent so far. It does
    /// so even if its process gets no processor time.
    [[nodiscard]] auto is_acknowledged() -> bool;

    /// How long the server keeps the idle connection open, from the `timeout` parameter of the `Keep-Alive`
    /// header of the last answer; empty if the server did not state it.
    [[nodiscard]] auto keep_alive() const -> std::optional<duration> { return keep_alive_; }

  private:
    auto connect() -> void;
    auto write_request() -> void;
    auto wait_for_bytes() -> void;
    auto read_bytes() -> void;
    /// Reports a complete answer. `must_close` prevents reuse: bytes followed the answer, or the server
    /// closed the connection.
    auto finish_answer(bool must_close) -> void;
    /// Frees the memory of the answer in progress and stops reading it. The failure is reported later,
    /// because this is called while another connection receives.
    auto give_up_answer() -> void;
    /// Closes the connection and reports a failed exchange. Any byte of an answer overrides `reachability`
    /// with `responsive`.
    auto fail(exchange_end end, std::string reason,
              remote_reachability reachability = remote_reachability::unknown) -> void;

    network_context& network_;
    asio::ip::tcp::endpoint remote_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer connect_timer_;
    std::string outgoing_;
    std::size_t written_ = 0;
    time_point started_{};
    std::optional<response_parser> parser_;
    /// Memory of the answer in progress.
    std::optional<answer_share> share_;
    std::size_t max_body_bytes_ = 0;
    done on_done_;
    std::function<void()> on_interim_;
    std::optional<duration> keep_alive_;
    bool connected_ = false;
    bool waiting_ = false;
    bool reusable_ = false;
    bool closed_ = false;
};

using shared_connection = std::shared_ptr<http_connection>;

}  // namespace eelgrassledge
