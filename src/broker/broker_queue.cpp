// Queueing at a broker: the order of sending, deadlines of queued sub-requests, and preemption.

#include <algorithm>

#include "eelgrassledge/broker/upstream_broker.hpp"

namespace eelgrassledge {

namespace {

/// Minimum time between two connections opened to replace unresponsive ones.
constexpr duration FRESH_CONNECTION_INTERVAL = milliseconds{100};
/// Canary requests are queued as if they had started this much earlier, because the rest of their query is
/// not sent before they complete.
constexpr duration CANARY_HEAD_START = seconds{60};

}  // namespace

auto upstream_broker::expected_cold_wait(time_point now) const -> duration {
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

auto upstream_broker::expire(time_point now, broker_actions& out) -> void {
    while (!queued_deadlines_.empty() && queued_deadlines_.begin()->first <= now) {
        auto key = queued_deadlines_.begin()->second;
        queued_deadlines_.erase(queued_deadlines_.begin());
        for (auto* queue : {&ordinary_, &priority_}) {
            auto found =
                std::ranges::find_if(*queue, [&](const auto& item) { return item.first.key == key; });
            if (found != queue->end()) {
                out.push_back(make_answer(found->second, result_code::queue_expired));
                queue->erase(found);
                break;
            }
        }
    }
}

auto upstream_broker::refuse_queued(result_code code, broker_actions& out) -> void {
    for (auto* queue : {&priority_, &ordinary_}) {
        for (const auto& [rank, request] : *queue) {
            out.push_back(make_answer(request, code));
        }
        queue->clear();
    }
    queued_deadlines_.clear();
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

auto upstream_broker::must_wait_for_running(const sub_request& request) const -> bool {
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
        if (must_wait_for_running(request)) {
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
    auto suspect_running =
        std::ranges::any_of(running_, [](const auto& item) { return item.second.request.strikes > 0; });
    if (suspect_running || !may_send_now(now)) {
        return std::nullopt;
    }
    if (auto priority_request = pop_sendable(priority_)) {
        return priority_request;
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
    // Idle connections may lead to a process that has ended; a request that fails on one would count as a
    // suspect.
    auto fresh = !request.idempotent || ramp_.current() == warmth::unknown;
    if (fresh_connection_needed_ && now >= next_fresh_connection_) {
        fresh = true;
        fresh_connection_needed_ = false;
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
            out.push_back(make_answer(*request, result_code::queue_expired));
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
    auto slots_being_freed =
        std::ranges::count_if(running_, [](const auto& item) { return item.second.requeue; });
    auto slots_wanted =
        static_cast<std::int64_t>(std::min<std::size_t>(priority_.size(), limits_.priority_slots));
    for (; slots_being_freed < slots_wanted && running_.size() >= ramp_.concurrency(limits_.slots);
         ++slots_being_freed) {
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

}  // namespace eelgrassledge
