// Suspicion at a broker: requests that ran when the upstream vanished, and connections that fell silent.

#include <algorithm>

#include "eelgrassledge/broker/upstream_broker.hpp"

namespace eelgrassledge {

namespace {

/// A running sub-request is overdue after this many times the smoothed running time...
constexpr int SILENT_FACTOR = 12;
/// ...but never sooner than this.
constexpr duration SILENT_FLOOR = milliseconds{100};
/// Without any answer to compare with, a sub-request is overdue after this many times the above.
constexpr int SILENT_WITHOUT_COMPARISON = 3;
/// How long a sub-request whose deadline has passed may keep its connection.
constexpr duration LATE_ANSWER_GRACE = milliseconds{500};
/// Link of requests that the broker sends for itself.
const link_id PROBE_LINK{~std::uint64_t{0}};
constexpr duration PROBE_TIMEOUT = milliseconds{1000};

}  // namespace

auto upstream_broker::connection_lost(const running_request& ended, time_point now, broker_actions& out)
    -> void {
    ramp_.connection_failed();
    out.push_back(close_idle_action{});
    auto strike = [&](const sub_request& request) {
        if (request.key.link == PROBE_LINK) {
            return;
        }
        auto strikes = request.strikes + 1;
        auto& known = strikes_here_[request.print];
        if (known >= strikes) {
            return;
        }
        known = strikes;
        last_strike_ = now;
        out.push_back(strike_action{request.print, strike_change::added, strikes});
        flush_fingerprint(request.print, strikes, out);
    };
    strike(ended.request);
    for (const auto& [key, running] : running_) {
        strike(running.request);
    }
}

auto upstream_broker::settle_strikes(bool restarted, broker_actions& out) -> void {
    if (!restarted) {
        for (const auto& [print, strikes] : strikes_here_) {
            out.push_back(strike_action{print, strike_change::withdrawn, 0});
        }
    }
    strikes_here_.clear();
}

// A strike is withdrawn only when the process that answers is known to be the one that ran the request, and
// answers what was sent since: an answer to earlier work may have been on its way when the process ended. An
// upstream whose start was never seen may have restarted.
auto upstream_broker::note_start(start_id start, time_point sent, broker_actions& out) -> void {
    auto restarted = start_seen_ != start;
    if (!restarted && sent <= last_strike_) {
        return;
    }
    settle_strikes(restarted, out);
    start_seen_ = start;
}

// Asks for a snapshot that nobody holds: the refusal runs nothing and shows the start id.
auto upstream_broker::probe_for_strikes(time_point now, broker_actions& out) -> void {
    auto settled = strikes_here_.empty() || ramp_.current() != warmth::unknown;
    if (settled || !running_.empty() || queued() > 0 || !may_send_now(now)) {
        return;
    }
    sub_request probe;
    probe.key = {PROBE_LINK, sub_request_id{++probes_}};
    probe.upstream = name_;
    probe.start = now;
    probe.deadline = now + PROBE_TIMEOUT;
    send(std::move(probe), now, out);
    running_.rbegin()->second.abandoned = true;
}

auto upstream_broker::silent_from(const running_request& r) const -> time_point {
    auto overdue = std::max(SILENT_FLOOR, service_time_ * SILENT_FACTOR);
    auto is_compared = last_answer_ > r.sent;
    return r.sent + (is_compared ? overdue : overdue * SILENT_WITHOUT_COMPARISON);
}

auto upstream_broker::next_check(const running_request& r) const -> time_point {
    auto next = std::min(silent_from(r), r.request.deadline + LATE_ANSWER_GRACE);
    if (r.request.slow_after > duration{0} && !r.slow_told) {
        next = std::min(next, r.sent + r.request.slow_after);
    }
    return r.abandoned ? next : std::min(next, r.request.deadline);
}

auto upstream_broker::check_running(time_point now, broker_actions& out) -> void {
    std::vector<sub_key> silent;
    for (auto& [key, running] : running_) {
        auto slow_after = running.request.slow_after;
        if (slow_after > duration{0} && !running.slow_told && now - running.sent >= slow_after) {
            running.slow_told = true;
            if (!running.abandoned) {
                out.push_back(slow_action{key});
            }
        }
        if (running.request.deadline <= now && !running.abandoned) {
            running.abandoned = true;
            out.push_back(refuse(running.request, result_code::upstream_timeout));
            out.push_back(abort_action{key, false});
        }
        if (now >= silent_from(running) || running.request.deadline + LATE_ANSWER_GRACE <= now) {
            silent.push_back(key);
        }
    }
    for (const auto& key : silent) {
        give_up_silent(key, now, out);
    }
}

auto upstream_broker::give_up_silent(const sub_key& key, time_point now, broker_actions& out) -> void {
    auto found = running_.find(key);
    auto ended = std::move(found->second);
    running_.erase(found);
    auto compared = last_answer_ > ended.sent;
    out.push_back(abort_action{key, true});
    out.push_back(close_idle_action{});
    if (!compared) {
        ramp_.connection_failed();
    }
    if (ended.abandoned) {
        return;
    }
    if (!ended.request.idempotent) {
        out.push_back(refuse(ended.request, result_code::upstream_timeout));
        return;
    }
    if (auto code = refusal_for(ended.request, now)) {
        out.push_back(refuse(ended.request, *code));
        return;
    }
    fresh_next_ = true;
    enqueue(std::move(ended.request));
}

auto upstream_broker::flush_fingerprint(fingerprint print, std::uint32_t strikes, broker_actions& out)
    -> void {
    for (auto* queue : {&priority_, &ordinary_}) {
        for (auto item = queue->begin(); item != queue->end();) {
            if (item->second.print != print) {
                ++item;
                continue;
            }
            item->second.strikes = std::max(item->second.strikes, strikes);
            out.push_back(refuse(item->second, result_code::suspect_request));
            queued_deadlines_.erase({item->second.deadline, item->first.key});
            item = queue->erase(item);
        }
    }
}

}  // namespace eelgrassledge
