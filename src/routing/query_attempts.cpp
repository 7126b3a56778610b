// Sub-requests of a query: first sends, retries, hedges, and the handling of their outcomes.

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

#include "eelgrassledge/routing/record_merge.hpp"
#include "eelgrassledge/routing/routed_query.hpp"

namespace eelgrassledge {

namespace {

/// Sends to one shard beyond the attempts of the route. Refusals and failed connections do not count as runs;
/// if there are more of them than this, the shard is considered down.
constexpr std::uint32_t MAX_EXTRA_SENDS = 2;

/// Number of broken connections from which a query is not sent again, provided that they outnumber its
/// received parts: the query may crash the upstreams that run it.
constexpr std::size_t CRASH_BROKEN_CONNECTIONS = 3;

/// How long an upstream with an overdue answer is avoided: a multiple of the hedge delay, limited to a range
/// that covers a garbage collection or a short stall.
constexpr int AVOIDANCE_FACTOR = 8;
constexpr duration MIN_AVOIDANCE = milliseconds{150};
constexpr duration MAX_AVOIDANCE = seconds{2};

/// Interval after which a hedge is reconsidered that was not sent for lack of a healthy replica or of retry
/// budget.
constexpr duration HEDGE_RECHECK = milliseconds{10};

/// Why the caller must not receive a failure as the upstream sent it; empty if it may.
auto reason_to_withhold(const upstream_reply& failure) -> std::optional<std::string_view> {
    if (is_not_run_status(failure.status)) {
        return "not_run_status";
    }
    if (is_success_status(failure.status)) {
        return "unsigned_success";
    }
    return std::nullopt;
}

}  // namespace

auto is_not_run_status(int status) -> bool {
    constexpr std::array PROMISES{408, 421, 429, 503};
    return std::find(PROMISES.begin(), PROMISES.end(), status) != PROMISES.end();
}

auto is_success(const upstream_reply& reply) -> bool {
    return is_success_status(reply.status) && !reply.signature.empty();
}

auto to_string(attempt_end end) -> std::string_view {
    switch (end) {
        case attempt_end::answered:
            return "answered";
        case attempt_end::not_run:
            return "not_run";
        case attempt_end::not_sent:
            return "not_sent";
        case attempt_end::unclear:
            break;
    }
    return "unclear";
}

auto routed_query::launch_first(shard_state& shard, time_point now, query_actions& out) -> void {
    state_.budget(shard.service).earned(now);
    const auto* rule = setup_.table->service(shard.service);
    if (auto to = state_.choose(shard.service, *setup_.matched, shard.tried, rule, now)) {
        launch(shard, to, now, out);
    } else {
        shard.settled = true;
        shard.failed_with = result_code::upstream_unreachable;
    }
}

auto routed_query::launch_again(shard_state& shard, time_point now, query_actions& out) -> void {
    if (is_suspect(shard, out)) {
        mark_failed(shard);
        return;
    }
    const auto* rule = setup_.table->service(shard.service);
    auto to = state_.choose(shard.service, *setup_.matched, shard.tried, rule, now);
    if (to && state_.budget(shard.service).take(state_.budget_limits(), now)) {
        // Counts all attempts before the last as used by the other instance.
        shard.runs = setup_.matched->max_attempts - 1;
        launch(shard, to, now, out);
    } else {
        mark_failed(shard);
    }
}

auto routed_query::mark_failed(shard_state& shard) -> void {
    shard.settled = true;
    shard.failed_with = result_code::upstream_failed;
    // Another instance may have run the shard, so the query must not be reported as not run.
    shard.runs = std::max<std::uint32_t>(shard.runs, 1);
}

auto routed_query::launch(shard_state& shard, const shared_upstream& to, time_point now, query_actions& out)
    -> void {
    attempt_id id{next_attempt_++};
    shard.running.push_back({id, to, now});
    shard.tried.push_back(to);
    shard.sends += 1;
    shard.runs += 1;
    shard.overdue_at = now + state_.hedge_delay(*setup_.matched);
    to->sent(now, state_.costs().cost_ms(setup_.matched->name));
    out.sends.push_back({id, to, deadline_, !is_idempotent()});
}

auto routed_query::ended(attempt_id attempt, const attempt_outcome& outcome, time_point now)
    -> query_actions {
    query_actions out;
    for (auto& shard : shards_) {
        auto found = std::find_if(shard.running.begin(), shard.running.end(),
                                  [&](const running_attempt& a) { return a.id == attempt; });
        if (found == shard.running.end()) {
            continue;
        }
        auto from = *found;
        shard.running.erase(found);
        auto latency = now - from.sent;
        if (outcome.end == attempt_end::answered && is_success(outcome.reply)) {
            // Before the upstream's state changes: its slowness must not contain this answer.
            state_.costs().learn(setup_.matched->name, to_milliseconds(latency), from.to->slowness(now));
            from.to->answered(latency, true, now);
            record_time_in_flight(from, now);
            accept(shard, from, outcome.reply, now, out);
            finish_if_decided(now, out);
            return out;
        }
        if (outcome.end == attempt_end::answered || outcome.end == attempt_end::not_run) {
            from.to->answered(latency, false, now);
        } else {
            from.to->connection_failed(latency, now);
        }
        record_time_in_flight(from, now);
        if (outcome.end == attempt_end::not_run || outcome.end == attempt_end::not_sent) {
            shard.runs -= 1;
        }
        shard.was_refused = shard.was_refused || outcome.is_full;
        out.notes.push_back({"attempt_failed", std::string{to_string(outcome.end)},
                             fmt::format("shard={} upstream={} after_ms={:.1f} status={} cause={}",
                                         shard.service.value(), from.to->id().value(),
                                         to_milliseconds(latency), outcome.reply.status, outcome.reason)});
        if (!try_again(shard, outcome, now, out) && shard.running.empty()) {
            settle(shard, outcome, out);
        }
        finish_if_decided(now, out);
        return out;
    }
    return out;
}

auto routed_query::record_time_in_flight(const running_attempt& ended, time_point now) -> void {
    // An upstream that answered no sub-request meanwhile is cut off, hangs or pauses; that is no sign of
    // load.
    if (setup_.matched->gather && !ended.to->is_unresponsive_since(ended.sent)) {
        state_.admission(*setup_.matched->gather).ended(now - ended.sent, now);
    }
}

auto routed_query::likely_crashes_upstreams() const -> bool {
    return broken_connections_ >= CRASH_BROKEN_CONNECTIONS && broken_connections_ > received_parts_;
}

auto routed_query::is_suspect(const shard_state& shard, query_actions& out) const -> bool {
    if (!setup_.is_suspect || !setup_.is_suspect()) {
        return false;
    }
    out.notes.push_back({"retry_denied", "suspect", fmt::format("shard={}", shard.service.value())});
    return true;
}

auto routed_query::try_again(shard_state& shard, const attempt_outcome& outcome, time_point now,
                             query_actions& out) -> bool {
    auto ran = outcome.end == attempt_end::answered || outcome.end == attempt_end::unclear;
    if (outcome.end == attempt_end::unclear) {
        ++broken_connections_;
        if (likely_crashes_upstreams()) {
            out.notes.push_back({"retry_denied", "crashes",
                                 fmt::format("shard={} breaks={} parts={}", shard.service.value(),
                                             broken_connections_, received_parts_)});
            return false;
        }
    }
    if (!shard.running.empty() || (ran && !is_idempotent()) || now >= deadline_ ||
        shard.runs >= setup_.matched->max_attempts ||
        shard.sends >= setup_.matched->max_attempts + MAX_EXTRA_SENDS) {
        return false;
    }
    if (is_suspect(shard, out)) {
        return false;
    }
    const auto* rule = setup_.table->service(shard.service);
    auto to = state_.choose(shard.service, *setup_.matched, shard.tried, rule, now);
    if (!to) {
        return false;
    }
    // A sub-request that was never sent did not load an upstream, so its retry takes no budget.
    auto arrived = outcome.end != attempt_end::not_sent;
    if (arrived && !state_.budget(shard.service).take(state_.budget_limits(), now)) {
        out.notes.push_back({"retry_denied", "budget", fmt::format("shard={}", shard.service.value())});
        return false;
    }
    out.notes.push_back({"retry", std::string{to_string(outcome.end)},
                         fmt::format("shard={} upstream={}", shard.service.value(), to->id().value())});
    launch(shard, to, now, out);
    return true;
}

auto routed_query::accept(shard_state& shard, const running_attempt& from, const upstream_reply& reply,
                          time_point now, query_actions& out) -> void {
    state_.latencies(setup_.matched->name).add(now - from.sent);
    shard.part = reply;
    if (setup_.matched->gather) {
        // No other records of this part can be in the answer.
        shard.part->body = merge_greatest_records({reply.body}, setup_.matched->gather->top_records);
        shard.part->headers.clear();
    }
    shard.settled = true;
    shard.overdue_at.reset();
    ++received_parts_;
    cancel_running(shard, now, out);
}

auto routed_query::cancel_running(shard_state& shard, time_point now, query_actions& out) -> void {
    for (const auto& attempt : shard.running) {
        record_time_in_flight(attempt, now);
        attempt.to->abandoned(now - attempt.sent, now);
        state_.latencies(setup_.matched->name).add(now - attempt.sent);
        out.cancels.push_back(attempt.id);
    }
    shard.running.clear();
}

auto routed_query::settle(shard_state& shard, const attempt_outcome& outcome, query_actions& out) -> void {
    shard.settled = true;
    shard.overdue_at.reset();
    switch (outcome.end) {
        case attempt_end::answered:
            keep_failure(shard, outcome.reply, out);
            shard.failed_with = result_code::upstream_failed;
            break;
        case attempt_end::not_run:
            shard.failed_with =
                shard.runs > 0 ? result_code::upstream_failed : result_code::upstream_shedding;
            break;
        case attempt_end::not_sent:
            shard.failed_with =
                shard.runs > 0 ? result_code::upstream_failed : result_code::upstream_unreachable;
            break;
        case attempt_end::unclear:
            shard.failed_with = is_idempotent() ? result_code::upstream_failed : result_code::outcome_unknown;
            break;
    }
}

auto routed_query::keep_failure(shard_state& shard, const upstream_reply& reply, query_actions& out) const
    -> void {
    if (setup_.matched->gather) {
        return;
    }
    if (auto reason = reason_to_withhold(reply)) {
        out.notes.push_back({"answer_withheld", std::string{*reason},
                             fmt::format("shard={} status={}", shard.service.value(), reply.status)});
        return;
    }
    shard.failure = reply;
}

auto routed_query::act_on_overdue(shard_state& shard, time_point now, query_actions& out) -> void {
    auto delay = state_.hedge_delay(*setup_.matched);
    for (const auto& attempt : shard.running) {
        auto avoid = std::clamp<duration>(AVOIDANCE_FACTOR * delay, MIN_AVOIDANCE, MAX_AVOIDANCE);
        attempt.to->overdue(now + avoid);
    }
    shard.overdue_at.reset();
    if (!is_idempotent() || shard.runs >= setup_.matched->max_attempts) {
        return;
    }
    if (is_suspect(shard, out)) {
        return;
    }
    shard.overdue_at = now + HEDGE_RECHECK;
    const auto* rule = setup_.table->service(shard.service);
    // A replica with an overdue answer or one that leaves may still be in time where this one is not.
    auto left_ms = to_milliseconds(answer_by_ - now);
    auto is_overloaded = setup_.matched->gather && state_.shedder(*setup_.matched->gather).is_shedding(now);
    auto to = is_overloaded ? nullptr
                            : state_.choose(shard.service, *setup_.matched, shard.tried, rule, now, left_ms);
    if (!to || !state_.budget(shard.service).take(state_.budget_limits(), now)) {
        if (!std::exchange(shard.hedge_denied, true)) {
            const auto* reason = is_overloaded ? "overload" : to ? "budget" : "no_healthy_upstream";
            out.notes.push_back({"hedge_denied", reason,
                                 fmt::format("shard={} overdue={}", shard.service.value(),
                                             shard.running.front().to->id().value())});
        }
        return;
    }
    out.notes.push_back(
        {"hedge", "overdue",
         fmt::format("shard={} overdue={} upstream={} delay_ms={:.1f}", shard.service.value(),
                     shard.running.front().to->id().value(), to->id().value(), to_milliseconds(delay))});
    launch(shard, to, now, out);
}

}  // namespace eelgrassledge
