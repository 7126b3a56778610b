// Groups of shards that other instances query on behalf of this one.

#include <fmt/format.h>

#include <algorithm>

#include "eelgrassledge/routing/record_merge.hpp"
#include "eelgrassledge/routing/routed_query.hpp"

namespace eelgrassledge {

namespace {

/// Time reserved for the way of another instance's answer, in addition to the time in which it is taken here.
constexpr duration GROUP_ANSWER_MARGIN = milliseconds{3};

}  // namespace

auto to_string(group_end end) -> std::string_view {
    switch (end) {
        case group_end::answered:
            return "answered";
        case group_end::not_taken:
            return "not_taken";
        case group_end::refused:
            return "refused";
        case group_end::silent:
            return "silent";
        case group_end::failed:
            break;
    }
    return "failed";
}

auto routed_query::send_group(const shard_group& group, time_point now, query_actions& out) -> void {
    attempt_id call{next_attempt_++};
    groups_.push_back({call, group.shards, now});
    out.group_sends.push_back(
        {call, group, answer_by_ - GROUP_ANSWER_MARGIN - state_.policy().group_assembly, deadline_});
}

auto routed_query::send_first(time_point now, query_actions& out) -> void {
    auto& groups = setup_.groups;
    auto leading = std::max_element(groups.begin(), groups.end(), [](const auto& left, const auto& right) {
        return left.shards.size() < right.shards.size();
    });
    auto decides = leading != groups.end() && 2 * leading->shards.size() >= shards_.size() &&
                   leading->shards.size() < shards_.size() &&
                   state_.admission(*setup_.matched->gather).was_refused_recently(now);
    if (decides) {
        std::iter_swap(groups.begin(), leading);
        send_group(groups.front(), now, out);
        leading_call_ = groups_.front().call;
        return;
    }
    for (const auto& group : groups) {
        send_group(group, now, out);
    }
    send_rest(now, out);
}

auto routed_query::send_rest(time_point now, query_actions& out) -> void {
    if (leading_call_) {
        leading_call_.reset();
        std::for_each(setup_.groups.begin() + 1, setup_.groups.end(),
                      [&](const shard_group& group) { send_group(group, now, out); });
    }
    auto is_in_group = [&](const shard_state& shard) {
        return std::any_of(setup_.groups.begin(), setup_.groups.end(), [&](const shard_group& group) {
            return std::find(group.shards.begin(), group.shards.end(), shard.position) != group.shards.end();
        });
    };
    for (auto& shard : shards_) {
        if (!is_in_group(shard)) {
            launch_first(shard, now, out);
        }
    }
}

auto routed_query::group_taken(attempt_id call, time_point now) -> query_actions {
    query_actions out;
    if (!finished_ && leading_call_ == call) {
        send_rest(now, out);
        finish_if_decided(now, out);
    }
    return out;
}

auto routed_query::add_group_parts(const group_outcome& outcome) -> void {
    for (std::size_t i = 0; i < outcome.shards.size(); ++i) {
        auto& shard = at_position(outcome.shards[i]);
        shard.settled = true;
        shard.part = upstream_reply{};
        shard.part->signature = outcome.signatures[i];
        shard.runs = 1;
        ++received_parts_;
    }
    group_records_.push_back(merge_greatest_records({outcome.merged}, setup_.matched->gather->top_records));
}

auto routed_query::group_ended(attempt_id call, const group_outcome& outcome, time_point now)
    -> query_actions {
    query_actions out;
    auto found = std::find_if(groups_.begin(), groups_.end(),
                              [&](const running_group& group) { return group.call == call; });
    if (found == groups_.end()) {
        return out;
    }
    auto group = std::move(*found);
    groups_.erase(found);
    add_group_parts(outcome);
    if (outcome.end != group_end::answered) {
        out.notes.push_back({"group_failed", std::string{to_string(outcome.end)},
                             fmt::format("shards={} cause={}", group.shards.size(), outcome.reason)});
    }
    if (outcome.end == group_end::refused) {
        group_refused(group, outcome, now, out);
        return out;
    }
    if (leading_call_ == call) {
        send_rest(now, out);
    }
    // If the other instance became unresponsive before its hedge delay, it used at most one attempt of each
    // shard.
    auto one_attempt_used = outcome.end == group_end::silent &&
                            now - group.sent < state_.hedge_delay(*setup_.matched) &&
                            setup_.matched->max_attempts > 1;
    for (auto position : group.shards) {
        auto& shard = at_position(position);
        if (shard.settled) {
            continue;
        }
        const auto& open = outcome.open_shards;
        auto has_attempt_left =
            one_attempt_used || std::find(open.begin(), open.end(), position) != open.end();
        if (outcome.end == group_end::not_taken && is_suspect(shard, out)) {
            // The shard has not run.
            shard.settled = true;
            shard.failed_with = result_code::upstream_unreachable;
        } else if (outcome.end == group_end::not_taken) {
            launch_first(shard, now, out);
        } else if (has_attempt_left) {
            launch_again(shard, now, out);
        } else {
            mark_failed(shard);
        }
    }
    finish_if_decided(now, out);
    return out;
}

auto routed_query::group_refused(const running_group& group, const group_outcome& outcome, time_point now,
                                 query_actions& out) -> void {
    state_.admission(*setup_.matched->gather).refused(now);
    refused_wait_ = outcome.retry_after;
    auto may_have_run = !groups_.empty() || std::any_of(shards_.begin(), shards_.end(),
                                                        [](const auto& shard) { return shard.runs > 0; });
    if (!may_have_run) {
        finish(result_code::overloaded, now, out);
        return;
    }
    for (auto position : group.shards) {
        auto& shard = at_position(position);
        shard.settled = true;
        shard.failed_with = result_code::overloaded;
    }
    finish_if_decided(now, out);
}

auto routed_query::cancel_groups(query_actions& out) -> void {
    for (const auto& group : groups_) {
        out.group_cancels.push_back(group.call);
    }
    groups_.clear();
}

}  // namespace eelgrassledge
