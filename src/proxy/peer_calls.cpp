#include "eelgrassledge/proxy/peer_calls.hpp"

#include <asio/post.hpp>
#include <utility>

#include "eelgrassledge/proxy/peer_protocol.hpp"

namespace eelgrassledge {

namespace {

/// Maximum number of connections to one other instance; each carries one call at a time.
constexpr std::size_t MAX_CONNECTIONS = 64;

}  // namespace

auto peer_calls::pool_of(const std::string& address) -> connection_pool& {
    auto found = pools_.find(address);
    if (found == pools_.end()) {
        auto remote = parse_endpoint(address).value_or(asio::ip::tcp::endpoint{});
        found = pools_.emplace(address, std::make_unique<connection_pool>(network_, remote)).first;
        found->second->limit(MAX_CONNECTIONS);
    }
    return *found->second;
}

auto peer_calls::start(order o) -> void {
    auto id = o.call;
    auto timer = std::make_shared<asio::steady_timer>(network_.loop, o.confirm_within);
    auto on_time = [this, id](const asio::error_code& cancelled) {
        if (!cancelled) {
            expire(id);
        }
    };
    timer->async_wait(on_time);
    calls_.emplace(id, running_call{o.to.peer_address, timer, std::move(o.on_done), monotonic_now(), false});
    connection_pool::request call;
    call.attempt = id;
    call.fresh_connection = o.fresh_connection;
    call.bytes = [bytes = std::move(o.bytes)] { return bytes; };
    call.on_interim = [this, id, timer, on_time, within = o.answer_within,
                       confirmed = std::move(o.on_confirmed)] {
        timer->expires_after(within);
        timer->async_wait(on_time);
        auto found = calls_.find(id);
        if (found == calls_.end() || std::exchange(found->second.is_confirmed, true)) {
            return;
        }
        if (confirmed) {
            // May cancel the call, which must not happen while its answer is parsed.
            asio::post(network_.loop, confirmed);
        }
    };
    call.on_done = [this, id](exchange_result answer) {
        peer_call_result result;
        if (answer.end == exchange_end::not_connected || is_not_taken(answer.headers)) {
            result.end = peer_call_end::not_taken;
        } else if (answer.end == exchange_end::answered) {
            result.end = peer_call_end::answered;
        }
        result.answer = std::move(answer);
        finish(id, std::move(result));
    };
    pool_of(o.to.peer_address).send(std::move(call));
}

auto peer_calls::expire(attempt_id call) -> void {
    auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    auto& pool = pool_of(found->second.address);
    auto is_acknowledged = pool.is_acknowledged(call);
    auto was_queued = pool.cancel(call);
    peer_call_result result;
    result.answer.sent = found->second.sent;
    if (was_queued) {
        // Says nothing about the instance: all connections to it were in use.
        result.end = peer_call_end::not_taken;
        result.answer.end = exchange_end::not_connected;
        result.answer.reason = "no free connection in time";
    } else {
        result.answer.reason = "no confirmation or answer in time";
        if (!found->second.is_confirmed) {
            result.answer.reachability =
                is_acknowledged ? remote_reachability::unconfirmed : remote_reachability::unresponsive;
        }
    }
    finish(call, std::move(result));
}

auto peer_calls::finish(attempt_id call, peer_call_result result) -> void {
    auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    auto running = std::move(found->second);
    calls_.erase(found);
    running.timer->cancel();
    running.on_done(std::move(result));
}

auto peer_calls::cancel(attempt_id call) -> void {
    auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    found->second.timer->cancel();
    pool_of(found->second.address).cancel(call);
    calls_.erase(call);
}

auto peer_calls::sweep(time_point now) -> void {
    std::erase_if(pools_, [&](const auto& entry) {
        entry.second->close_idle(now);
        return entry.second->is_unused();
    });
}

}  // namespace eelgrassledge
