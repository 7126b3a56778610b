#pragma once

#include <functional>
#include <memory>
#include <string>

#include "eelgrassledge/core/strong_type.hpp"
#include "eelgrassledge/transport/http_call.hpp"

namespace eelgrassledge {

/// Identifies a call within an `http_loop`.
using call_id = strong_type<struct call_id_tag, std::uint64_t>;

/// Runs many HTTP calls concurrently on one thread, over pooled connections.
class http_loop {
  public:
    using done = std::function<void(const http_result&)>;

    struct statistics {
        std::uint64_t connections_opened = 0;
        std::uint64_t calls = 0;
    };

    http_loop();
    ~http_loop();
    http_loop(const http_loop&) = delete;
    auto operator=(const http_loop&) -> http_loop& = delete;

    /// Starts a call. `on_done` is called once on the loop's thread unless the call is dropped. A request
    /// with `fresh_connection` never uses a pooled connection, so libcurl never sends it a second time.
    auto start(http_request request, bool fresh_connection, done on_done) -> call_id;

    /// Aborts a call and closes its connection; its `on_done` is not called.
    auto drop(call_id call) -> void;

    /// Closes the connections to an address (`host:port`) on which no call is in progress. Later calls
    /// open new connections.
    auto close_idle(std::string address) -> void;

    [[nodiscard]] auto counts() const -> statistics;

    /// Ends the thread. Calls in flight are dropped without calling their `on_done`.
    auto stop() -> void;

  private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

}  // namespace eelgrassledge
