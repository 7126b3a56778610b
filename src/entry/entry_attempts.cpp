// Sub-requests of an entry's queries: choice of replica, handling of answers, retries and hedges.

#include <algorithm>

#include "eelgrassledge/entry/entry_service.hpp"
#include "entry_limits.hpp"

namespace eelgrassledge {

namespace {

/// Base of the exponential backoff before a shard without a usable replica is tried again.
constexpr duration INITIAL_RETRY_BACKOFF = milliseconds{5};
/// Tries for one shard when the caller prefers coverage to time.
constexpr std::uint32_t MAX_TRIES_PREFER_COVERAGE = 8;
/// How long an upstream is avoided after a failure, while its shard has other replicas.
constexpr duration AVOID_AFTER_FAILURE = milliseconds{300};
/// How long an upstream is avoided after it refused work because it is warming up.
constexpr duration AVOID_WHILE_COLD = milliseconds{20};
/// How long the upstreams of a broker are avoided after its connection was lost or it was unresponsive.
constexpr duration AVOID_AFTER_BROKER_FAILURE = milliseconds{2000};
/// Maximum number of restarts of a query on a newer snapshot.
constexpr std::uint32_t MAX_RESTARTS = 2;
/// A broker is treated as unresponsive after this multiple of the expected finish, plus `slow_after`...
constexpr int UNRESPONSIVE_BROKER_FACTOR = 4;
/// ...but not before this time.
constexpr duration MIN_UNRESPONSIVE_BROKER_DELAY = milliseconds{60};
/// With `skip_hedge_to_busy_replica`, the largest expected finish of a hedge as a multiple of the mean
/// running time.
constexpr int HEDGE_FINISH_FACTOR = 4;
/// Minimum number of samples for the use of quantiles of running times.
constexpr std::size_t MIN_SAMPLES = 50;
/// Running time after which a hedge is sent while there are too few samples.
constexpr duration DEFAULT_SLOW_AFTER = milliseconds{40};

/// Whether a code means that the upstream cannot serve the sub-request at all, as opposed to being busy.
/// Retries after such a failure are not charged to the budget.
auto indicates_unavailability(result_code code) -> bool {
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
        auto candidates = canary_replicas(q, shard, now);
        return candidates.empty() ? std::nullopt : std::optional{candidates.front()};
    }
    auto candidates = view_.replicas(q.snapshot.snapshot, shard, q.request.priority, now);
    const auto& state = q.shards[shard.value()];
    auto untried = [&](const auto& candidate) {
        return std::ranges::find(state.tried, candidate) == state.tried.end();
    };
    auto found = std::ranges::find_if(candidates, untried);
    if (found != candidates.end()) {
        return *found;
    }
    auto may_repeat = !extra && !candidates.empty() && state.open.empty();
    return may_repeat ? std::optional{candidates.front()} : std::nullopt;
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
    sub.key.id = sub_request_id{next_id_()};
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
        state.unresponsive_at = now + std::max(MIN_UNRESPONSIVE_BROKER_DELAY,
                                               finish * UNRESPONSIVE_BROKER_FACTOR + sub.slow_after);
        schedule_wakeup(q, *state.unresponsive_at);
    }
    in_flight_[sub.key.id] = {q.id, shard};
    view_.record_sent(upstream);
    if (!extra) {
        budget_.record_sub_request();
    }
    out.push_back(dispatch_action{broker, std::move(sub)});
}

auto entry_service::on_answer(const sub_answer& answer, time_point now) -> entry_actions {
    entry_actions out;
    view_.record_load(answer.load, now);
    if (answer.code == result_code::ok) {
        view_.record_success(answer.load.upstream);
        view_.service_times().add(answer.service_time);
    }
    auto in_flight_found = in_flight_.find(answer.key.id);
    if (in_flight_found == in_flight_.end()) {
        return out;
    }
    auto [id, shard] = in_flight_found->second;
    in_flight_.erase(in_flight_found);
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
        handle_failure(q, shard, upstream, mismatched, now, out);
    } else {
        handle_failure(q, shard, upstream, answer, now, out);
    }
    finish_if_settled(id, now, out);
    return out;
}

auto entry_service::accept(query& q, shard_index shard, const sub_answer& answer, time_point now,
                           entry_actions& out) -> void {
    auto& state = q.shards[shard.value()];
    state.answered = true;
    state.retry_at.reset();
    state.unresponsive_at.reset();
    ++q.settled;
    ++q.answered;
    q.any_may_have_run = true;
    for (const auto& other : state.open) {
        in_flight_.erase(other.id);
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

auto entry_service::handle_failure(query& q, shard_index shard, const upstream_id& upstream,
                                   const sub_answer& answer, time_point now, entry_actions& out) -> void {
    auto& state = q.shards[shard.value()];
    auto ran = may_have_run(answer);
    state.may_have_run = state.may_have_run || ran;
    q.any_may_have_run = q.any_may_have_run || ran;
    state.last_code = answer.code;
    if (answer.code == result_code::upstream_cold) {
        view_.avoid(upstream, now + AVOID_WHILE_COLD);
    } else if (answer.code != result_code::queue_expired && answer.code != result_code::suspect_request) {
        view_.avoid(upstream, now + AVOID_AFTER_FAILURE);
    }
    if (state.answered || state.abandoned) {
        return;
    }
    auto has_new_strikes = answer.code == result_code::suspect_request && answer.strikes > q.request.strikes;
    if (answer.strikes > 0 && handle_strikes(q, shard, answer, now, out)) {
        return;
    }
    if (has_new_strikes && state.open.empty() && state.tries < MAX_TRIES_PREFER_TIME) {
        send_attempt(q, shard, upstream, true, now, out);
        return;
    }
    if (!state.open.empty()) {
        return;
    }
    if (ran && !q.request.idempotent) {
        abandon(q, shard);
        return;
    }
    retry_or_abandon(q, shard, answer.code, now, out);
}

auto entry_service::retry_or_abandon(query& q, shard_index shard, result_code code, time_point now,
                                     entry_actions& out) -> void {
    auto& state = q.shards[shard.value()];
    auto limit = q.request.prefer == preference::coverage ? MAX_TRIES_PREFER_COVERAGE : MAX_TRIES_PREFER_TIME;
    auto out_of_time = now + INITIAL_RETRY_BACKOFF >= sub_deadline(q);
    if (state.tries >= limit || out_of_time || code == result_code::queue_expired) {
        abandon(q, shard);
        return;
    }
    auto replicas = view_.replicas(q.snapshot.snapshot, shard, q.request.priority, now);
    auto no_replica_holds_snapshot = code == result_code::wrong_snapshot && replicas.empty();
    if (no_replica_holds_snapshot && restart(q, now, out)) {
        return;
    }
    auto is_first_try = state.tries == 0;
    if (!is_first_try && !indicates_unavailability(code) && !budget_.take()) {
        out.push_back(note_action{note_reason::retry_over_budget, code, q.request.request, {}});
        abandon(q, shard);
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
    state.retry_at = now + INITIAL_RETRY_BACKOFF * (1U << std::min(state.tries, 6U));
    schedule_wakeup(q, *state.retry_at);
}

auto entry_service::abandon(query& q, shard_index shard) -> void {
    auto& state = q.shards[shard.value()];
    if (state.abandoned || state.answered) {
        return;
    }
    state.abandoned = true;
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
    start_shards(q, now, out);
    return true;
}

auto entry_service::on_slow(sub_request_id id, time_point now) -> entry_actions {
    entry_actions out;
    auto found = in_flight_.find(id);
    if (found != in_flight_.end()) {
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
    view_.avoid_broker(broker, now + AVOID_AFTER_BROKER_FAILURE);
    std::vector<sub_answer> failures;
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
                failures.push_back(std::move(answer));
            }
        }
    }
    entry_actions out;
    for (const auto& answer : failures) {
        std::ranges::move(on_answer(answer, now), std::back_inserter(out));
    }
    return out;
}

auto entry_service::process_due_shards(query& q, time_point now, entry_actions& out) -> void {
    for (std::uint32_t i = 0; i < q.shards.size(); ++i) {
        auto shard = shard_index{i};
        if (q.shards[i].retry_at && *q.shards[i].retry_at <= now) {
            q.shards[i].retry_at.reset();
            q.shards[i].tried.clear();
            if (!send_shard(q, shard, false, now, out)) {
                retry_or_abandon(q, shard, result_code::upstream_unreachable, now, out);
            }
        }
        if (q.shards[i].unresponsive_at && *q.shards[i].unresponsive_at <= now) {
            q.shards[i].unresponsive_at.reset();
            for (const auto& open : q.shards[i].open) {
                view_.avoid_unresponsive(open.upstream, now + AVOID_AFTER_BROKER_FAILURE);
            }
            hedge(q, shard, now, out);
        }
        for (auto at : {q.shards[i].retry_at, q.shards[i].unresponsive_at}) {
            if (at) {
                schedule_wakeup(q, *at);
            }
        }
    }
}

}  // namespace eelgrassledge
