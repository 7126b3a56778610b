#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "eelgrassledge/proxy/http_connection.hpp"

namespace eelgrassledge::test {

/// What the server does with the connection after it wrote an answer.
enum class connection_action : std::uint8_t {
    keep,   ///< Keeps it open.
    close,  ///< Closes it normally.
    reset,  ///< Resets it.
};

/// Bytes that the server sends for one request.
struct raw_answer {
    std::string bytes;
    connection_action action = connection_action::keep;
    /// Sent repeatedly after `bytes` until the client closes the connection; empty for a finite answer.
    std::string endless;
    /// Pause before each repetition of `endless`.
    std::chrono::milliseconds pause{0};
};

/// Server that sends arbitrary bytes as the answer to each request. It uses one thread for each connection.
class raw_upstream {
  public:
    /// `previous_id` is the id of the request before on the same connection; empty for the first one.
    using answer_function =
        std::function<raw_answer(const std::string& request_id, const std::string& previous_id)>;

    /// Starts `waiting_threads` threads that wait for connections. While all of them are busy, a connection
    /// gets a new thread, which on a machine under load may run tens of milliseconds later than one that
    /// waits.
    raw_upstream(const std::string& address, answer_function answer, int waiting_threads = 0)
        : answer_(std::move(answer)), acceptor_(context_, parse_endpoint(address).value()) {
        for (int i = 0; i < waiting_threads; ++i) {
            connection_threads_.emplace_back([this] { serve_accepted(); });
        }
        accept_thread_ = std::thread{[this] { accept(); }};
    }

    ~raw_upstream() {
        stopping_ = true;
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        accept_thread_.join();
        {
            std::lock_guard guard{mutex_};
            for (auto* socket : open_sockets_) {
                ::shutdown(socket->native_handle(), SHUT_RDWR);
            }
        }
        accepted_changed_.notify_all();
        for (auto& thread : connection_threads_) {
            thread.join();
        }
    }

    raw_upstream(const raw_upstream&) = delete;
    auto operator=(const raw_upstream&) -> raw_upstream& = delete;

    /// Number of bytes that were written to sockets for `endless`.
    [[nodiscard]] auto endless_bytes() const -> std::size_t { return endless_bytes_; }

  private:
    auto accept() -> void {
        while (!stopping_) {
            asio::error_code fault;
            asio::ip::tcp::socket socket{context_};
            acceptor_.accept(socket, fault);
            if (!fault && !pass_to_waiting_thread(socket)) {
                connection_threads_.emplace_back([this, s = std::move(socket)]() mutable { serve(s); });
            }
        }
    }

    /// Takes the socket if a thread waits for it; returns whether one does.
    auto pass_to_waiting_thread(asio::ip::tcp::socket& socket) -> bool {
        {
            std::lock_guard guard{mutex_};
            if (waiting_threads_ <= accepted_.size()) {
                return false;
            }
            accepted_.push_back(std::move(socket));
        }
        accepted_changed_.notify_one();
        return true;
    }

    /// Serves accepted connections, one after another, until the server ends.
    auto serve_accepted() -> void {
        std::unique_lock lock{mutex_};
        while (!stopping_) {
            ++waiting_threads_;
            accepted_changed_.wait(lock, [this] { return stopping_ || !accepted_.empty(); });
            --waiting_threads_;
            if (!stopping_) {
                auto socket = std::move(accepted_.front());
                accepted_.pop_front();
                lock.unlock();
                serve(socket);
                lock.lock();
            }
        }
    }

    auto serve(asio::ip::tcp::socket& socket) -> void {
        {
            std::lock_guard guard{mutex_};
            open_sockets_.insert(&socket);
        }
        std::string input;
        std::string previous_id;
        asio::error_code fault;
        while (!stopping_ && !fault) {
            auto size = asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", fault);
            if (fault) {
                break;
            }
            auto id = request_id_of(input.substr(0, size));
            auto answer = answer_(id, previous_id);
            previous_id = std::move(id);
            input.erase(0, size);
            asio::write(socket, asio::buffer(answer.bytes), fault);
            while (!answer.endless.empty() && !fault && !stopping_) {
                if (answer.pause.count() > 0) {
                    std::this_thread::sleep_for(answer.pause);
                }
                endless_bytes_ += asio::write(socket, asio::buffer(answer.endless), fault);
            }
            if (answer.action == connection_action::reset) {
                socket.set_option(asio::socket_base::linger{true, 0}, fault);
            }
            if (answer.action != connection_action::keep) {
                break;
            }
        }
        std::lock_guard guard{mutex_};
        open_sockets_.erase(&socket);
        socket.close(fault);
    }

    static auto request_id_of(const std::string& head) -> std::string {
        constexpr std::string_view HEADER = "X-Request-Id: ";
        auto start = head.find(HEADER);
        if (start == std::string::npos) {
            return {};
        }
        start += HEADER.size();
        return head.substr(start, head.find('\r', start) - start);
    }

    answer_function answer_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> endless_bytes_ = 0;
    std::mutex mutex_;
    std::set<asio::ip::tcp::socket*> open_sockets_;
    std::condition_variable accepted_changed_;
    std::deque<asio::ip::tcp::socket> accepted_;
    std::size_t waiting_threads_ = 0;
    std::vector<std::thread> connection_threads_;
    std::thread accept_thread_;
};

}  // namespace eelgrassledge::test
