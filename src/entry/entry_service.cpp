#include "eelgrassledge/entry/entry_service.hpp"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <unordered_map>

namespace eelgrassledge {

namespace {

/// Time kept back from the caller's deadline to merge and return the answer.
constexpr duration ANSWER_RESERVE = milliseconds{3};
/// First pause before a shard without a usable replica is tried again; doubles with each try.
constexpr duration FIRST_RETRY_PAUSE = milliseconds{5};
/// Tries for one shard, by what the caller prefers.
constexpr std::uint32_t TRIES_FOR_TIME = 4;
constexpr std::uint32_t TRIES_FOR_COVERAGE = 8;
/// How long an upstream that failed is avoided while it has other replicas.
constexpr duration AVOID_AFTER_FAILURE = milliseconds{300};
/// How long an upstream that had too much to warm up with is avoided.
constexpr duration AVOID_WHILE_COLD = milliseconds{20};
/// How long the upstreams of a broker that is lost or silent are avoided.
constexpr duration AVOID_BROKER = milliseconds{2000};
/// Times a query may start over on a newer snapshot.
constexpr std::uint32_t MAX_RESTARTS = 2;
/// Strikes at which a fingerprint is refused.
constexpr std::uint32_t STRIKES_TO_QUARANTINE = 2;
/// Fingerprints remembered as harmless.
constexpr std::size_t CLEARED_CAPACITY = 20'000;
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
/// Least time after which a refused caller may come back.
constexpr duration MIN_RETRY_AFTER = milliseconds{20};

/// Whether the upstream can have begun the sub-request when it ended with this code.
auto may_have_run(result_code code) -> bool {
    return describe(code).state != run_state::not_run;
}

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

auto better_hit(const hit& a, const hit& b) -> bool {
    return a.score != b.score ? a.score > b.score : a.record < b.record;
}

/// Keeps each record once, with its best score, and the best `limit` records.
auto merge_hits(std::vector<hit>& merged, std::uint32_t limit) -> void {
    std::ranges::sort(merged, better_hit);
    std::unordered_set<std::string_view> seen;
    std::vector<hit> unique;
    for (auto& candidate : merged) {
        if (unique.size() >= limit) {
            break;
        }
        if (seen.insert(candidate.record).second) {
            unique.push_back(candidate);
        }
    }
    merged = std::move(unique);
}

}  // namespace

auto to_string(note_reason reason) -> std::string_view {
    switch (reason) {
        case note_reason::hedge:
            return "hedge";
        case note_reason::hedge_over_budget:
            return "hedge_over_budget";
        case note_reason::retry:
            return "retry";
        case note_reason::retry_over_budget:
            return "retry_over_budget";
        case note_reason::restart_on_newer_snapshot:
            return "restart_on_newer_snapshot";
        case note_reason::canary_retry:
            return "canary_retry";
        case note_reason::rejected_answer:
            return "rejected_answer";
    }
    return "unknown";
}

entry_service::entry_service(service_spec spec, entry_policy policy, number_source numbers)
    : spec_(std::move(spec)),
      policy_(policy),
      numbers_(std::move(numbers)),
      budget_(spec_.hedge_percent / 100.0) {}

auto entry_service::configure(const service_spec& spec) -> void {
    spec_ = spec;
    budget_.configure(spec.hedge_percent / 100.0);
}

auto entry_service::refuse(const search_request& request, result_code code,
                           std::optional<duration> retry_after) -> submitted {
    search_answer answer;
    answer.request = request.request;
    answer.code = code;
    answer.state = describe(code).state;
    answer.retry_after = retry_after;
    answer.served_in = request.priority;
    auto id = query_id{numbers_()};
    return {id, {reply_action{id, std::move(answer)}}};
}

auto entry_service::admission_shortfall(const search_request& request, const snapshot_choice& snapshot,
                                        time_point now) const -> std::optional<duration> {
    if (policy_.admission == admission_policy::none) {
        return std::nullopt;
    }
    auto allowed = duration{static_cast<duration::rep>(static_cast<double>((request.deadline - now).count()) *
                                                       admission_.margin())};
    duration longest{0};
    for (std::uint32_t i = 0; i < snapshot.shard_count; ++i) {
        auto wait = view_.least_wait(snapshot.snapshot, shard_index{i}, request.priority, now);
        longest = std::max(longest, wait.value_or(duration{0}));
    }
    return longest > allowed ? std::optional{longest - allowed} : std::nullopt;
}

auto entry_service::submit(search_request request, time_point now) -> submitted {
    auto known = suspects_.find(request.print);
    if (known != suspects_.end()) {
        request.strikes = std::max(request.strikes, known->second.strikes);
    }
    if (request.strikes >= STRIKES_TO_QUARANTINE) {
        return refuse(request, result_code::quarantined, std::nullopt);
    }
    auto snapshot = view_.choose_snapshot();
    if (!snapshot) {
        return refuse(request, result_code::no_snapshot, MIN_RETRY_AFTER);
    }
    if (auto shortfall = admission_shortfall(request, *snapshot, now)) {
        return refuse(request, result_code::overloaded, std::max(*shortfall, MIN_RETRY_AFTER));
    }
    auto id = query_id{numbers_()};
    auto& q = queries_[id];
    q.id = id;
    q.request = std::move(request);
    q.snapshot = *snapshot;
    entry_actions out;
    begin(q, now, out);
    finish_if_settled(id, now, out);
    return {id, std::move(out)};
}

auto entry_service::needs_canary(const query& q) const -> bool {
    return spec_.canary && (q.request.strikes > 0 || !cleared_.contains(q.request.print));
}

auto entry_service::begin(query& q, time_point now, entry_actions& out) -> void {
    q.shards.assign(q.snapshot.shard_count, {});
    q.hits.clear();
    q.settled = 0;
    q.answered = 0;
    q.canary.reset();
    wake_at(q, sub_deadline(q));
    if (needs_canary(q)) {
        q.canary = choose_canary(q, now);
    }
    if (q.canary) {
        send_shard(q, *q.canary, false, now, out);
    } else {
        fan_out(q, now, out);
    }
}

auto entry_service::fan_out(query& q, time_point now, entry_actions& out) -> void {
    for (std::uint32_t i = 0; i < q.shards.size(); ++i) {
        const auto& shard = q.shards[i];
        if (shard.answered || shard.given_up || !shard.open.empty() || shard.retry_at) {
            continue;
        }
        if (!send_shard(q, shard_index{i}, false, now, out)) {
            retry_or_give_up(q, shard_index{i}, result_code::upstream_unreachable, now, out);
        }
    }
}

auto entry_service::choose_canary(const query& q, time_point now) const -> std::optional<shard_index> {
    auto count = static_cast<std::uint32_t>(q.shards.size());
    auto first = static_cast<std::uint32_t>(q.request.print.value() % count);
    for (std::uint32_t i = 0; i < count; ++i) {
        auto shard = shard_index{(first + i) % count};
        if (!canary_replicas(q, shard, now).empty()) {
            return shard;
        }
    }
    return std::nullopt;
}

auto entry_service::canary_replicas(const query& q, shard_index shard, time_point now) const
    -> std::vector<upstream_id> {
    auto names = view_.replicas(q.snapshot.snapshot, shard, q.request.priority, now);
    auto rank = [&](const upstream_id& name) {
        std::size_t seed = q.request.print.value();
        boost::hash_combine(seed, name.value());
        return std::pair{view_.broker_is_avoided(name, now), seed};
    };
    std::ranges::sort(names, {}, rank);
    const auto& tried = q.shards[shard.value()].tried;
    std::erase_if(names, [&](const auto& name) { return std::ranges::find(tried, name) != tried.end(); });
    return names;
}

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

auto entry_service::sub_deadline(const query& q) const -> time_point {
    return q.request.deadline - ANSWER_RESERVE;
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

auto entry_service::answered(const sub_answer& answer, time_point now) -> entry_actions {
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

auto entry_service::remember_cleared(fingerprint print) -> void {
    if (!cleared_.insert(print).second) {
        return;
    }
    cleared_order_.push_back(print);
    if (cleared_order_.size() > CLEARED_CAPACITY) {
        cleared_.erase(cleared_order_.front());
        cleared_order_.pop_front();
    }
}

auto entry_service::suspect(fingerprint print, const suspicion& state) -> void {
    auto& known = suspects_[print];
    known = merged(known, state);
    if (known.strikes == 0) {
        suspects_.erase(print);
        return;
    }
    if (cleared_.erase(print) > 0) {
        std::erase(cleared_order_, print);
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

auto entry_service::fail_canary(query& q, shard_index shard, const sub_answer& answer, time_point now,
                                entry_actions& out) -> bool {
    q.request.strikes = std::max(q.request.strikes, answer.strikes);
    auto& known = suspects_[q.request.print];
    known = with_strikes(known, q.request.strikes);
    if (q.request.strikes >= STRIKES_TO_QUARANTINE) {
        withdraw_all(q, out);
        for (auto& state : q.shards) {
            state.given_up = state.given_up || !state.answered;
            state.retry_at.reset();
        }
        q.settled = q.shards.size();
        return true;
    }
    if (q.canary != shard || (!q.request.idempotent && may_have_run(answer.code))) {
        return false;
    }
    if (send_shard(q, shard, false, now, out)) {
        out.push_back(
            note_action{note_reason::canary_retry, answer.code, q.request.request, answer.load.upstream});
        return true;
    }
    return false;
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

auto entry_service::withdraw_all(query& q, entry_actions& out) -> void {
    for (auto& state : q.shards) {
        for (const auto& open : state.open) {
            places_.erase(open.id);
            out.push_back(withdraw_action{open.broker, open.upstream, open.id});
            state.may_have_run = true;
            q.any_may_have_run = true;
        }
        state.open.clear();
    }
}

auto entry_service::slow(sub_request_id id, time_point now) -> entry_actions {
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
    auto too_busy = policy_.hedge_only_to_sooner && finish > mean * HEDGE_FINISH_FACTOR;
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

auto entry_service::broker_lost(const instance_id& broker, time_point now) -> entry_actions {
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
        std::ranges::move(answered(answer, now), std::back_inserter(out));
    }
    return out;
}

auto entry_service::wake_at(query& q, time_point at) -> void {
    if (at >= q.wakeup) {
        return;
    }
    wakeups_.erase({q.wakeup, q.id});
    q.wakeup = at;
    wakeups_.insert({at, q.id});
}

auto entry_service::advance(time_point now) -> entry_actions {
    entry_actions out;
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
        auto id = wakeups_.begin()->second;
        wakeups_.erase(wakeups_.begin());
        auto& q = queries_.at(id);
        q.wakeup = time_point::max();
        if (now >= sub_deadline(q)) {
            if (is_late_by_load(q, now)) {
                admission_.answered_late();
            }
            finish(q, q.answered > 0 ? result_code::ok : result_code::deadline_passed, out);
            continue;
        }
        wake_at(q, sub_deadline(q));
        act_on_due_shards(q, now, out);
        finish_if_settled(id, now, out);
    }
    return out;
}

auto entry_service::is_late_by_load(const query& q, time_point now) const -> bool {
    for (std::uint32_t i = 0; i < q.shards.size(); ++i) {
        auto waits = !q.shards[i].answered && !q.shards[i].open.empty();
        if (waits && view_.least_wait(q.snapshot.snapshot, shard_index{i}, q.request.priority, now)) {
            return true;
        }
    }
    return false;
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

auto entry_service::next_wakeup() const -> std::optional<time_point> {
    return wakeups_.empty() ? std::nullopt : std::optional{wakeups_.begin()->first};
}

auto entry_service::finish_if_settled(query_id id, time_point now, entry_actions& out) -> void {
    auto found = queries_.find(id);
    if (found == queries_.end()) {
        return;
    }
    auto& q = found->second;
    if (q.request.strikes >= STRIKES_TO_QUARANTINE) {
        finish(q, q.any_may_have_run ? result_code::crashed_upstreams : result_code::quarantined, out);
        return;
    }
    if (q.canary && q.shards[q.canary->value()].given_up && q.request.strikes > 0) {
        finish(q, q.any_may_have_run ? result_code::crashed_upstreams : result_code::suspect_request, out);
        return;
    }
    if (q.canary && q.shards[q.canary->value()].given_up) {
        auto lost = *q.canary;
        q.canary = choose_canary(q, now);
        auto again = q.canary && q.canary != lost && ++q.canary_failures < TRIES_FOR_TIME &&
                     !q.shards[q.canary->value()].given_up;
        if (!again || !send_shard(q, *q.canary, false, now, out)) {
            finish(q, result_code::deadline_passed, out);
        }
        return;
    }
    if (q.settled < q.shards.size()) {
        return;
    }
    finish(q, q.answered > 0 ? result_code::ok : result_code::deadline_passed, out);
}

auto entry_service::finish(query& q, result_code code, entry_actions& out) -> void {
    withdraw_all(q, out);
    search_answer answer;
    answer.request = q.request.request;
    answer.snapshot = q.snapshot.snapshot;
    answer.shards_total = q.snapshot.shard_count;
    answer.shards_answered = static_cast<std::uint32_t>(q.answered);
    answer.served_in = q.request.priority;
    auto lost_run = false;
    for (std::uint32_t i = 0; i < q.shards.size(); ++i) {
        if (!q.shards[i].answered) {
            answer.missing.push_back(shard_index{i});
            lost_run = lost_run || q.shards[i].may_have_run;
        }
    }
    merge_hits(q.hits, q.request.limit);
    answer.hits = std::move(q.hits);
    answer.code = !q.request.idempotent && lost_run && code != result_code::crashed_upstreams
                      ? result_code::outcome_unknown
                      : code;
    answer.state = describe(answer.code).state;
    if (answer.code == result_code::ok && !answer.missing.empty()) {
        answer.state = run_state::partial;
    } else if (answer.code == result_code::deadline_passed && !q.any_may_have_run) {
        answer.state = run_state::not_run;
    }
    if (answer.complete()) {
        admission_.answered_whole();
    }
    wakeups_.erase({q.wakeup, q.id});
    out.push_back(reply_action{q.id, std::move(answer)});
    queries_.erase(q.id);
}

}  // namespace eelgrassledge
