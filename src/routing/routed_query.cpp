#include "eelgrassledge/routing/routed_query.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "eelgrassledge/routing/record_merge.hpp"

namespace eelgrassledge {

namespace {

/// Minimum share of a query's shards without capacity for a failure to count as an overload signal; a few
/// full upstreams may have faults of their own.
constexpr double MIN_SATURATED_SHARE = 0.25;

}  // namespace

routed_query::routed_query(routing_state& state, query_setup setup, std::uint64_t& next_attempt)
    : state_(state), setup_(std::move(setup)), next_attempt_(next_attempt) {
    const auto& r = *setup_.matched;
    auto margin = state_.policy().answer_margin + state_.policy().answer_assembly + setup_.round_trip_time;
    auto timeout = r.timeout.count() > 0 ? setup_.received + r.timeout : setup_.caller_deadline;
    deadline_ = std::min(setup_.caller_deadline, timeout) - margin;
    objective_deadline_ = setup_.received + r.latency_objective;
    answer_by_ = std::min(objective_deadline_ - margin, deadline_);
    if (setup_.answer_by) {
        objective_deadline_ = *setup_.answer_by + margin;
        answer_by_ = std::min(*setup_.answer_by, deadline_);
    }
    auto late_limit =
        std::chrono::duration_cast<duration>(r.latency_objective * state_.policy().late_answer_factor);
    late_answer_deadline_ = std::min(setup_.received + late_limit, deadline_);
}

auto routed_query::limit_deadline(time_point latest) -> void {
    deadline_ = std::min(deadline_, latest);
    answer_by_ = std::min(answer_by_, deadline_);
    late_answer_deadline_ = std::min(late_answer_deadline_, deadline_);
}

auto routed_query::is_idempotent() const -> bool {
    return setup_.matched->repeat == repeat_policy::idempotent;
}

auto routed_query::urgency() const -> double {
    return setup_.table->urgency(*setup_.matched, setup_.sender);
}

auto routed_query::required_parts() const -> std::size_t {
    if (!setup_.matched->gather || !setup_.only_shards.empty()) {
        return 1;
    }
    return setup_.matched->gather->required_parts();
}

auto routed_query::choose_shards() -> std::vector<shard_state> {
    const auto& r = *setup_.matched;
    std::vector<shard_state> shards;
    auto add = [&](const service_id& service, std::size_t position) {
        shard_state shard;
        shard.service = service;
        shard.position = position;
        shards.push_back(std::move(shard));
    };
    if (r.gather && setup_.only_shards.empty()) {
        for (std::size_t i = 0; i < r.gather->shards.size(); ++i) {
            add(r.gather->shards[i], i);
        }
    } else if (r.gather) {
        for (auto i : setup_.only_shards) {
            add(r.gather->shards.at(i), i);
        }
    } else if (!r.targets.empty()) {
        double total = 0;
        for (const auto& target : r.targets) {
            total += target.weight;
        }
        auto point = state_.random() * total;
        auto chosen = r.targets.begin();
        while (chosen + 1 != r.targets.end() && point >= chosen->weight) {
            point -= chosen->weight;
            ++chosen;
        }
        add(chosen->service, 0);
    }
    return shards;
}

auto routed_query::at_position(std::size_t position) -> shard_state& {
    // If no shards are selected, the position is the index.
    return setup_.only_shards.empty()
               ? shards_.at(position)
               : *std::find_if(shards_.begin(), shards_.end(),
                               [&](const shard_state& s) { return s.position == position; });
}

auto routed_query::start(time_point now) -> query_actions {
    query_actions out;
    shards_ = choose_shards();
    std::size_t served = 0;
    for (const auto& shard : shards_) {
        served += state_.is_served(shard.service, now) ? 1 : 0;
    }
    if (shards_.empty() || served < required_parts()) {
        auto is_paused = state_.time_until_served(*setup_.matched, now).has_value();
        finish(is_paused ? result_code::upstream_shedding : result_code::upstream_unreachable, now, out);
        return out;
    }
    if (now >= deadline_) {
        finish(result_code::overloaded, now, out);
        return out;
    }
    if (!is_admitted(now, out)) {
        finish(result_code::overloaded, now, out);
        return out;
    }
    send_first(now, out);
    finish_if_decided(now, out);
    return out;
}

// Other instances decide about the groups that they run, and this one about queries that it runs alone.
auto routed_query::is_admitted(time_point now, query_actions& out) -> bool {
    const auto& r = *setup_.matched;
    if (!r.gather || !setup_.only_shards.empty()) {
        return true;
    }
    const auto* reason = urgency() > 0 ? "urgent" : "not_urgent";
    const auto& shedder = state_.shedder(*r.gather);
    if (!shedder.admits(urgency(), state_.random(), now)) {
        out.notes.push_back(
            {"shed", reason, fmt::format("admitted_share={:.2f}", shedder.admitted_share(now))});
        return false;
    }
    if (!setup_.groups.empty()) {
        return true;
    }
    auto load = state_.load_of(r, {}, answer_by_ - now, now);
    if (admission_control::admits(load, urgency())) {
        return true;
    }
    out.notes.push_back({"shed", reason, to_string(load)});
    refused_wait_ = state_.policy().retry_after + admission_control::wait(load, state_.random());
    return false;
}

auto routed_query::saturated_shards() const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(shards_.begin(), shards_.end(), [](const shard_state& shard) {
            auto is_queued = std::any_of(shard.running.begin(), shard.running.end(),
                                         [](const running_attempt& a) { return a.to->is_saturated(); });
            return shard.was_refused || is_queued;
        }));
}

auto routed_query::record_load(time_point now) -> void {
    const auto& r = *setup_.matched;
    if (!r.gather || send_count() == 0) {
        return;
    }
    auto count = static_cast<double>(shards_.size());
    auto has_enough_parts = static_cast<double>(received_parts_) >= r.gather->min_shard_ratio * count;
    auto signal = load_signal::unclear;
    if (has_enough_parts && now < objective_deadline_) {
        // A part that is in time says little about its query: the query has parts at several instances, and
        // one late part makes the whole query late.
        signal = setup_.only_shards.empty() ? load_signal::in_time : load_signal::unclear;
    } else if (!has_enough_parts && static_cast<double>(saturated_shards()) >= MIN_SATURATED_SHARE * count) {
        signal = load_signal::overloaded;
    }
    state_.shedder(*r.gather).finished(signal, now);
}

auto routed_query::advance(time_point now) -> query_actions {
    query_actions out;
    if (finished_) {
        return out;
    }
    for (auto& shard : shards_) {
        if (!shard.settled && shard.overdue_at && now >= *shard.overdue_at && !shard.running.empty()) {
            act_on_overdue(shard, now, out);
        }
    }
    finish_if_decided(now, out);
    return out;
}

auto routed_query::note_progress(time_point now) -> void {
    if (received_parts_ > 0 && !first_part_at_) {
        first_part_at_ = now;
    }
    if (received_parts_ >= required_parts() && !enough_parts_at_) {
        enough_parts_at_ = now;
    }
}

auto routed_query::finish_if_decided(time_point now, query_actions& out) -> void {
    latest_event_ = now;
    note_progress(now);
    if (finished_) {
        return;
    }
    std::size_t open = 0;
    for (const auto& shard : shards_) {
        open += shard.settled ? 0 : 1;
    }
    auto required = required_parts();
    if (received_parts_ + open < required) {
        finish(failure_code(), now, out);
        return;
    }
    auto is_late = now >= late_answer_deadline_;
    auto in_time = now >= answer_by_ && now < objective_deadline_;
    if (received_parts_ >= required && (open == 0 || in_time || is_late)) {
        finish(result_code::ok, now, out);
        return;
    }
    if (now >= deadline_) {
        finish(is_idempotent() ? result_code::upstream_timeout : result_code::outcome_unknown, now, out);
    }
}

auto routed_query::failure_code() const -> result_code {
    if (!groups_.empty()) {
        // Another instance may still be running its shards.
        return result_code::upstream_failed;
    }
    auto worst = result_code::upstream_unreachable;
    for (const auto& shard : shards_) {
        // The query may be reported as not run only if no shard has run or may still run.
        if (shard.runs > 0) {
            return shard.failed_with == result_code::outcome_unknown ? result_code::outcome_unknown
                                                                     : result_code::upstream_failed;
        }
        if (shard.failed_with == result_code::upstream_shedding ||
            shard.failed_with == result_code::overloaded) {
            worst = shard.failed_with;
        }
    }
    return worst;
}

auto routed_query::stop_all(time_point now, query_actions& out) -> void {
    finished_ = true;
    for (auto& shard : shards_) {
        cancel_running(shard, now, out);
        shard.overdue_at.reset();
    }
    cancel_groups(out);
}

auto routed_query::finish(result_code code, time_point now, query_actions& out) -> void {
    record_load(now);
    stop_all(now, out);
    query_answer answer;
    answer.code = code;
    if (code == result_code::ok) {
        assemble(answer);
    } else if (!setup_.matched->gather && !shards_.empty() && shards_.front().failure) {
        answer.reply = shards_.front().failure;
    }
    for (const auto& shard : shards_) {
        if (!shard.part) {
            answer.missing_shards.push_back(shard.service);
            if (shard.runs < setup_.matched->max_attempts) {
                answer.open_shards.push_back(shard.position);
            }
        }
    }
    answer.retry_after = std::max(state_.retry_after(code, *setup_.matched, urgency(), now), refused_wait_);
    if (first_part_at_) {
        answer.first_part_after = *first_part_at_ - setup_.received;
    }
    if (enough_parts_at_) {
        answer.enough_parts_after = *enough_parts_at_ - setup_.received;
    }
    out.answer = std::move(answer);
}

auto routed_query::assemble(query_answer& answer) const -> void {
    if (!setup_.matched->gather) {
        answer.reply = shards_.front().part;
        return;
    }
    std::vector<std::string_view> bodies;
    for (const auto& shard : shards_) {
        if (shard.part) {
            bodies.push_back(shard.part->body);
            answer.part_signatures.push_back(shard.part->signature);
            answer.parts.push_back(shard.position);
        }
    }
    answer.missing_parts = shards_.size() - bodies.size();
    bodies.insert(bodies.end(), group_records_.begin(), group_records_.end());
    answer.merged = merge_greatest_records(bodies, setup_.matched->gather->top_records);
}

auto routed_query::abandon(time_point now) -> query_actions {
    query_actions out;
    stop_all(now, out);
    return out;
}

auto routed_query::send_count() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& shard : shards_) {
        count += shard.sends;
    }
    return count;
}

auto routed_query::upstreams_tried() const -> std::string {
    std::string names;
    if (shards_.size() == 1) {
        for (const auto& u : shards_.front().tried) {
            names += (names.empty() ? "" : ",") + u->id().value();
        }
    }
    return names;
}

auto routed_query::next_wakeup() const -> time_point {
    auto next = deadline_;
    if (received_parts_ >= required_parts()) {
        next = std::min(next, latest_event_ < answer_by_ ? answer_by_ : late_answer_deadline_);
    }
    for (const auto& shard : shards_) {
        if (!shard.settled && shard.overdue_at) {
            next = std::min(next, *shard.overdue_at);
        }
    }
    return next;
}

}  // namespace eelgrassledge
