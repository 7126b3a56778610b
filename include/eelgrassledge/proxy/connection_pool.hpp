#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "eelgrassledge/proxy/http_connection.hpp"
#include "eelgrassledge/routing/routed_query.hpp"

namespace eelgrassledge {

/// Connections from this instance to one server. Idle connections are reused. At most as many requests
/// as `limit` allows run at a time, so that this instance stays within its share of the connections that the
/// server accepts; further requests are queued in order.
class connection_pool {
  public:
    connection_pool(network_context& network, asio::ip::tcp::endpoint remote);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    auto operator=(const connection_pool&) -> connection_pool& = delete;

    /// Request to send, with its callbacks.
    struct request {
        /// Identifies the request in this pool.
        attempt_id attempt;
        /// Serialises the request. Called when the request is started, after any wait in the queue, so that
        /// the text states the time left at that moment.
        std::function<std::string()> bytes;
        /// Set for a HEAD request.
        bool to_head = false;
        /// Whether the request must go out on a new connection.
        bool fresh_connection = false;
        /// Called when a queued request reaches the head of the queue. If it returns false, the request is
        /// not sent and ends as `not_connected`.
        std::function<bool()> may_start;
        /// Whether an answer belongs to this request; `reused` tells whether the connection carried other
        /// requests before. If it returns false, the exchange counts as `broken` and its connection is
        /// closed.
        std::function<bool(const exchange_result& answer, bool reused)> is_own_answer;
        /// Called once when an interim answer (1xx) arrives: the server has received the request.
        std::function<void()> on_interim;
        http_connection::done on_done;
    };

    /// Sends a request, or queues it until a connection is free.
    auto send(request r) -> void;

    /// Removes a queued request, or closes the connection of a running one. Its `on_done` is not called.
    /// Returns whether the request was still queued, so that nothing of it was sent.
    auto cancel(attempt_id attempt) -> bool;

    /// Whether the remote machine has acknowledged all that was sent of a running request.
    [[nodiscard]] auto is_acknowledged(attempt_id attempt) const -> bool;

    /// Sets the maximum number of connections. Running requests above it are not interrupted.
    auto limit(std::size_t connections) -> void { limit_ = connections; }

    /// Closes the connections whose idle time has reached the limit of this side or of the server, and those
    /// that the server closed.
    auto close_idle(time_point now) -> void;

    /// Whether no request is running or queued.
    [[nodiscard]] auto is_idle() const -> bool { return busy_.empty() && queue_.empty(); }
    /// Whether no connection is open and no request is queued.
    [[nodiscard]] auto is_unused() const -> bool { return is_idle() && idle_.empty(); }
    /// Connections created since the pool was constructed, for any outcome of opening them.
    [[nodiscard]] auto opened() const -> std::uint64_t { return opened_; }

  private:
    struct idle_connection {
        shared_connection connection;
        time_point idle_since;
    };
    struct busy_connection {
        attempt_id attempt;
        shared_connection connection;
    };

    auto start(request r) -> void;
    /// Removes the most recently used reusable connection from the idle list; null if there is none.
    auto take_idle() -> shared_connection;
    /// Ends a running request, keeps or closes its connection, and starts a queued request.
    auto release(attempt_id attempt, bool reuse) -> void;
    auto start_queued() -> void;

    network_context& network_;
    asio::ip::tcp::endpoint remote_;
    std::vector<idle_connection> idle_;
    std::vector<busy_connection> busy_;
    std::deque<request> queue_;
    std::size_t limit_ = 1;
    std::uint64_t opened_ = 0;
};

}  // namespace eelgrassledge
