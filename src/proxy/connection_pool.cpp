#include "eelgrassledge/proxy/connection_pool.hpp"

#include <algorithm>
#include <asio/post.hpp>

namespace eelgrassledge {

namespace {

/// Maximum time to keep an idle connection, unless the upstream states a shorter one.
constexpr duration MAX_IDLE = seconds{10};

/// An idle connection is closed this long before the upstream would close it.
constexpr duration IDLE_MARGIN = milliseconds{700};

/// Maximum size of the body of an upstream's answer, in bytes.
constexpr std::size_t MAX_ANSWER_BYTES = std::size_t{8} << 20U;

}  // namespace

connection_pool::connection_pool(network_context& network, asio::ip::tcp::endpoint remote)
    : network_(network), remote_(std::move(remote)) {}

connection_pool::~connection_pool() {
    for (auto& kept : idle_) {
        kept.connection->close();
    }
    for (auto& running : busy_) {
        running.connection->close();
    }
}

auto connection_pool::take_idle() -> shared_connection {
    while (!idle_.empty()) {
        auto kept = idle_.back();
        idle_.pop_back();
        if (kept.connection->is_reusable()) {
            return kept.connection;
        }
    }
    return nullptr;
}

auto connection_pool::send(request r) -> void {
    if (busy_.size() >= limit_) {
        queue_.push_back(std::move(r));
        return;
    }
    start(std::move(r));
}

auto connection_pool::start(request r) -> void {
    shared_connection connection;
    if (!r.fresh_connection) {
        connection = take_idle();
    } else if (!idle_.empty() && idle_.size() + busy_.size() >= limit_) {
        idle_.front().connection->close();
        idle_.erase(idle_.begin());
    }
    auto reused = connection != nullptr;
    if (!reused) {
        connection = std::make_shared<http_connection>(network_, remote_);
        ++opened_;
    }
    busy_.push_back({r.attempt, connection});
    auto finish = [this, attempt = r.attempt, reused, is_own = std::move(r.is_own_answer),
                   done = std::move(r.on_done)](exchange_result result) {
        auto own = result.end != exchange_end::answered || !is_own || is_own(result, reused);
        if (!own) {
            result.end = exchange_end::broken;
            result.reason = "answer to another request";
        }
        release(attempt, own);
        done(std::move(result));
    };
    connection->on_interim(std::move(r.on_interim));
    connection->exchange(r.bytes(), r.to_head, MAX_ANSWER_BYTES, std::move(finish));
}

auto connection_pool::release(attempt_id attempt, bool reuse) -> void {
    auto found = std::find_if(busy_.begin(), busy_.end(),
                              [&](const busy_connection& b) { return b.attempt == attempt; });
    if (found == busy_.end()) {
        return;
    }
    auto connection = found->connection;
    busy_.erase(found);
    if (!reuse) {
        connection->close();
    } else if (connection->is_reusable()) {
        idle_.push_back({connection, monotonic_now()});
    }
    start_queued();
}

auto connection_pool::start_queued() -> void {
    if (queue_.empty() || busy_.size() >= limit_) {
        return;
    }
    auto next = std::move(queue_.front());
    queue_.pop_front();
    if (!next.may_start || next.may_start()) {
        start(std::move(next));
        return;
    }
    asio::post(network_.loop, [done = std::move(next.on_done)] {
        exchange_result result;
        result.end = exchange_end::not_connected;
        result.reason = "the server became unavailable while the request was queued";
        done(std::move(result));
    });
    start_queued();
}

auto connection_pool::cancel(attempt_id attempt) -> bool {
    auto queued =
        std::find_if(queue_.begin(), queue_.end(), [&](const request& r) { return r.attempt == attempt; });
    if (queued != queue_.end()) {
        queue_.erase(queued);
        return true;
    }
    auto found = std::find_if(busy_.begin(), busy_.end(),
                              [&](const busy_connection& b) { return b.attempt == attempt; });
    if (found != busy_.end()) {
        found->connection->close();
        busy_.erase(found);
        start_queued();
    }
    return false;
}

auto connection_pool::is_acknowledged(attempt_id attempt) const -> bool {
    auto found = std::find_if(busy_.begin(), busy_.end(),
                              [&](const busy_connection& b) { return b.attempt == attempt; });
    return found != busy_.end() && found->connection->is_acknowledged();
}

auto connection_pool::close_idle(time_point now) -> void {
    std::erase_if(idle_, [&](const idle_connection& kept) {
        auto keep = std::min(MAX_IDLE, kept.connection->keep_alive().value_or(MAX_IDLE) - IDLE_MARGIN);
        if (kept.connection->is_reusable() && now - kept.idle_since < keep) {
            return false;
        }
        kept.connection->close();
        return true;
    });
}

}  // namespace eelgrassledge
