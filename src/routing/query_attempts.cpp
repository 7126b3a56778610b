// Sub-requests of a query: the first sends, retries, hedges, and what their answers mean.

#include <fmt/format.h>

#include <algorithm>

#include "eelgrassledge/routing/routed_query.hpp"

namespace eelgrassledge {

namespace {

/// Sends to one shard beyond those that may run: refusals and failed connections do not count as runs, and
/// more than this many in a row mean that the shard is down.
constexpr std::uint32_t MAX_UNUSED_SENDS = 2;

/// Broken connections of one query from which it is no longer sent again, when they outnumber its parts: it
/// may crash whatever runs it.
constexpr std::size_t CRASHING_BREAKS = 3;

/// How long an upstream with an overdue answer is avoided, as a multiple of the hedge delay, within bounds
/// that cover a garbage collection or a short stall.
constexpr int OVERDUE_FACTOR = 8;
constexpr duration MIN_OVERDUE = milliseconds{150};
constexpr duration MAX_OVERDUE = seconds{2};

/// Time until a hedge that found no healthy replica, or no budget, is considered again.
constexpr duration HEDGE_RECHECK = milliseconds{10};

}  // namespace

auto is_success(const upstream_reply& reply) -> bool {
    return reply.status >= 200 && reply.status < 300 && !reply.signature.empty();
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
    if (auto to = state_.choose(shard.service, shard.tried, false, rule, now)) {
        launch(shard, to, now, out);
    } else {
        shard.settled = true;
        shard.failed_with = result_code::upstream_unreachable;
    }
}

auto routed_query::launch_again(shard_state& shard, time_point now, query_actions& out) -> void {
    if (is_suspect(shard, out)) {
        give_up(shard);
        return;
    }
    const auto* rule = setup_.table->service(shard.service);
    auto to = state_.choose(shard.service, shard.tried, false, rule, now);
    if (to && state_.budget(shard.service).take(state_.budget_limits(), now)) {
        // The other instance used the attempts before the last.
        shard.runs = setup_.matched->max_attempts - 1;
        launch(shard, to, now, out);
    } else {
        give_up(shard);
    }
}

auto routed_query::give_up(shard_state& shard) -> void {
    shard.settled = true;
    shard.failed_with = result_code::upstream_failed;
    // It may have run elsewhere, so that a refusal would not be true.
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
    to->sent(now);
    out.sends.push_back({id, to, give_up_at_, !is_idempotent()});
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
            from.to->answered(latency, true, now);
            accept(shard, from, outcome.reply, now, out);
            finish_if_decided(now, out);
            return out;
        }
        if (outcome.end == attempt_end::answered || outcome.end == attempt_end::not_run) {
            from.to->answered(latency, false, now);
        } else {
            from.to->connection_failed(latency, now);
        }
        if (outcome.end == attempt_end::not_run || outcome.end == attempt_end::not_sent) {
            shard.runs -= 1;
        }
        shard.was_refused = shard.was_refused || outcome.is_full;
        out.notes.push_back({"attempt_failed", std::string{to_string(outcome.end)},
                             fmt::format("shard={} upstream={} after_ms={:.1f} status={} cause={}",
                                         shard.service.value(), from.to->id().value(),
                                         to_milliseconds(latency), outcome.reply.status, outcome.reason)});
        if (!try_again(shard, outcome, now, out) && shard.running.empty()) {
            settle(shard, outcome);
        }
        finish_if_decided(now, out);
        return out;
    }
    return out;
}

auto routed_query::seems_to_crash() const -> bool {
    return breaks_ >= CRASHING_BREAKS && breaks_ > parts_in_;
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
        ++breaks_;
        if (seems_to_crash()) {
            out.notes.push_back(
                {"retry_denied", "crashes",
                 fmt::format("shard={} breaks={} parts={}", shard.service.value(), breaks_, parts_in_)});
            return false;
        }
    }
    if (!shard.running.empty() || (ran && !is_idempotent()) || now >= give_up_at_ ||
        shard.runs >= setup_.matched->max_attempts ||
        shard.sends >= setup_.matched->max_attempts + MAX_UNUSED_SENDS) {
        return false;
    }
    if (is_suspect(shard, out)) {
        return false;
    }
    const auto* rule = setup_.table->service(shard.service);
    auto to = state_.choose(shard.service, shard.tried, false, rule, now);
    if (!to) {
        return false;
    }
    // A sub-request that never arrived took nothing from the upstreams.
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
    shard.settled = true;
    shard.overdue_at.reset();
    ++parts_in_;
    cancel_running(shard, now, out);
}

auto routed_query::cancel_running(shard_state& shard, time_point now, query_actions& out) -> void {
    for (const auto& attempt : shard.running) {
        attempt.to->abandoned(now - attempt.sent, now);
        state_.latencies(setup_.matched->name).add(now - attempt.sent);
        out.cancels.push_back(attempt.id);
    }
    shard.running.clear();
}

auto routed_query::settle(shard_state& shard, const attempt_outcome& outcome) -> void {
    shard.settled = true;
    shard.overdue_at.reset();
    switch (outcome.end) {
        case attempt_end::answered:
            shard.failure = outcome.reply;
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

auto routed_query::act_on_overdue(shard_state& shard, time_point now, query_actions& out) -> void {
    auto delay = state_.hedge_delay(*setup_.matched);
    for (const auto& attempt : shard.running) {
        auto avoid = std::clamp<duration>(OVERDUE_FACTOR * delay, MIN_OVERDUE, MAX_OVERDUE);
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
    auto is_busy = setup_.matched->gather && state_.shedder(*setup_.matched->gather).is_shedding(now);
    auto to = is_busy ? nullptr : state_.choose(shard.service, shard.tried, true, rule, now);
    if (!to || !state_.budget(shard.service).take(state_.budget_limits(), now)) {
        if (!std::exchange(shard.hedge_denied, true)) {
            const auto* reason = is_busy ? "overload" : to ? "budget" : "no_healthy_upstream";
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
