#include "eelgrassledge/proxy/http_server.hpp"

#include <utility>

namespace eelgrassledge {

namespace {

/// Delay before accepting again after an accept failed, for example because no file descriptor was free, or
/// while there are as many sessions as allowed.
constexpr std::chrono::milliseconds ACCEPT_RETRY{50};

/// Backlog of the listening socket, in connections.
constexpr int LISTEN_BACKLOG = 1024;

}  // namespace

http_server::http_server(network_context& network, handler handle)
    : network_(network), handle_(std::move(handle)), acceptor_(network.loop), accept_retry_(network.loop) {}

auto http_server::listen(const asio::ip::tcp::endpoint& local) -> result<bool> {
    asio::error_code fault;
    acceptor_.open(local.protocol(), fault);
    acceptor_.set_option(asio::socket_base::reuse_address{true}, fault);
    acceptor_.bind(local, fault);
    if (!fault) {
        acceptor_.listen(LISTEN_BACKLOG, fault);
    }
    if (fault) {
        return fail(result_code::cannot_listen, local.address().to_string() + ":" +
                                                    std::to_string(local.port()) + ": " + fault.message());
    }
    accept_next();
    return true;
}

auto http_server::accept_next() -> void {
    if (sessions_.size() >= policy_.max_sessions) {
        wait_for_room();
        return;
    }
    acceptor_.async_accept([this](const asio::error_code& fault, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (fault) {
            retry_accept();
            return;
        }
        auto session = std::make_shared<http_session>(*this, std::move(socket));
        sessions_.insert(session);
        session->start();
        accept_next();
    });
}

auto http_server::wait_for_room() -> void {
    acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](const asio::error_code& fault) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (!fault && make_room_for_session()) {
            accept_next();
        } else {
            retry_accept();
        }
    });
}

auto http_server::retry_accept() -> void {
    accept_retry_.expires_after(ACCEPT_RETRY);
    accept_retry_.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled && acceptor_.is_open()) {
            accept_next();
        }
    });
}

auto http_server::make_room_for_session() -> bool {
    if (sessions_.size() < policy_.max_sessions) {
        return true;
    }
    auto latest = monotonic_now() - policy_.min_stage_time;
    if (auto* replaced = network_.sessions.next_to_replace(this, latest)) {
        replaced->evict(eviction_reason::sessions);
    }
    return sessions_.size() < policy_.max_sessions;
}

auto http_server::enforce_memory_limit() -> void {
    // An evicted session may call this again when it writes its refusal.
    if (std::exchange(enforcing_memory_limit_, true)) {
        return;
    }
    while (auto* evicted = network_.sessions.next_to_evict()) {
        evicted->evict(eviction_reason::memory);
    }
    enforcing_memory_limit_ = false;
}

auto http_server::report_loss(const session_share& share, const char* reason) -> void {
    if (on_loss_) {
        on_loss_({reason, share.stage(), share.bytes(), monotonic_now() - share.since()});
    }
}

auto http_server::stop_listening() -> void {
    asio::error_code ignored;
    acceptor_.close(ignored);
}

auto http_server::close_idle() -> void {
    auto all = sessions_;
    for (const auto& session : all) {
        if (session->is_idle()) {
            session->phase_started_ = monotonic_now();
            session->linger();
        }
    }
}

auto http_server::enforce_timeouts(time_point now) -> void {
    auto all = sessions_;
    for (const auto& session : all) {
        session->enforce_timeout(now);
    }
}

}  // namespace eelgrassledge
