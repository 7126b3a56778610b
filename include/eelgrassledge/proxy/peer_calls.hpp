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
    not_taken,  ///< The other instance did not get the request, or says that it did nothing with it.
    silent,     ///< It did not confirm the request in time, or broke off; it may have worked on it.
};

struct peer_call_result {
    peer_call_end end = peer_call_end::silent;
    exchange_result answer;
};

/// Calls to other instances: a confirmation must come quickly, the answer in its time.
class peer_calls {
  public:
    using done = std::function<void(peer_call_result)>;

    struct order {
        attempt_id call;
        instance_record to;
        std::string bytes;
        /// A kept connection may be silent while a new one is not.
        bool fresh_connection = false;
        std::chrono::microseconds confirm_within{};
        std::chrono::microseconds answer_within{};
        done on_done;
    };

    explicit peer_calls(network_context& network) : network_(network) {}

    /// Makes a call; `on_done` is called once, later, unless the call is cancelled.
    auto start(order o) -> void;

    /// Drops a call and closes its connection, by which the other instance learns of it.
    auto cancel(attempt_id call) -> void;

    /// Closes idle connections; call about once a second.
    auto sweep(time_point now) -> void;

  private:
    struct running_call {
        std::string address;
        std::shared_ptr<asio::steady_timer> timer;
        done on_done;
    };

    auto pool_of(const std::string& address) -> connection_pool&;
    auto expire(attempt_id call) -> void;
    auto finish(attempt_id call, peer_call_result result) -> void;

    network_context& network_;
    std::unordered_map<std::string, std::unique_ptr<connection_pool>> pools_;
    std::unordered_map<attempt_id, running_call> calls_;
};

}  // namespace eelgrassledge
