// Fault detection at a broker: requests that ran when the upstream vanished, and unresponsive connections.

#include <algorithm>

#include "eelgrassledge/broker/upstream_broker.hpp"

namespace eelgrassledge {

namespace {

/// A running sub-request counts as unresponsive after this multiple of the smoothed running time.
constexpr int UNRESPONSIVE_FACTOR = 12;
/// Lower bound of that time.
constexpr duration MIN_UNRESPONSIVE_TIME = milliseconds{100};
/// Factor on that time while the upstream has answered nothing since the sub-request was sent, so that no
/// other answer shows that it still responds.
constexpr int NO_ANSWER_FACTOR = 3;
/// Time after its deadline for which a sub-request may keep its connection.
constexpr duration LATE_ANSWER_GRACE = milliseconds{500};
/// Reserved link of the probes that the broker itself sends.
const link_id PROBE_LINK{~std::uint64_t{0}};
constexpr duration PROBE_TIMEOUT = milliseconds{1000};

}  // namespace

auto upstream_broker::connection_lost(const running_request& ended, time_point now, broker_actions& out)
    -> void {
    ramp_.connection_failed();
    out.push_back(close_idle_action{});
    auto add_strike = [&](const sub_request& request) {
        if (request.key.link == PROBE_LINK) {
            return;
        }
        auto strikes = request.strikes + 1;
        auto& counted = unconfirmed_strikes_[request.print];
        if (counted >= strikes) {
            return;
        }
        counted = strikes;
        last_strike_ = now;
        out.push_back(strike_action{request.print, strike_change::added, strikes});
        refuse_queued_suspects(request.print, strikes, out);
    };
    add_strike(ended.request);
    for (const auto& [key, running] : running_) {
        add_strike(running.request);
    }
}

auto upstream_broker::resolve_strikes(bool restarted, broker_actions& out) -> void {
    if (!restarted) {
        for (const auto& [print, strikes] : unconfirmed_strikes_) {
            out.push_back(strike_action{print, strike_change::withdrawn, 0});
        }
    }
    unconfirmed_strikes_.clear();
}

// A strike is withdrawn only if the process that answers is known to be the one that ran the request, and it
// answers a sub-request sent after the strike: an answer to an earlier one may have been in transit when the
// process ended. An upstream whose start id was never received may have restarted.
auto upstream_broker::observe_start(start_id start, time_point sent, broker_actions& out) -> void {
    auto restarted = last_start_ != start;
    if (!restarted && sent <= last_strike_) {
        return;
    }
    resolve_strikes(restarted, out);
    last_start_ = start;
}

// The probe asks for a snapshot that no upstream holds. The upstream refuses it without running anything, and
// the refusal carries its start id.
auto upstream_broker::send_strike_probe(time_point now, broker_actions& out) -> void {
    auto nothing_to_confirm = unconfirmed_strikes_.empty() || ramp_.current() != warmth::unknown;
    if (nothing_to_confirm || !running_.empty() || queued() > 0 || !may_send_now(now)) {
        return;
    }
    sub_request probe;
    probe.key = {PROBE_LINK, sub_request_id{++probe_count_}};
    probe.upstream = name_;
    probe.start = now;
    probe.deadline = now + PROBE_TIMEOUT;
    send(std::move(probe), now, out);
    running_.rbegin()->second.abandoned = true;
}

auto upstream_broker::unresponsive_at(const running_request& running) const -> time_point {
    auto overdue = std::max(MIN_UNRESPONSIVE_TIME, service_time_ * UNRESPONSIVE_FACTOR);
    auto answered_since = last_answer_ > running.sent;
    return running.sent + (answered_since ? overdue : overdue * NO_ANSWER_FACTOR);
}

auto upstream_broker::next_check(const running_request& running) const -> time_point {
    auto next = std::min(unresponsive_at(running), running.request.deadline + LATE_ANSWER_GRACE);
    if (running.request.slow_after > duration{0} && !running.slow_notified) {
        next = std::min(next, running.sent + running.request.slow_after);
    }
    return running.abandoned ? next : std::min(next, running.request.deadline);
}

auto upstream_broker::check_running(time_point now, broker_actions& out) -> void {
    std::vector<sub_key> unresponsive;
    for (auto& [key, running] : running_) {
        auto slow_after = running.request.slow_after;
        if (slow_after > duration{0} && !running.slow_notified && now - running.sent >= slow_after) {
            running.slow_notified = true;
            if (!running.abandoned) {
                out.push_back(slow_action{key});
            }
        }
        if (running.request.deadline <= now && !running.abandoned) {
            running.abandoned = true;
            out.push_back(make_answer(running.request, result_code::upstream_timeout));
            out.push_back(abort_action{key, false});
        }
        if (now >= unresponsive_at(running) || running.request.deadline + LATE_ANSWER_GRACE <= now) {
            unresponsive.push_back(key);
        }
    }
    for (const auto& key : unresponsive) {
        handle_unresponsive(key, now, out);
    }
}

auto upstream_broker::handle_unresponsive(const sub_key& key, time_point now, broker_actions& out) -> void {
    auto found = running_.find(key);
    auto ended = std::move(found->second);
    running_.erase(found);
    auto answered_meanwhile = last_answer_ > ended.sent;
    out.push_back(abort_action{key, true});
    out.push_back(close_idle_action{});
    if (!answered_meanwhile) {
        ramp_.connection_failed();
    }
    if (ended.abandoned) {
        return;
    }
    if (!ended.request.idempotent) {
        out.push_back(make_answer(ended.request, result_code::upstream_timeout));
        return;
    }
    ended.request.earlier_send_may_have_run = true;
    if (auto code = refusal_for(ended.request, now)) {
        out.push_back(make_answer(ended.request, *code));
        return;
    }
    fresh_connection_needed_ = true;
    enqueue(std::move(ended.request));
}

auto upstream_broker::refuse_queued_suspects(fingerprint print, std::uint32_t strikes, broker_actions& out)
    -> void {
    for (auto* queue : {&priority_, &ordinary_}) {
        for (auto item = queue->begin(); item != queue->end();) {
            if (item->second.print != print) {
                ++item;
                continue;
            }
            item->second.strikes = std::max(item->second.strikes, strikes);
            out.push_back(make_answer(item->second, result_code::suspect_request));
            queued_deadlines_.erase({item->second.deadline, item->first.key});
            item = queue->erase(item);
        }
    }
}

}  // namespace eelgrassledge
