#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "eelgrassledge/proxy/connection_pool.hpp"
#include "eelgrassledge/routing/instance_directory.hpp"

namespace eelgrassledge {

/// How a call to another instance ended.
enum class peer_call_end : std::uint8_t {
    answered,
    not_taken,     ///< The other instance did not receive the request, or declined it without running it.
    unresponsive,  ///< It did not confirm or answer in time, or closed the connection; it may have run the
                   ///< request.
};

struct peer_call_result {
    peer_call_end end = peer_call_end::unresponsive;
    exchange_result answer;
};

/// Calls to other instances. The other instance confirms a request with an interim response and answers it
/// later; both have a timeout of their own, so that an unresponsive instance is detected early.
class peer_calls {
  public:
    using completion_handler = std::function<void(peer_call_result)>;

    struct order {
        /// Unique among all running calls.
        attempt_id call;
        instance_record to;
        std::string bytes;
        /// Whether to open a new connection. A kept connection may be unresponsive while a new one works.
        bool fresh_connection = false;
        std::chrono::microseconds confirm_within{};
        /// Counted from the confirmation.
        std::chrono::microseconds answer_within{};
        /// Called when the other instance confirms the call, if set.
        std::function<void()> on_confirmed;
        completion_handler on_done;
    };

    explicit peer_calls(network_context& network) : network_(network) {}

    /// Starts a call. `on_done` is called once, after this function has returned, unless the call is
    /// cancelled.
    auto start(order o) -> void;

    /// Cancels a call without calling `on_done`, and closes its connection, which notifies the other
    /// instance.
    auto cancel(attempt_id call) -> void;

    /// Closes idle connections and removes unused pools; to be called about once a second.
    auto sweep(time_point now) -> void;

  private:
    struct running_call {
        std::string address;
        std::shared_ptr<asio::steady_timer> timer;
        completion_handler on_done;
        time_point sent;
        /// Whether the other instance has confirmed the call.
        bool is_confirmed = false;
    };

    auto pool_of(const std::string& address) -> connection_pool&;
    /// Ends a call whose timeout has passed.
    auto expire(attempt_id call) -> void;
    auto finish(attempt_id call, peer_call_result result) -> void;

    network_context& network_;
    std::unordered_map<std::string, std::unique_ptr<connection_pool>> pools_;
    std::unordered_map<attempt_id, running_call> calls_;
};

}  // namespace eelgrassledge
