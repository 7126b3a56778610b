// Store operations of the zone coordinator: the election of the zone's reporter, and the reporter's reads and
// writes.

#include <algorithm>

#include "eelgrassledge/membership/zone_coordinator.hpp"

namespace eelgrassledge {

namespace {

/// Time between two steps of an election.
constexpr duration ELECTION_STEP_INTERVAL = milliseconds{300};
/// Longest time between two attempts to read the reporter's key while the store does not answer, without
/// jitter.
constexpr duration MAX_ELECTION_BACKOFF = seconds{4};
/// Time for which a leaving reporter continues to grant authority after it has handed over its upstreams.
constexpr duration HANDOVER_GRANT_PERIOD = milliseconds{1000};
/// Minimum time between two changes of a zone's assignment.
constexpr duration ASSIGNMENT_INTERVAL = milliseconds{300};
/// Number of renewals of a lease within its time to live.
constexpr int KEEP_ALIVES_PER_LEASE = 3;

}  // namespace

auto zone_coordinator::next_store_op(time_point now) -> std::optional<store_op> {
    return role_ == role::reporter ? next_reporter_op(now) : next_follower_op(now);
}

auto zone_coordinator::next_follower_op(time_point now) -> std::optional<store_op> {
    if (candidate_lease_ && check_candidate_ && now >= next_election_step_) {
        next_election_step_ = now + ELECTION_STEP_INTERVAL;
        return read_reporter_op{};
    }
    if (self_.leaving || last_reporter_contact_ + times_.reporter_timeout > now ||
        now < next_election_step_) {
        return std::nullopt;
    }
    next_election_step_ = now + ELECTION_STEP_INTERVAL + jitter(ELECTION_STEP_INTERVAL);
    if (!document_) {
        if (now >= next_read_) {
            next_read_ = now + times_.reread_interval;
            return read_shared_op{};
        }
    }
    if (!reporter_key_absent_) {
        return read_reporter_op{};
    }
    if (!candidate_lease_) {
        return grant_lease_op{};
    }
    return create_reporter_op{*candidate_lease_, to_json(self_)};
}

auto zone_coordinator::next_reporter_op(time_point now) -> std::optional<store_op> {
    if (now >= next_keep_alive_) {
        next_keep_alive_ = now + times_.lease_ttl / KEEP_ALIVES_PER_LEASE;
        return keep_alive_op{*lease_};
    }
    if (unconfirmed_write_ || !assignment_current_ || now >= next_read_) {
        next_read_ = now + times_.reread_interval;
        return read_shared_op{};
    }
    if (!lease_valid(now)) {
        return std::nullopt;
    }
    erase_completed_releases(now);
    if (now >= next_assignment_write_ && predecessor_grants_expired(now)) {
        if (auto required = required_assignment(now)) {
            next_assignment_write_ = now + ASSIGNMENT_INTERVAL;
            return write_assignment_op{*required, assignment_modified_};
        }
    }
    return may_step_down(now) ? std::optional<store_op>{revoke_op{*lease_}} : std::nullopt;
}

// A leaving reporter keeps its role until every member has received the current assignment, and then for
// HANDOVER_GRANT_PERIOD, so that the new owners can complete the warm-up of their upstreams.
auto zone_coordinator::may_step_down(time_point now) -> bool {
    auto handed_over =
        self_.leaving && !owns_any(self_.instance) && pending_releases_.empty() && outdated_members().empty();
    if (!handed_over) {
        handed_over_since_.reset();
        return false;
    }
    if (!handed_over_since_) {
        handed_over_since_ = now;
    }
    return now >= *handed_over_since_ + HANDOVER_GRANT_PERIOD;
}

auto zone_coordinator::required_assignment(time_point now) -> std::optional<assignment> {
    if (!document_) {
        return std::nullopt;
    }
    auto members = live_members(now);
    const auto& current = assignments_[self_.zone];
    auto owners = assign_upstreams(*document_->parsed, self_.zone, members, current.owners);
    auto same_members = std::ranges::equal(members, current.members, [](const auto& a, const auto& b) {
        return a.instance == b.instance && a.peer_address == b.peer_address && a.leaving == b.leaving;
    });
    if (same_members && owners == current.owners && current.reporter == self_.instance) {
        return std::nullopt;
    }
    assignment required;
    required.zone = self_.zone;
    required.number = epoch{current.number.value() + 1};
    required.reporter = self_.instance;
    required.change_id =
        self_.instance.value() + "/" + std::to_string(jitter(duration{1'000'000'000'000}).count());
    required.members = std::move(members);
    required.owners = std::move(owners);
    return required;
}

auto zone_coordinator::on_store_reply(const store_op& op, const result<store_reply>& reply, time_point sent,
                                      time_point now) -> void {
    if (std::holds_alternative<read_shared_op>(op)) {
        if (reply) {
            on_shared_keys(reply->keys);
            assignment_current_ = assignment_current_ || role_ == role::reporter;
            unconfirmed_write_.reset();
        }
    } else if (std::holds_alternative<read_reporter_op>(op)) {
        if (reply) {
            election_backoff_ = ELECTION_STEP_INTERVAL;
            on_reporter_read(*reply, now);
        } else {
            election_backoff_ = std::min(election_backoff_ * 2, MAX_ELECTION_BACKOFF);
            next_election_step_ = now + election_backoff_ + jitter(election_backoff_);
        }
    } else if (std::holds_alternative<grant_lease_op>(op)) {
        if (reply) {
            candidate_lease_ = reply->lease;
            candidate_sent_ = sent;
            next_election_step_ = now;
        }
    } else if (const auto* create = std::get_if<create_reporter_op>(&op)) {
        on_reporter_created(*create, reply, now);
    } else if (std::holds_alternative<keep_alive_op>(op)) {
        on_lease_renewed(reply, sent, now);
    } else if (const auto* write = std::get_if<write_assignment_op>(&op)) {
        on_assignment_written(*write, reply, now);
    } else if (std::holds_alternative<revoke_op>(op) && reply) {
        step_down(now);
    }
}

auto zone_coordinator::on_reporter_read(const store_reply& reply, time_point now) -> void {
    reporter_key_absent_ = reply.keys.empty();
    if (reply.keys.empty()) {
        candidate_lease_.reset();
        check_candidate_ = false;
        next_election_step_ = now + jitter(ELECTION_STEP_INTERVAL);
        return;
    }
    auto holder = member_from_json(reply.keys.front().value);
    if (!holder) {
        return;
    }
    if (holder->instance == self_.instance && candidate_lease_ && check_candidate_) {
        become_reporter(*candidate_lease_, candidate_sent_, now);
        return;
    }
    check_candidate_ = false;
    candidate_lease_.reset();
    if (holder->instance != self_.instance) {
        reporter_address_ = holder->peer_address;
        next_sync_[reporter_address_] = now;
    }
}

auto zone_coordinator::on_reporter_created(const create_reporter_op& op, const result<store_reply>& reply,
                                           time_point now) -> void {
    if (reply && reply->put.succeeded) {
        become_reporter(op.lease, candidate_sent_, now);
        return;
    }
    if (!reply && reply.error().code == result_code::store_unclear) {
        check_candidate_ = true;
        return;
    }
    reporter_key_absent_ = false;
    if (reply) {
        candidate_lease_.reset();
    }
}

auto zone_coordinator::become_reporter(lease_id lease, time_point sent, time_point now) -> void {
    role_ = role::reporter;
    lease_ = lease;
    lease_until_ = sent + times_.lease_ttl - times_.clock_margin;
    next_keep_alive_ = now;
    reporter_since_ = now;
    next_read_ = now;
    assignment_current_ = false;
    unconfirmed_write_.reset();
    candidate_lease_.reset();
    check_candidate_ = false;
    members_.clear();
    pending_releases_.clear();
    withheld_.clear();
    reporter_address_ = self_.peer_address;
    ++version_;
}

auto zone_coordinator::step_down(time_point now) -> void {
    role_ = role::follower;
    lease_.reset();
    lease_until_ = time_point{};
    authority_until_ = time_point{};
    reporter_address_.clear();
    last_reporter_contact_ = time_point{};
    reporter_key_absent_ = false;
    next_election_step_ = now + jitter(ELECTION_STEP_INTERVAL);
    ++version_;
}

auto zone_coordinator::on_lease_renewed(const result<store_reply>& reply, time_point sent, time_point now)
    -> void {
    if (!reply) {
        next_keep_alive_ = std::min(next_keep_alive_, now + ELECTION_STEP_INTERVAL);
        return;
    }
    if (reply->time_to_live.count() <= 0) {
        step_down(now);
        return;
    }
    auto time_to_live = std::min<duration>(times_.lease_ttl, reply->time_to_live);
    auto had_expired = now >= lease_until_;
    lease_until_ = sent + time_to_live - times_.clock_margin;
    if (had_expired) {
        reporter_since_ = now;
        ++version_;
    }
}

auto zone_coordinator::on_assignment_written(const write_assignment_op& op, const result<store_reply>& reply,
                                             time_point now) -> void {
    if (!reply) {
        unconfirmed_write_ = op.value;
        next_read_ = now + ELECTION_STEP_INTERVAL;
        return;
    }
    if (!reply->put.succeeded) {
        assignment_current_ = false;
        return;
    }
    assignment_modified_ = reply->put.modified;
    update_assignment(op.value);
}

auto zone_coordinator::on_shared_keys(const std::vector<key_value>& keys) -> void {
    for (const auto& item : keys) {
        if (item.key == store_keys::DOCUMENT) {
            if (auto version = document_version_from_json(item.value)) {
                update_document(*version);
            }
        } else if (item.key.starts_with(store_keys::ASSIGNMENTS)) {
            auto value = assignment_from_json(item.value);
            if (!value) {
                continue;
            }
            if (value->zone == self_.zone) {
                assignment_modified_ = std::max(assignment_modified_, item.modified);
            }
            update_assignment(*value);
        }
    }
}

auto zone_coordinator::on_instance_list(std::vector<upstream_id> leaving) -> void {
    if (leaving != leaving_upstreams_) {
        leaving_upstreams_ = std::move(leaving);
        ++version_;
    }
}

}  // namespace eelgrassledge
