#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "eelgrassledge/proxy/http_connection.hpp"
#include "eelgrassledge/routing/routed_query.hpp"

namespace eelgrassledge {

/// Connections of this instance to one server: kept ones are used again, and their number
/// stays within this instance's share of what the server accepts.
class connection_pool {
  public:
    connection_pool(network_context& network, asio::ip::tcp::endpoint remote);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    auto operator=(const connection_pool&) -> connection_pool& = delete;

    struct request {
        attempt_id attempt;
        /// Makes the bytes when they are written, so that they state the time that is left then.
        std::function<std::string()> bytes;
        bool to_head = false;
        bool fresh_connection = false;
        /// Whether the request may still go out when its turn comes; it counts as not sent if not.
        std::function<bool()> may_start;
        /// Whether an answer belongs to this request; another one makes the connection useless.
        std::function<bool(const exchange_result&)> is_own_answer;
        /// Called when the server says that it has the request.
        std::function<void()> on_interim;
        http_connection::done on_done;
    };

    /// Sends an order, or queues it until a connection is free.
    auto send(request o) -> void;

    /// Drops an order and closes its connection; its `on_done` is not called.
    auto cancel(attempt_id attempt) -> void;

    /// Changes the bound on connections.
    auto limit(std::size_t connections) -> void { limit_ = connections; }

    /// Closes idle connections that were kept longer than the server or this side keeps them.
    auto close_idle(time_point now) -> void;

    [[nodiscard]] auto is_idle() const -> bool { return busy_.empty() && queue_.empty(); }
    /// Whether no connection is open and nothing waits.
    [[nodiscard]] auto is_unused() const -> bool { return is_idle() && idle_.empty(); }
    [[nodiscard]] auto opened() const -> std::uint64_t { return opened_; }

  private:
    struct idle_connection {
        shared_connection connection;
        time_point since;
    };
    struct busy_connection {
        attempt_id attempt;
        shared_connection connection;
    };

    auto start(request o) -> void;
    auto take_idle() -> shared_connection;
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
