#pragma once

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>

#include "caller_sessions.hpp"

namespace eelgrassledge {

/// Socket that counts what its connection receives in the account of the I/O context. RESTinio passes on a
/// request only when it is complete; the socket is the only place where its parts can be counted.
class counted_socket : public asio::ip::tcp::socket {
  public:
    explicit counted_socket(asio::io_context& context)
        : asio::ip::tcp::socket(context),
          sessions_(&asio::use_service<caller_sessions_service>(context).sessions()) {}
    ~counted_socket() {
        if (session_) {
            session_->detach();
        }
    }
    /// RESTinio moves a socket from its acceptor to the connection, before the first read.
    counted_socket(counted_socket&& from) noexcept = default;
    auto operator=(counted_socket&& from) -> counted_socket& = delete;
    counted_socket(const counted_socket&) = delete;
    auto operator=(const counted_socket&) -> counted_socket& = delete;

    template <typename Handler>
    auto async_read_some(const asio::mutable_buffer& buffer, Handler&& handler) -> void {
        auto executor = asio::get_associated_executor(handler, get_executor());
        if (!session_) {
            session_ = sessions_->open(*this, executor);
        }
        asio::ip::tcp::socket::async_read_some(
            buffer, asio::bind_executor(
                        executor, [session = session_, buffer, handler = std::forward<Handler>(handler)](
                                      const asio::error_code& fault, std::size_t size) mutable {
                            caller_session::completion_scope scope{session};
                            if (!fault) {
                                session->received({static_cast<const char*>(buffer.data()), size});
                            }
                            handler(fault, size);
                        }));
    }

    template <typename Buffers, typename Handler>
    auto async_write_some(const Buffers& buffers, Handler&& handler) -> void {
        auto executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_write_some(
            buffers,
            asio::bind_executor(executor, [session = session_, handler = std::forward<Handler>(handler)](
                                              const asio::error_code& fault, std::size_t size) mutable {
                caller_session::completion_scope scope{session};
                handler(fault, size);
            }));
    }

  private:
    caller_sessions* sessions_;
    std::shared_ptr<caller_session> session_;
};

}  // namespace eelgrassledge
