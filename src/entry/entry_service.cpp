#include "eelgrassledge/entry/entry_service.hpp"

#include <algorithm>
#include <unordered_set>

#include "entry_limits.hpp"

namespace eelgrassledge {

namespace {

/// Part of the time to the caller's deadline that is reserved to merge and return the answer.
constexpr duration ANSWER_RESERVE = milliseconds{3};
/// Minimum `retry_after` returned to a refused caller.
constexpr duration MIN_RETRY_AFTER = milliseconds{20};

/// Orders hits by descending score, then by record name.
auto better_hit(const hit& a, const hit& b) -> bool {
    return a.score != b.score ? a.score > b.score : a.record < b.record;
}

/// Sorts the hits, removes duplicate records, keeping the best score of each, and keeps the best `limit`
/// records.
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

entry_service::entry_service(service_spec spec, entry_policy policy, id_source ids)
    : spec_(std::move(spec)),
      policy_(policy),
      next_id_(std::move(ids)),
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
    auto id = query_id{next_id_()};
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
    auto id = query_id{next_id_()};
    auto& q = queries_[id];
    q.id = id;
    q.request = std::move(request);
    q.snapshot = *snapshot;
    entry_actions out;
    start_shards(q, now, out);
    finish_if_settled(id, now, out);
    return {id, std::move(out)};
}

auto entry_service::start_shards(query& q, time_point now, entry_actions& out) -> void {
    q.shards.assign(q.snapshot.shard_count, {});
    q.hits.clear();
    q.settled = 0;
    q.answered = 0;
    q.canary.reset();
    schedule_wakeup(q, sub_deadline(q));
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
        if (shard.answered || shard.abandoned || !shard.open.empty() || shard.retry_at) {
            continue;
        }
        if (!send_shard(q, shard_index{i}, false, now, out)) {
            retry_or_abandon(q, shard_index{i}, result_code::upstream_unreachable, now, out);
        }
    }
}

auto entry_service::sub_deadline(const query& q) const -> time_point {
    return q.request.deadline - ANSWER_RESERVE;
}

auto entry_service::withdraw_all(query& q, entry_actions& out) -> void {
    for (auto& state : q.shards) {
        for (const auto& open : state.open) {
            in_flight_.erase(open.id);
            out.push_back(withdraw_action{open.broker, open.upstream, open.id});
            state.may_have_run = true;
            q.any_may_have_run = true;
        }
        state.open.clear();
    }
}

auto entry_service::schedule_wakeup(query& q, time_point at) -> void {
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
            if (is_late_due_to_load(q, now)) {
                admission_.record_late();
            }
            finish(q, q.answered > 0 ? result_code::ok : result_code::deadline_passed, out);
            continue;
        }
        schedule_wakeup(q, sub_deadline(q));
        process_due_shards(q, now, out);
        finish_if_settled(id, now, out);
    }
    return out;
}

auto entry_service::is_late_due_to_load(const query& q, time_point now) const -> bool {
    for (std::uint32_t i = 0; i < q.shards.size(); ++i) {
        auto in_flight = !q.shards[i].answered && !q.shards[i].open.empty();
        if (in_flight && view_.least_wait(q.snapshot.snapshot, shard_index{i}, q.request.priority, now)) {
            return true;
        }
    }
    return false;
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
    if (q.canary && q.shards[q.canary->value()].abandoned && q.request.strikes > 0) {
        finish(q, q.any_may_have_run ? result_code::crashed_upstreams : result_code::suspect_request, out);
        return;
    }
    if (q.canary && q.shards[q.canary->value()].abandoned) {
        auto failed_shard = *q.canary;
        q.canary = choose_canary(q, now);
        auto can_retry = q.canary && q.canary != failed_shard &&
                         ++q.canary_failures < MAX_TRIES_PREFER_TIME &&
                         !q.shards[q.canary->value()].abandoned;
        if (!can_retry || !send_shard(q, *q.canary, false, now, out)) {
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
    auto missing_may_have_run = false;
    for (std::uint32_t i = 0; i < q.shards.size(); ++i) {
        if (!q.shards[i].answered) {
            answer.missing.push_back(shard_index{i});
            missing_may_have_run = missing_may_have_run || q.shards[i].may_have_run;
        }
    }
    merge_hits(q.hits, q.request.limit);
    answer.hits = std::move(q.hits);
    answer.code = !q.request.idempotent && missing_may_have_run && code != result_code::crashed_upstreams
                      ? result_code::outcome_unknown
                      : code;
    answer.state = describe(answer.code).state;
    if (answer.code == result_code::ok && !answer.missing.empty()) {
        answer.state = run_state::partial;
    } else if (answer.code == result_code::deadline_passed && !q.any_may_have_run) {
        answer.state = run_state::not_run;
    }
    if (answer.complete()) {
        admission_.record_complete();
    }
    wakeups_.erase({q.wakeup, q.id});
    out.push_back(reply_action{q.id, std::move(answer)});
    queries_.erase(q.id);
}

}  // namespace eelgrassledge
