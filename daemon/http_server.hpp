#pragma once

#include <functional>
#include <memory>
#include <string>

#include "caller_sessions.hpp"
#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/runtime/application.hpp"

namespace eelgrassledge {

/// Limits of the HTTP server.
struct http_limits {
    std::size_t max_body_bytes = 65536;
    std::size_t max_header_bytes = 8192;
    session_limits sessions;
    std::size_t threads = 2;
};

/// HTTP/1.1 server that calls a handler for each request, on one of the server's own threads. The handler may
/// send the response later and from another thread.
class http_server {
  public:
    using handler = std::function<void(const api_request&, application::respond)>;

    /// `on_evicted` is called on any thread and must not block.
    http_server(handler on_request, http_limits limits, caller_sessions::evicted_hook on_evicted);
    ~http_server();
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    /// Starts to listen on `address` (IP:PORT). Errors: `cannot_listen`.
    [[nodiscard]] auto start(const std::string& address) -> result<bool>;

    /// Closes the listening socket and all connections, and joins the threads. Does nothing if not started.
    auto stop() -> void;

  private:
    struct implementation;
    std::shared_ptr<implementation> impl_;  ///< Shared with requests that are not answered yet.
};

}  // namespace eelgrassledge
