#include "eelgrassledge/broker/upstream_broker.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Weight of the newest answer in the smoothed running time.
constexpr int SERVICE_TIME_WEIGHT = 10;
/// A running sub-request is overdue after this many times the smoothed running time...
constexpr int SILENT_FACTOR = 12;
/// ...but never sooner than this.
constexpr duration SILENT_FLOOR = milliseconds{100};
/// Without any answer to compare with, a sub-request is overdue after this many times the above.
constexpr int SILENT_WITHOUT_COMPARISON = 3;
/// Least time between two connections opened in place of silent ones.
constexpr duration FRESH_CONNECTION_INTERVAL = milliseconds{100};
constexpr duration FIRST_BACK_OFF = milliseconds{50};
constexpr duration LONGEST_BACK_OFF = milliseconds{2000};
/// How long an upstream that refused a connection is left alone.
constexpr duration UNREACHABLE_PAUSE = milliseconds{250};
/// How long a sub-request whose deadline has passed may keep its connection.
constexpr duration LATE_ANSWER_GRACE = milliseconds{500};
/// Work that could go to another replica waits no longer than this for an upstream that warms up.
constexpr duration COLD_WAIT_LIMIT = milliseconds{30};
/// Canary requests are queued as if they had started this much earlier: all of their query waits for them.
constexpr duration CANARY_HEAD_START = seconds{60};
/// Link of requests that the broker sends for itself.
const link_id PROBE_LINK{~std::uint64_t{0}};
constexpr duration PROBE_TIMEOUT = milliseconds{1000};
/// Number of strikes at which a fingerprint is not run again.
constexpr std::uint32_t STRIKES_TO_QUARANTINE = 2;

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
    auto known = ramp_.state();
    auto was = ramp_.current();
    auto same_ramp = limits.warm_up.cold_rate_per_s == limits_.warm_up.cold_rate_per_s &&
                     limits.warm_up.warm_rate_per_s == limits_.warm_up.warm_rate_per_s &&
                     limits.warm_up.requests == limits_.warm_up.requests;
    limits_ = limits;
    if (same_ramp) {
        return;
    }
    ramp_ = warm_up_ramp{limits.warm_up};
    if (known && was != warmth::unknown) {
        ramp_.inherit(*known);
    }
}

auto upstream_broker::refuse(const sub_request& request, result_code code) -> answer_action {
    sub_answer answer;
    answer.key = request.key;
    answer.code = code;
    answer.snapshot = request.snapshot;
    answer.shard = request.shard;
    answer.strikes = request.strikes;
    answer.load = load();
    return {std::move(answer)};
}

auto upstream_broker::refusal_for(const sub_request& request, time_point now) const
    -> std::optional<result_code> {
    if (!authority_.owned) {
        return result_code::not_owner;
    }
    if (leaving_listed_ || leaving_told_) {
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
    if (!request.patient && cold_wait(now) > COLD_WAIT_LIMIT) {
        return result_code::upstream_cold;
    }
    return std::nullopt;
}

auto upstream_broker::cold_wait(time_point now) const -> duration {
    if (ramp_.current() == warmth::warm) {
        return duration{0};
    }
    auto spacing = 1e6 / ramp_.rate_per_s();
    auto behind_others = duration{static_cast<duration::rep>(spacing * static_cast<double>(queued()))};
    auto until_next = ramp_.next_send_time(now).value_or(now) - now;
    return behind_others + until_next;
}

auto upstream_broker::enqueue(sub_request request) -> void {
    queued_deadlines_.insert({request.deadline, request.key});
    auto& target = request.priority == lane::priority ? priority_ : ordinary_;
    auto start = request.canary ? request.start - CANARY_HEAD_START : request.start;
    target.emplace(queue_rank{start, request.query, request.key}, std::move(request));
}

auto upstream_broker::submit(sub_request request, time_point now, std::uint32_t known_strikes)
    -> broker_actions {
    broker_actions out;
    auto here = strikes_here_.find(request.print);
    auto known = std::max(known_strikes, here == strikes_here_.end() ? 0 : here->second);
    if (known > request.strikes) {
        request.strikes = known;
        out.push_back(refuse(request, result_code::suspect_request));
        return out;
    }
    if (auto code = refusal_for(request, now)) {
        out.push_back(refuse(request, *code));
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
        settle_strikes(true, out);
        unreachable_until_ = now + UNREACHABLE_PAUSE;
        flush(result_code::upstream_unreachable, out);
    } else {
        answered_by_upstream(ended, outcome, now, out);
    }
    if (ended.requeue && outcome.code != result_code::ok && ended.request.deadline > now) {
        if (auto code = refusal_for(ended.request, now)) {
            out.push_back(refuse(ended.request, *code));
        } else {
            enqueue(std::move(ended.request));
        }
    } else if (!ended.abandoned) {
        auto answer = refuse(ended.request, outcome.code);
        answer.answer.snapshot = outcome.code == result_code::ok ? outcome.snapshot : ended.request.snapshot;
        answer.answer.shard = outcome.code == result_code::ok ? outcome.shard : ended.request.shard;
        answer.answer.hits = outcome.hits;
        answer.answer.service_time = now - ended.sent;
        auto strikes = strikes_here_.find(ended.request.print);
        if (strikes != strikes_here_.end()) {
            answer.answer.strikes = strikes->second;
        }
        out.push_back(std::move(answer));
    }
    dispatch(now, out);
    return out;
}

auto upstream_broker::answered_by_upstream(const running_request& ended, const send_outcome& outcome,
                                           time_point now, broker_actions& out) -> void {
    if (outcome.start != start_id{}) {
        ramp_.answered(outcome.start);
        note_start(outcome.start, ended.sent, out);
        if (leaving_start_ && *leaving_start_ != outcome.start) {
            leaving_told_ = false;
            leaving_start_.reset();
        }
    }
    if (!outcome.holdings.empty()) {
        holdings_ = outcome.holdings;
    }
    last_answer_ = now;
    if (outcome.code == result_code::ok) {
        auto took = now - ended.sent;
        service_time_ = service_time_ == duration{0}
                            ? took
                            : (service_time_ * (SERVICE_TIME_WEIGHT - 1) + took) / SERVICE_TIME_WEIGHT;
        back_off_ = duration{0};
        if (ended.request.strikes > 0) {
            out.push_back(strike_action{ended.request.print, strike_change::cleared, 0});
        }
    } else if (outcome.code == result_code::upstream_shedding) {
        ramp_.strained(now);
        back_off(now);
    } else if (outcome.code == result_code::upstream_leaving) {
        leaving_told_ = true;
        leaving_start_ = outcome.start;
        flush(result_code::upstream_leaving, out);
    }
}

auto upstream_broker::back_off(time_point now) -> void {
    back_off_ = back_off_ == duration{0} ? FIRST_BACK_OFF : std::min(back_off_ * 2, LONGEST_BACK_OFF);
    back_off_until_ = now + back_off_;
}

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

auto upstream_broker::polled(const std::optional<upstream_status>& status, time_point now) -> broker_actions {
    broker_actions out;
    if (!status) {
        return out;
    }
    holdings_ = status->holdings;
    if (strikes_here_.empty()) {
        start_seen_ = status->start;
    }
    auto known = ramp_.state();
    if (known && known->start != status->start && running_.empty()) {
        ramp_.connection_failed();
    }
    if (leaving_told_ && !status->leaving && leaving_start_ && *leaving_start_ != status->start) {
        leaving_told_ = false;
        leaving_start_.reset();
    }
    if (status->leaving && !leaving_told_) {
        leaving_told_ = true;
        leaving_start_ = status->start;
        flush(result_code::upstream_leaving, out);
    }
    dispatch(now, out);
    probe_for_strikes(now, out);
    return out;
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

auto upstream_broker::set_leaving(bool leaving, time_point now) -> broker_actions {
    broker_actions out;
    leaving_listed_ = leaving;
    if (leaving) {
        flush(result_code::upstream_leaving, out);
    }
    dispatch(now, out);
    return out;
}

auto upstream_broker::set_authority(send_authority authority, time_point now) -> broker_actions {
    broker_actions out;
    authority_ = authority;
    if (!authority.owned) {
        flush(result_code::not_owner, out);
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

auto upstream_broker::expire(time_point now, broker_actions& out) -> void {
    while (!queued_deadlines_.empty() && queued_deadlines_.begin()->first <= now) {
        auto key = queued_deadlines_.begin()->second;
        queued_deadlines_.erase(queued_deadlines_.begin());
        for (auto* queue : {&ordinary_, &priority_}) {
            auto found =
                std::ranges::find_if(*queue, [&](const auto& item) { return item.first.key == key; });
            if (found != queue->end()) {
                out.push_back(refuse(found->second, result_code::queue_expired));
                queue->erase(found);
                break;
            }
        }
    }
}

auto upstream_broker::is_silent(const running_request& r, time_point now) const -> bool {
    auto overdue = std::max(SILENT_FLOOR, service_time_ * SILENT_FACTOR);
    if (now - r.sent >= overdue * SILENT_WITHOUT_COMPARISON) {
        return true;
    }
    return now - r.sent >= overdue && last_answer_ > r.sent;
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
        if (is_silent(running, now) || running.request.deadline + LATE_ANSWER_GRACE <= now) {
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

auto upstream_broker::flush(result_code code, broker_actions& out) -> void {
    for (auto* queue : {&priority_, &ordinary_}) {
        for (const auto& [rank, request] : *queue) {
            out.push_back(refuse(request, code));
        }
        queue->clear();
    }
    queued_deadlines_.clear();
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

auto upstream_broker::may_send_now(time_point now) const -> bool {
    if (!authority_.owned || now < back_off_until_ || now < unreachable_until_) {
        return false;
    }
    if (ramp_.current() != warmth::warm && now >= authority_.confirmed_until) {
        return false;
    }
    return ramp_.may_send(now, static_cast<std::uint32_t>(running_.size()), limits_.slots);
}

auto upstream_broker::must_wait_alone(const sub_request& request) const -> bool {
    if (request.strikes > 0) {
        return !running_.empty();
    }
    return request.canary && std::ranges::any_of(running_, [&](const auto& item) {
               return item.second.request.canary && item.second.request.print == request.print;
           });
}

auto upstream_broker::pop_sendable(request_queue& from) -> std::optional<sub_request> {
    for (auto item = from.begin(); item != from.end(); ++item) {
        auto& request = item->second;
        if (must_wait_alone(request)) {
            if (request.strikes > 0) {
                return std::nullopt;
            }
            continue;
        }
        auto chosen = std::move(request);
        queued_deadlines_.erase({chosen.deadline, chosen.key});
        from.erase(item);
        return chosen;
    }
    return std::nullopt;
}

auto upstream_broker::next_to_send(time_point now) -> std::optional<sub_request> {
    auto suspect_runs =
        std::ranges::any_of(running_, [](const auto& item) { return item.second.request.strikes > 0; });
    if (suspect_runs || !may_send_now(now)) {
        return std::nullopt;
    }
    if (auto urgent = pop_sendable(priority_)) {
        return urgent;
    }
    auto available = ramp_.concurrency(limits_.slots);
    if (limits_.policy == lane_policy::reserved_slot && available > limits_.priority_slots) {
        available -= limits_.priority_slots;
    }
    if (running_.size() >= available) {
        return std::nullopt;
    }
    return pop_sendable(ordinary_);
}

auto upstream_broker::send_deadline(const sub_request& request) const -> time_point {
    if (ramp_.current() == warmth::warm) {
        return request.deadline;
    }
    return std::min(request.deadline, authority_.confirmed_until);
}

auto upstream_broker::send(sub_request request, time_point now, broker_actions& out) -> void {
    auto fresh = !request.idempotent;
    if (fresh_next_ && now >= next_fresh_connection_) {
        fresh = true;
        fresh_next_ = false;
        next_fresh_connection_ = now + FRESH_CONNECTION_INTERVAL;
    }
    ramp_.sent(now);
    out.push_back(send_action{request, send_deadline(request), fresh});
    auto key = request.key;
    running_.emplace(key, running_request{std::move(request), now, false, false, false});
}

auto upstream_broker::dispatch(time_point now, broker_actions& out) -> void {
    while (auto request = next_to_send(now)) {
        if (request->deadline <= now) {
            out.push_back(refuse(*request, result_code::queue_expired));
            continue;
        }
        send(std::move(*request), now, out);
    }
    preempt_for_priority(now, out);
}

auto upstream_broker::preempt_for_priority(time_point now, broker_actions& out) -> void {
    if (limits_.policy != lane_policy::preempt || priority_.empty() || now < back_off_until_) {
        return;
    }
    auto freeing = std::ranges::count_if(running_, [](const auto& item) { return item.second.requeue; });
    auto wanted = static_cast<std::int64_t>(std::min<std::size_t>(priority_.size(), limits_.priority_slots));
    for (; freeing < wanted && running_.size() >= ramp_.concurrency(limits_.slots); ++freeing) {
        running_request* victim = nullptr;
        for (auto& [key, running] : running_) {
            auto eligible = running.request.priority == lane::ordinary && running.request.idempotent &&
                            !running.request.canary && !running.abandoned && !running.requeue &&
                            running.request.strikes == 0;
            if (eligible && (victim == nullptr || running.sent > victim->sent)) {
                victim = &running;
            }
        }
        if (victim == nullptr) {
            return;
        }
        victim->requeue = true;
        out.push_back(abort_action{victim->request.key, false});
    }
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
        if (auto paced = ramp_.next_send_time(now)) {
            consider(*paced);
        }
    }
    auto overdue = std::max(SILENT_FLOOR, service_time_ * SILENT_FACTOR);
    for (const auto& [key, running] : running_) {
        if (running.request.slow_after > duration{0} && !running.slow_told) {
            consider(running.sent + running.request.slow_after);
        }
        if (!running.abandoned) {
            consider(running.request.deadline);
        }
        auto compared = last_answer_ > running.sent;
        consider(running.sent + (compared ? overdue : overdue * SILENT_WITHOUT_COMPARISON));
        consider(running.request.deadline + LATE_ANSWER_GRACE);
    }
    return next;
}

auto upstream_broker::inherit(const warm_up_state& state) -> void {
    if (!ramp_.state()) {
        ramp_.inherit(state);
        start_seen_ = state.start;
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
    load.admitting = authority_.owned && !leaving_listed_ && !leaving_told_ && back_off_ == duration{0};
    load.warm = ramp_.current() == warmth::warm;
    load.rate_per_s = load.warm ? 0 : ramp_.rate_per_s();
    load.holdings = holdings_;
    return load;
}

}  // namespace eelgrassledge
