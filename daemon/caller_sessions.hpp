#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/execution_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrassledge/config/session_limits.hpp"
#include "eelgrassledge/core/session_memory.hpp"

namespace eelgrassledge {

class caller_session;

/// Account of the memory that the connections of callers hold. Evicts sessions above the limits. All
/// functions may be called from any thread.
class caller_sessions {
  public:
    /// Called for each evicted session with its stage and the bytes it held, while the account is locked.
    using evicted_hook = std::function<void(eviction_reason, session_stage, std::size_t)>;

    caller_sessions(session_limits limits, evicted_hook on_evicted);

    /// Opens the session of an accepted connection. If there are too many sessions, evicts the oldest one
    /// without a running request.
    [[nodiscard]] auto open(asio::ip::tcp::socket& socket, asio::any_io_executor executor)
        -> std::shared_ptr<caller_session>;

  private:
    friend class caller_session;

    /// Evicts sessions until the limit is kept or only running requests are left; the lock must be held.
    auto enforce_memory() -> void;

    std::mutex lock_;
    session_memory memory_;
    std::size_t max_sessions_;
    std::size_t open_ = 0;
    evicted_hook on_evicted_;
};

/// What one connection holds. RESTinio handles one request of a connection at a time, so that bytes which
/// arrive always belong to the request that is received next.
class caller_session : public std::enable_shared_from_this<caller_session> {
  public:
    caller_session(caller_sessions& owner, asio::ip::tcp::socket& socket, asio::any_io_executor executor);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    auto operator=(const caller_session&) -> caller_session& = delete;

    /// Counts bytes that arrived.
    auto received(std::string_view bytes) -> void;
    /// Records that a request was received completely. Returns false if it must be refused because running
    /// requests and their answers hold all memory.
    [[nodiscard]] auto begin_request(std::size_t body_bytes) -> bool;
    /// Records that an answer waits to be read by the client.
    auto begin_answer(std::size_t bytes) -> void;
    /// Records that the answer was written completely.
    auto end_answer() -> void;
    /// Records that the connection no longer exists.
    auto detach() -> void;

    /// The session whose read or write is being completed on this thread. RESTinio calls the handler of a
    /// request from such a completion and does not pass on the socket.
    [[nodiscard]] static auto current() -> const std::shared_ptr<caller_session>&;

    /// Sets `current` for the duration of a scope.
    class completion_scope {
      public:
        explicit completion_scope(std::shared_ptr<caller_session> session);
        ~completion_scope();
        completion_scope(const completion_scope&) = delete;
        auto operator=(const completion_scope&) -> completion_scope& = delete;
    };

  private:
    friend class caller_sessions;

    /// Changes the share unless the session is evicted; the lock of the account must be held.
    auto update(std::size_t bytes, session_stage stage) -> void;
    /// Takes the session out of the account; the lock of the account must be held.
    auto end_share() -> void;
    /// Ends the share and closes the connection on its executor; the lock of the account must be held.
    auto evict(eviction_reason reason) -> void;
    auto close() -> void;

    caller_sessions& owner_;
    asio::ip::tcp::socket* socket_;  ///< Null once the connection no longer exists.
    asio::any_io_executor executor_;
    std::optional<session_share> share_;  ///< None once the session is evicted.
    std::string request_line_;            ///< Start of the request that is being received.
    std::size_t request_cost_ = 0;
    time_point since_;
};

/// Makes the account available to the sockets of an I/O context.
class caller_sessions_service : public asio::execution_context::service {
  public:
    using key_type = caller_sessions_service;
    static inline asio::execution_context::id id;

    explicit caller_sessions_service(asio::execution_context& context, caller_sessions* sessions = nullptr)
        : asio::execution_context::service(context), sessions_(sessions) {}

    [[nodiscard]] auto sessions() const -> caller_sessions& { return *sessions_; }

  private:
    auto shutdown() -> void override {}

    caller_sessions* sessions_;
};

}  // namespace eelgrassledge
