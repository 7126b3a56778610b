#include "eelgrassledge/transport/upstream_client.hpp"

#include <random>

namespace eelgrassledge {

namespace {

constexpr duration POLL_TIMEOUT = milliseconds{900};
constexpr duration CANCEL_TIMEOUT = milliseconds{1000};
/// Larger answers of an upstream are rejected.
constexpr std::size_t MAX_ANSWER_BYTES = std::size_t{8} << 20U;
/// The same for an answer to a poll or to a cancellation, which states a few numbers.
constexpr std::size_t MAX_STATUS_BYTES = std::size_t{64} << 10U;

/// Random start value for wire ids, so that the ids of two processes do not collide.
auto first_wire_id() -> std::uint64_t {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 31U) ^ device();
}

auto outcome_of(const http_result& result, wire_id id) -> send_outcome {
    if (result.failure == http_failure::none) {
        return decode_upstream_answer(result.response.status, result.response.body, id);
    }
    send_outcome outcome;
    outcome.reason = result.reason;
    switch (result.failure) {
        case http_failure::not_sent:
            outcome.code = result_code::upstream_unreachable;
            break;
        case http_failure::bad_response:
            outcome.code = result_code::bad_answer;
            break;
        default:
            outcome.code = result_code::upstream_failed;
            break;
    }
    return outcome;
}

}  // namespace

upstream_client::upstream_client() : next_wire_id_(first_wire_id()) {}

auto upstream_client::send(const std::string& address, const send_action& action, send_done done) -> void {
    auto id = wire_id{next_wire_id_++};
    auto key = action.request.key;
    http_request request{"POST",
                         "http://" + address + "/search",
                         encode_sub_request(action.request, id, action.deadline),
                         {},
                         duration{0},
                         MAX_ANSWER_BYTES};
    std::scoped_lock guard{lock_};
    auto call = loop_.start(std::move(request), action.fresh_connection,
                            [this, key, id, done = std::move(done)](const http_result& result) {
                                finish(key, id, result, done);
                            });
    sent_[key] = {call, id};
}

auto upstream_client::finish(const sub_key& key, wire_id id, const http_result& result, const send_done& done)
    -> void {
    {
        std::scoped_lock guard{lock_};
        auto found = sent_.find(key);
        if (found != sent_.end() && found->second.id == id) {
            sent_.erase(found);
        }
    }
    done(key, outcome_of(result, id));
}

auto upstream_client::abort(const std::string& address, const abort_action& action) -> void {
    std::optional<sent_request> sent;
    {
        std::scoped_lock guard{lock_};
        auto found = sent_.find(action.key);
        if (found == sent_.end()) {
            return;
        }
        sent = found->second;
        if (action.close_connection) {
            sent_.erase(found);
        }
    }
    if (action.close_connection) {
        loop_.drop(sent->call);
        return;
    }
    auto body = "{\"sub_id\":" + std::to_string(sent->id.value()) + "}";
    loop_.start(
        {"POST", "http://" + address + "/cancel", std::move(body), {}, CANCEL_TIMEOUT, MAX_STATUS_BYTES},
        false, [](const http_result&) {});
}

auto upstream_client::close_idle(const std::string& address) -> void {
    loop_.close_idle(address);
}

auto upstream_client::poll(const std::string& address, poll_done done) -> void {
    loop_.start({"GET", "http://" + address + "/status", "", {}, POLL_TIMEOUT, MAX_STATUS_BYTES}, false,
                [done = std::move(done)](const http_result& result) {
                    auto answered = result.failure == http_failure::none && result.response.status == 200;
                    done(answered ? decode_upstream_status(result.response.body) : std::nullopt);
                });
}

auto upstream_client::counts() const -> http_loop::statistics {
    return loop_.counts();
}

auto upstream_client::stop() -> void {
    loop_.stop();
}

}  // namespace eelgrassledge
