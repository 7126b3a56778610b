// Sub-requests of an entry's queries: choice of a replica, answers, retries and hedges.

#include <algorithm>

#include "eelgrassledge/entry/entry_service.hpp"
#include "entry_limits.hpp"

namespace eelgrassledge {

namespace {

/// First pause before a shard without a usable replica is tried again; doubles with each try.
constexpr duration FIRST_RETRY_PAUSE = milliseconds{5};
/// Tries for one shard by callers that prefer coverage.
constexpr std::uint32_t TRIES_FOR_COVERAGE = 8;
/// How long an upstream that failed is avoided while it has other replicas.
constexpr duration AVOID_AFTER_FAILURE = milliseconds{300};
/// How long an upstream that had too much to warm up with is avoided.
constexpr duration AVOID_WHILE_COLD = milliseconds{20};
/// How long the upstreams of a broker that is lost or silent are avoided.
constexpr duration AVOID_BROKER = milliseconds{2000};
/// Times a query may start over on a newer snapshot.
constexpr std::uint32_t MAX_RESTARTS = 2;
/// A broker is taken for silent after this many times the expected finish...
constexpr int SILENT_BROKER_FACTOR = 4;
/// ...and never before this.
constexpr duration SILENT_BROKER_FLOOR = milliseconds{60};
/// A hedge goes only to a replica expected to finish within this many running times.
constexpr int HEDGE_FINISH_FACTOR = 4;
/// Samples needed before a quantile of running times is used.
constexpr std::size_t MIN_SAMPLES = 50;
/// Delay for hedges until there are enough samples.
constexpr duration DEFAULT_SLOW_AFTER = milliseconds{40};

/// Whether the failure says that the upstream or its broker is gone, rather than busy.
auto lost_with_its_work(result_code code) -> bool {
    switch (code) {
        case result_code::upstream_failed:
        case result_code::broker_lost:
        case result_code::upstream_unreachable:
        case result_code::not_owner:
        case result_code::no_authority:
        case result_code::upstream_leaving:
        case result_code::wrong_snapshot:
        case result_code::upstream_cold:
            return true;
        default:
            return false;
    }
}

}  // namespace

auto entry_service::choose_replica(const query& q, shard_index shard, bool extra, time_point now) const
    -> std::optional<upstream_id> {
    if (q.canary == shard) {
        auto names = canary_replicas(q, shard, now);
        return names.empty() ? std::nullopt : std::optional{names.front()};
    }
    auto names = view_.replicas(q.snapshot.snapshot, shard, q.request.priority, now);
    const auto& state = q.shards[shard.value()];
    auto untried = [&](const auto& name) {
        return std::ranges::find(state.tried, name) == state.tried.end();
    };
    auto found = std::ranges::find_if(names, untried);
    if (found != names.end()) {
        return *found;
    }
    auto may_repeat = !extra && !names.empty() && state.open.empty();
    return may_repeat ? std::optional{names.front()} : std::nullopt;
}

auto entry_service::slow_after() const -> duration {
    switch (policy_.hedging) {
        case hedge_policy::none:
            return duration{0};
        case hedge_policy::fixed_delay:
            return policy_.fixed_hedge_delay;
        case hedge_policy::quantile:
        case hedge_policy::median_factor:
            break;
    }
    const auto& times = view_.service_times();
    if (times.samples() < MIN_SAMPLES) {
        return DEFAULT_SLOW_AFTER;
    }
    if (policy_.hedging == hedge_policy::quantile) {
        return times.quantile(policy_.hedge_quantile);
    }
    auto median = static_cast<double>(times.quantile(0.5).count());
    return duration{static_cast<duration::rep>(median * policy_.hedge_median_factor)};
}

auto entry_service::send_shard(query& q, shard_index shard, bool extra, time_point now, entry_actions& out)
    -> bool {
    auto upstream = choose_replica(q, shard, extra, now);
    if (!upstream) {
        return false;
    }
    send_attempt(q, shard, *upstream, extra, now, out);
    return true;
}

auto entry_service::send_attempt(query& q, shard_index shard, const upstream_id& upstream, bool extra,
                                 time_point now, entry_actions& out) -> void {
    auto& state = q.shards[shard.value()];
    sub_request sub;
    sub.key.id = sub_request_id{numbers_()};
    sub.query = q.id;
    sub.upstream = upstream;
    sub.service = spec_.name;
    sub.priority = q.request.priority;
    sub.idempotent = q.request.idempotent;
    sub.start = q.request.received;
    sub.deadline = sub_deadline(q);
    sub.print = q.request.print;
    sub.snapshot = q.snapshot.snapshot;
    sub.shard = shard;
    sub.slow_after = q.request.idempotent ? slow_after() : duration{0};
    sub.canary = q.canary == shard;
    sub.strikes = q.request.strikes;
    sub.request = q.request.request;
    sub.text = q.request.text;
    sub.limit = q.request.limit;
    sub.patient = state.patient;
    auto broker = view_.broker_of(upstream);
    auto finish = view_.expected_finish(upstream, q.request.priority, now);
    state.open.push_back({sub.key.id, upstream, broker, now, extra});
    state.tried.push_back(upstream);
    state.retry_at.reset();
    ++state.tries;
    if (q.request.idempotent && policy_.hedging != hedge_policy::none) {
        state.silent_at = now + std::max(SILENT_BROKER_FLOOR, finish * SILENT_BROKER_FACTOR + sub.slow_after);
        wake_at(q, *state.silent_at);
    }
    places_[sub.key.id] = {q.id, shard};
    view_.sent(upstream);
    if (!extra) {
        budget_.earned();
    }
    out.push_back(dispatch_action{broker, std::move(sub)});
}

auto entry_service::on_answer(const sub_answer& answer, time_point now) -> entry_actions {
    entry_actions out;
    view_.record_load(answer.load, now);
    if (answer.code == result_code::ok) {
        view_.answered_well(answer.load.upstream);
        view_.service_times().add(answer.service_time);
    }
    auto place_found = places_.find(answer.key.id);
    if (place_found == places_.end()) {
        return out;
    }
    auto [id, shard] = place_found->second;
    places_.erase(place_found);
    auto& q = queries_.at(id);
    auto& state = q.shards[shard.value()];
    auto open = std::ranges::find(state.open, answer.key.id, &attempt::id);
    auto upstream = open->upstream;
    state.open.erase(open);
    auto matches = answer.snapshot == q.snapshot.snapshot && answer.shard == shard;
    if (answer.code == result_code::ok && matches) {
        accept(q, shard, answer, now, out);
    } else if (answer.code == result_code::ok) {
        auto mismatched = answer;
        mismatched.code = result_code::wrong_shard;
        out.push_back(
            note_action{note_reason::rejected_answer, mismatched.code, q.request.request, upstream});
        reject(q, shard, upstream, mismatched, now, out);
    } else {
        reject(q, shard, upstream, answer, now, out);
    }
    finish_if_settled(id, now, out);
    return out;
}

auto entry_service::accept(query& q, shard_index shard, const sub_answer& answer, time_point now,
                           entry_actions& out) -> void {
    auto& state = q.shards[shard.value()];
    state.answered = true;
    state.retry_at.reset();
    state.silent_at.reset();
    ++q.settled;
    ++q.answered;
    q.any_may_have_run = true;
    for (const auto& other : state.open) {
        places_.erase(other.id);
        out.push_back(withdraw_action{other.broker, other.upstream, other.id});
    }
    state.open.clear();
    q.hits.insert(q.hits.end(), answer.hits.begin(), answer.hits.end());
    if (q.canary == shard) {
        q.canary.reset();
        suspects_.erase(q.request.print);
        remember_cleared(q.request.print);
        fan_out(q, now, out);
    }
}

auto entry_service::reject(query& q, shard_index shard, const upstream_id& upstream, const sub_answer& answer,
                           time_point now, entry_actions& out) -> void {
    auto& state = q.shards[shard.value()];
    auto ran = may_have_run(answer.code);
    state.may_have_run = state.may_have_run || ran;
    q.any_may_have_run = q.any_may_have_run || ran;
    state.last = answer.code;
    if (answer.code == result_code::upstream_cold) {
        view_.avoid(upstream, now + AVOID_WHILE_COLD);
    } else if (answer.code != result_code::queue_expired && answer.code != result_code::suspect_request) {
        view_.avoid(upstream, now + AVOID_AFTER_FAILURE);
    }
    if (state.answered || state.given_up) {
        return;
    }
    auto news = answer.code == result_code::suspect_request && answer.strikes > q.request.strikes;
    if (answer.strikes > 0 && fail_canary(q, shard, answer, now, out)) {
        return;
    }
    if (news && state.open.empty() && state.tries < TRIES_FOR_TIME) {
        send_attempt(q, shard, upstream, true, now, out);
        return;
    }
    if (!state.open.empty()) {
        return;
    }
    if (ran && !q.request.idempotent) {
        give_up(q, shard);
        return;
    }
    retry_or_give_up(q, shard, answer.code, now, out);
}

auto entry_service::retry_or_give_up(query& q, shard_index shard, result_code code, time_point now,
                                     entry_actions& out) -> void {
    auto& state = q.shards[shard.value()];
    auto limit = q.request.prefer == preference::coverage ? TRIES_FOR_COVERAGE : TRIES_FOR_TIME;
    auto out_of_time = now + FIRST_RETRY_PAUSE >= sub_deadline(q);
    if (state.tries >= limit || out_of_time || code == result_code::queue_expired) {
        give_up(q, shard);
        return;
    }
    auto replicas = view_.replicas(q.snapshot.snapshot, shard, q.request.priority, now);
    auto none_holds_it = code == result_code::wrong_snapshot && replicas.empty();
    if (none_holds_it && restart(q, now, out)) {
        return;
    }
    auto is_first = state.tries == 0;
    if (!is_first && !lost_with_its_work(code) && !budget_.take()) {
        out.push_back(note_action{note_reason::retry_over_budget, code, q.request.request, {}});
        give_up(q, shard);
        return;
    }
    auto untried = choose_replica(q, shard, true, now);
    if (untried) {
        out.push_back(note_action{note_reason::retry, code, q.request.request, *untried});
        send_attempt(q, shard, *untried, true, now, out);
        return;
    }
    if (code == result_code::upstream_cold && !state.patient) {
        state.patient = true;
        state.tried.clear();
        send_shard(q, shard, true, now, out);
        return;
    }
    ++state.tries;
    state.retry_at = now + FIRST_RETRY_PAUSE * (1U << std::min(state.tries, 6U));
    wake_at(q, *state.retry_at);
}

auto entry_service::give_up(query& q, shard_index shard) -> void {
    auto& state = q.shards[shard.value()];
    if (state.given_up || state.answered) {
        return;
    }
    state.given_up = true;
    state.retry_at.reset();
    ++q.settled;
}

auto entry_service::restart(query& q, time_point now, entry_actions& out) -> bool {
    auto newer = view_.newer_snapshot(q.snapshot.snapshot);
    if (!newer || q.restarts >= MAX_RESTARTS || !q.request.idempotent) {
        return false;
    }
    withdraw_all(q, out);
    out.push_back(note_action{
        note_reason::restart_on_newer_snapshot, result_code::wrong_snapshot, q.request.request, {}});
    ++q.restarts;
    q.snapshot = *newer;
    begin(q, now, out);
    return true;
}

auto entry_service::on_slow(sub_request_id id, time_point now) -> entry_actions {
    entry_actions out;
    auto found = places_.find(id);
    if (found != places_.end()) {
        hedge(queries_.at(found->second.query), found->second.shard, now, out);
    }
    return out;
}

auto entry_service::hedge(query& q, shard_index shard, time_point now, entry_actions& out) -> void {
    auto& state = q.shards[shard.value()];
    if (!q.request.idempotent || policy_.hedging == hedge_policy::none || state.open.size() != 1) {
        return;
    }
    auto replica = choose_replica(q, shard, true, now);
    if (!replica) {
        return;
    }
    auto finish = view_.expected_finish(*replica, q.request.priority, now);
    auto too_late = now + finish >= sub_deadline(q);
    auto mean = std::max(view_.service_times().mean(), milliseconds{1} + duration{0});
    auto too_busy = policy_.skip_hedge_to_busy_replica && finish > mean * HEDGE_FINISH_FACTOR;
    if (too_late || too_busy) {
        return;
    }
    if (!budget_.take()) {
        out.push_back(
            note_action{note_reason::hedge_over_budget, result_code::ok, q.request.request, *replica});
        return;
    }
    out.push_back(note_action{note_reason::hedge, result_code::ok, q.request.request, *replica});
    send_attempt(q, shard, *replica, true, now, out);
}

auto entry_service::on_broker_lost(const instance_id& broker, time_point now) -> entry_actions {
    view_.avoid_broker(broker, now + AVOID_BROKER);
    std::vector<sub_answer> lost;
    for (const auto& [id, q] : queries_) {
        for (std::uint32_t i = 0; i < q.shards.size(); ++i) {
            for (const auto& open : q.shards[i].open) {
                if (open.broker != broker) {
                    continue;
                }
                sub_answer answer;
                answer.key.id = open.id;
                answer.code = result_code::broker_lost;
                answer.shard = shard_index{i};
                lost.push_back(std::move(answer));
            }
        }
    }
    entry_actions out;
    for (const auto& answer : lost) {
        std::ranges::move(on_answer(answer, now), std::back_inserter(out));
    }
    return out;
}

auto entry_service::act_on_due_shards(query& q, time_point now, entry_actions& out) -> void {
    for (std::uint32_t i = 0; i < q.shards.size(); ++i) {
        auto shard = shard_index{i};
        if (q.shards[i].retry_at && *q.shards[i].retry_at <= now) {
            q.shards[i].retry_at.reset();
            q.shards[i].tried.clear();
            if (!send_shard(q, shard, false, now, out)) {
                retry_or_give_up(q, shard, result_code::upstream_unreachable, now, out);
            }
        }
        if (q.shards[i].silent_at && *q.shards[i].silent_at <= now) {
            q.shards[i].silent_at.reset();
            for (const auto& open : q.shards[i].open) {
                view_.avoid_silent(open.upstream, now + AVOID_BROKER);
            }
            hedge(q, shard, now, out);
        }
        for (auto at : {q.shards[i].retry_at, q.shards[i].silent_at}) {
            if (at) {
                wake_at(q, *at);
            }
        }
    }
}

}  // namespace eelgrassledge
