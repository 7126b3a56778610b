#include "eelgrassledge/proxy/feed_server.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Longest time for which a request for changes waits; the waiting instance must detect soon when this one no
/// longer receives updates from the store.
constexpr duration MAX_WAIT = milliseconds{500};

/// Time after a request during which other instances are assumed to follow this one.
constexpr duration FOLLOWER_TIMEOUT = seconds{2};

}  // namespace

auto feed_server::has_followers(time_point now) const -> bool {
    return last_request_ != time_point{} && now - last_request_ < FOLLOWER_TIMEOUT;
}

auto feed_server::handle(const shared_session& session, const inbound_request& request) -> void {
    auto now = monotonic_now();
    last_request_ = now;
    auto seen = to_whole_number(header_value(request.headers, FEED_AFTER_HEADER), -1);
    if (seen < 0) {
        session->respond({400, {}, ""});
        return;
    }
    store_era era{to_whole_number(header_value(request.headers, FEED_ERA_HEADER), replica_.era().value())};
    waiting_request waiting{session, {era, mod_revision{seen}}, now + MAX_WAIT};
    if (replica_.has_changes_after(waiting.seen)) {
        answer(waiting);
        return;
    }
    waiting_.push_back(std::move(waiting));
    if (waiting_.size() == 1) {
        arm();
    }
}

auto feed_server::answer(const waiting_request& request) -> void {
    auto changes = replica_.after(request.seen, monotonic_now());
    if (!changes) {
        request.session->respond({503, {}, ""});
        return;
    }
    if (amend_answer_) {
        amend_answer_(*changes);
    }
    request.session->respond({200, {}, encode_feed_answer(*changes)});
}

auto feed_server::replica_changed() -> void {
    auto ready = std::exchange(waiting_, {});
    for (const auto& request : ready) {
        answer(request);
    }
}

auto feed_server::arm() -> void {
    // All requests have the same waiting time, so the oldest one is due first.
    timer_.expires_after(std::max(duration{}, waiting_.front().until - monotonic_now()));
    timer_.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            answer_due(monotonic_now());
        }
    });
}

auto feed_server::answer_due(time_point now) -> void {
    auto first_not_due = std::find_if(waiting_.begin(), waiting_.end(),
                                      [&](const waiting_request& request) { return request.until > now; });
    std::vector<waiting_request> due{waiting_.begin(), first_not_due};
    waiting_.erase(waiting_.begin(), first_not_due);
    for (const auto& request : due) {
        answer(request);
    }
    if (!waiting_.empty()) {
        arm();
    }
}

}  // namespace eelgrassledge
