#include "eelgrassledge/broker/upstream_broker.hpp"

#include <algorithm>

#include "eelgrassledge/core/suspicion.hpp"

namespace eelgrassledge {

namespace {

/// The newest answer counts for one part in this many of the smoothed running time.
constexpr int SERVICE_TIME_WEIGHT = 10;
constexpr duration FIRST_BACK_OFF = milliseconds{50};
constexpr duration LONGEST_BACK_OFF = milliseconds{2000};
/// Time for which nothing is sent to an upstream that could not be reached.
constexpr duration UNREACHABLE_PAUSE = milliseconds{250};
/// A sub-request that can go to another replica is refused if its expected wait for an upstream that is not
/// warm is longer than this.
constexpr duration COLD_WAIT_LIMIT = milliseconds{30};

auto append(broker_actions& to, broker_actions from) -> void {
    std::ranges::move(from, std::back_inserter(to));
}

auto is_transport_failure(result_code code) -> bool {
    return code == result_code::upstream_failed;
}

}  // namespace

upstream_broker::upstream_broker(upstream_id name, upstream_limits limits)
    : name_(std::move(name)), limits_(limits), ramp_(limits.warm_up) {}

auto upstream_broker::configure(const upstream_limits& limits) -> void {
    auto previous_state = ramp_.state();
    auto previous_warmth = ramp_.current();
    auto same_ramp = limits.warm_up.cold_rate_per_s == limits_.warm_up.cold_rate_per_s &&
                     limits.warm_up.warm_rate_per_s == limits_.warm_up.warm_rate_per_s &&
                     limits.warm_up.requests == limits_.warm_up.requests;
    limits_ = limits;
    if (same_ramp) {
        return;
    }
    ramp_ = warm_up_ramp{limits.warm_up};
    if (previous_state && previous_warmth != warmth::unknown) {
        ramp_.inherit(*previous_state);
    }
}

auto upstream_broker::make_answer(const sub_request& request, result_code code) -> answer_action {
    sub_answer answer;
    answer.key = request.key;
    answer.code = code;
    answer.snapshot = request.snapshot;
    answer.shard = request.shard;
    answer.strikes = request.strikes;
    answer.earlier_send_may_have_run = request.earlier_send_may_have_run;
    answer.load = load();
    return {std::move(answer)};
}

auto upstream_broker::refusal_for(const sub_request& request, time_point now) const
    -> std::optional<result_code> {
    if (!authority_.owned) {
        return result_code::not_owner;
    }
    if (leaving_listed_ || leaving_reported_) {
        return result_code::upstream_leaving;
    }
    if (request.strikes >= STRIKES_TO_QUARANTINE) {
        return result_code::suspect_request;
    }
    if (now < unreachable_until_) {
        return result_code::upstream_unreachable;
    }
    if (ramp_.current() != warmth::warm && now >= authority_.confirmed_until) {
        return result_code::no_authority;
    }
    if (request.deadline <= now) {
        return result_code::queue_expired;
    }
    if (queued() >= limits_.queue_limit) {
        return result_code::queue_full;
    }
    if (!request.patient && expected_cold_wait(now) > COLD_WAIT_LIMIT) {
        return result_code::upstream_cold;
    }
    return std::nullopt;
}

auto upstream_broker::submit(sub_request request, time_point now, std::uint32_t known_strikes)
    -> broker_actions {
    broker_actions out;
    auto unconfirmed = unconfirmed_strikes_.find(request.print);
    auto known = std::max(known_strikes, unconfirmed == unconfirmed_strikes_.end() ? 0 : unconfirmed->second);
    if (known > request.strikes) {
        request.strikes = known;
        out.push_back(make_answer(request, result_code::suspect_request));
        return out;
    }
    if (auto code = refusal_for(request, now)) {
        out.push_back(make_answer(request, *code));
        return out;
    }
    enqueue(std::move(request));
    dispatch(now, out);
    return out;
}

auto upstream_broker::cancel(const sub_key& key, time_point now) -> broker_actions {
    broker_actions out;
    for (auto* queue : {&ordinary_, &priority_}) {
        auto found = std::ranges::find_if(*queue, [&](const auto& item) { return item.first.key == key; });
        if (found != queue->end()) {
            queued_deadlines_.erase({found->second.deadline, key});
            queue->erase(found);
            return out;
        }
    }
    auto running = running_.find(key);
    if (running != running_.end() && !running->second.abandoned) {
        running->second.abandoned = true;
        running->second.requeue = false;
        out.push_back(abort_action{key, false});
    }
    dispatch(now, out);
    return out;
}

auto upstream_broker::cancel_link(link_id link, time_point now) -> broker_actions {
    std::vector<sub_key> keys;
    for (const auto* queue : {&ordinary_, &priority_}) {
        for (const auto& [rank, request] : *queue) {
            if (rank.key.link == link) {
                keys.push_back(rank.key);
            }
        }
    }
    for (const auto& [key, running] : running_) {
        if (key.link == link && running.request.idempotent) {
            keys.push_back(key);
        }
    }
    broker_actions out;
    for (const auto& key : keys) {
        append(out, cancel(key, now));
    }
    return out;
}

auto upstream_broker::completed(const sub_key& key, const send_outcome& outcome, time_point now)
    -> broker_actions {
    broker_actions out;
    auto found = running_.find(key);
    if (found == running_.end()) {
        return out;
    }
    auto ended = std::move(found->second);
    running_.erase(found);
    if (is_transport_failure(outcome.code)) {
        connection_lost(ended, now, out);
    } else if (outcome.code == result_code::upstream_unreachable) {
        ramp_.connection_failed();
        resolve_strikes(true, out);
        unreachable_until_ = now + UNREACHABLE_PAUSE;
        refuse_queued(result_code::upstream_unreachable, out);
    } else {
        record_answer(ended, outcome, now, out);
    }
    if (ended.requeue && outcome.code != result_code::ok && ended.request.deadline > now) {
        ended.request.earlier_send_may_have_run =
            ended.request.earlier_send_may_have_run || may_have_run(outcome.code);
        if (auto code = refusal_for(ended.request, now)) {
            out.push_back(make_answer(ended.request, *code));
        } else {
            enqueue(std::move(ended.request));
        }
    } else if (!ended.abandoned) {
        auto answer = make_answer(ended.request, outcome.code);
        answer.answer.snapshot = outcome.code == result_code::ok ? outcome.snapshot : ended.request.snapshot;
        answer.answer.shard = outcome.code == result_code::ok ? outcome.shard : ended.request.shard;
        answer.answer.hits = outcome.hits;
        answer.answer.service_time = now - ended.sent;
        auto strikes = unconfirmed_strikes_.find(ended.request.print);
        if (strikes != unconfirmed_strikes_.end()) {
            answer.answer.strikes = strikes->second;
        }
        out.push_back(std::move(answer));
    }
    dispatch(now, out);
    return out;
}

auto upstream_broker::record_answer(const running_request& ended, const send_outcome& outcome, time_point now,
                                    broker_actions& out) -> void {
    if (outcome.start != start_id{}) {
        ramp_.answered(outcome.start);
        observe_start(outcome.start, ended.sent, out);
        if (leaving_start_id_ && *leaving_start_id_ != outcome.start) {
            leaving_reported_ = false;
            leaving_start_id_.reset();
        }
    }
    if (!outcome.holdings.empty()) {
        holdings_ = outcome.holdings;
    }
    last_answer_ = now;
    if (outcome.code == result_code::ok) {
        auto running_time = now - ended.sent;
        service_time_ =
            service_time_ == duration{0}
                ? running_time
                : (service_time_ * (SERVICE_TIME_WEIGHT - 1) + running_time) / SERVICE_TIME_WEIGHT;
        back_off_ = duration{0};
        if (ended.request.strikes > 0) {
            out.push_back(strike_action{ended.request.print, strike_change::cleared, 0});
        }
    } else if (outcome.code == result_code::upstream_shedding) {
        ramp_.request_shed(now);
        back_off(now);
    } else if (outcome.code == result_code::upstream_leaving) {
        leaving_reported_ = true;
        leaving_start_id_ = outcome.start;
        refuse_queued(result_code::upstream_leaving, out);
    }
}

auto upstream_broker::back_off(time_point now) -> void {
    back_off_ = back_off_ == duration{0} ? FIRST_BACK_OFF : std::min(back_off_ * 2, LONGEST_BACK_OFF);
    back_off_until_ = now + back_off_;
}

auto upstream_broker::polled(const std::optional<upstream_status>& status, time_point now) -> broker_actions {
    broker_actions out;
    if (!status) {
        return out;
    }
    holdings_ = status->holdings;
    if (unconfirmed_strikes_.empty()) {
        last_start_ = status->start;
    }
    auto ramp_state = ramp_.state();
    if (ramp_state && ramp_state->start != status->start && running_.empty()) {
        ramp_.connection_failed();
    }
    if (leaving_reported_ && !status->leaving && leaving_start_id_ && *leaving_start_id_ != status->start) {
        leaving_reported_ = false;
        leaving_start_id_.reset();
    }
    if (status->leaving && !leaving_reported_) {
        leaving_reported_ = true;
        leaving_start_id_ = status->start;
        refuse_queued(result_code::upstream_leaving, out);
    }
    dispatch(now, out);
    send_strike_probe(now, out);
    return out;
}

auto upstream_broker::set_leaving(bool leaving, time_point now) -> broker_actions {
    broker_actions out;
    leaving_listed_ = leaving;
    if (leaving) {
        refuse_queued(result_code::upstream_leaving, out);
    }
    dispatch(now, out);
    return out;
}

auto upstream_broker::set_authority(send_authority authority, time_point now) -> broker_actions {
    broker_actions out;
    authority_ = authority;
    if (!authority.owned) {
        refuse_queued(result_code::not_owner, out);
    }
    dispatch(now, out);
    return out;
}

auto upstream_broker::advance(time_point now) -> broker_actions {
    broker_actions out;
    expire(now, out);
    check_running(now, out);
    dispatch(now, out);
    return out;
}

auto upstream_broker::next_wakeup(time_point now) const -> std::optional<time_point> {
    std::optional<time_point> next;
    auto consider = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    if (!queued_deadlines_.empty()) {
        consider(queued_deadlines_.begin()->first);
        if (now < back_off_until_) {
            consider(back_off_until_);
        }
        if (now < unreachable_until_) {
            consider(unreachable_until_);
        }
        if (auto next_send = ramp_.next_send_time(now)) {
            consider(*next_send);
        }
    }
    for (const auto& [key, running] : running_) {
        consider(next_check(running));
    }
    return next;
}

auto upstream_broker::inherit(const warm_up_state& state) -> void {
    if (!ramp_.state()) {
        ramp_.inherit(state);
        last_start_ = state.start;
    }
}

auto upstream_broker::load() const -> upstream_load {
    upstream_load load;
    load.upstream = name_;
    load.queued = static_cast<std::uint32_t>(queued());
    load.queued_priority = static_cast<std::uint32_t>(priority_.size());
    load.running = static_cast<std::uint32_t>(running_.size());
    load.slots = ramp_.concurrency(limits_.slots);
    load.service_time = service_time_;
    load.admitting = authority_.owned && !leaving_listed_ && !leaving_reported_ && back_off_ == duration{0};
    load.warm = ramp_.current() == warmth::warm;
    load.rate_per_s = load.warm ? 0 : ramp_.rate_per_s();
    load.holdings = holdings_;
    return load;
}

}  // namespace eelgrassledge
