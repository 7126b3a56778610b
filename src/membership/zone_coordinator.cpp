#include "eelgrassledge/membership/zone_coordinator.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Pause between two steps of an election.
constexpr duration ELECTION_STEP = milliseconds{300};
/// Longest pause between two tries to read the reporter's key while the store does not answer.
constexpr duration LONGEST_ELECTION_PAUSE = seconds{4};
/// Time for which a leaving reporter goes on granting authority after it has handed everything over.
constexpr duration HAND_OVER_LINGER = milliseconds{1000};
/// Least time between two changes of a zone's assignment.
constexpr duration ASSIGNMENT_INTERVAL = milliseconds{300};
/// Time between syncs with other zones' reporters and with seeds.
constexpr duration RELAY_INTERVAL = milliseconds{1000};
/// Time between two calls by which a reporter asks a member to sync at once.
constexpr duration NUDGE_INTERVAL = milliseconds{100};
/// A lease is renewed this often within its time to live.
constexpr int KEEP_ALIVES_PER_LEASE = 3;

}  // namespace

zone_coordinator::zone_coordinator(member_info self, coordinator_times times,
                                   std::vector<std::string> seed_peers, std::uint64_t random_seed)
    : self_(std::move(self)),
      times_(times),
      seed_peers_(std::move(seed_peers)),
      random_state_(random_seed | 1U) {}

auto zone_coordinator::jitter(duration upto) -> duration {
    random_state_ ^= random_state_ << 13U;
    random_state_ ^= random_state_ >> 7U;
    random_state_ ^= random_state_ << 17U;
    return duration{static_cast<duration::rep>(random_state_ % static_cast<std::uint64_t>(upto.count() + 1))};
}

auto zone_coordinator::lease_valid(time_point now) const -> bool {
    return role_ == role::reporter && now < lease_until_;
}

// A new reporter waits until its predecessor's authority has run out even if the store ended that lease
// early.
auto zone_coordinator::settled(time_point now) const -> bool {
    return now >= became_reporter_ + times_.lease_ttl + times_.clock_margin;
}

auto zone_coordinator::grant_for(time_point now) const -> duration {
    if (!lease_valid(now) || !settled(now) || !assignment_current_) {
        return duration{0};
    }
    return std::min(times_.grant, lease_until_ - now);
}

// ---- elections and the store ----

auto zone_coordinator::next_store_op(time_point now) -> std::optional<store_op> {
    return role_ == role::reporter ? next_reporter_op(now) : next_follower_op(now);
}

auto zone_coordinator::next_follower_op(time_point now) -> std::optional<store_op> {
    if (candidate_lease_ && check_candidate_ && now >= next_election_step_) {
        next_election_step_ = now + ELECTION_STEP;
        return read_reporter_op{};
    }
    if (self_.leaving || reporter_heard_ + times_.reporter_timeout > now || now < next_election_step_) {
        return std::nullopt;
    }
    next_election_step_ = now + ELECTION_STEP + jitter(ELECTION_STEP);
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
        return grant_op{};
    }
    return create_reporter_op{*candidate_lease_, to_json(self_)};
}

auto zone_coordinator::next_reporter_op(time_point now) -> std::optional<store_op> {
    if (now >= next_keep_alive_) {
        next_keep_alive_ = now + times_.lease_ttl / KEEP_ALIVES_PER_LEASE;
        return keep_alive_op{*lease_};
    }
    if (unclear_write_ || !assignment_current_ || now >= next_read_) {
        next_read_ = now + times_.reread_interval;
        return read_shared_op{};
    }
    if (!lease_valid(now)) {
        return std::nullopt;
    }
    settle_releases(now);
    if (now >= next_assignment_write_ && settled(now)) {
        if (auto wanted = wanted_assignment(now)) {
            next_assignment_write_ = now + ASSIGNMENT_INTERVAL;
            return write_assignment_op{*wanted, assignment_modified_};
        }
    }
    return may_step_down(now) ? std::optional<store_op>{revoke_op{*lease_}} : std::nullopt;
}

// A leaving reporter stays until its successors know of what they own, and for as long as they need to prove
// it warm.
auto zone_coordinator::may_step_down(time_point now) -> bool {
    auto handed_over = self_.leaving && !owns_any(self_.instance) && pending_releases_.empty() &&
                       uninformed_members().empty();
    if (!handed_over) {
        handed_over_since_.reset();
        return false;
    }
    if (!handed_over_since_) {
        handed_over_since_ = now;
    }
    return now >= *handed_over_since_ + HAND_OVER_LINGER;
}

auto zone_coordinator::wanted_assignment(time_point now) -> std::optional<assignment> {
    if (!document_) {
        return std::nullopt;
    }
    auto members = live_members(now);
    const auto& before = assignments_[self_.zone];
    auto owners = assign_upstreams(*document_->parsed, self_.zone, members, before.owners);
    auto same_members = std::ranges::equal(members, before.members, [](const auto& a, const auto& b) {
        return a.instance == b.instance && a.peer_address == b.peer_address && a.leaving == b.leaving;
    });
    if (same_members && owners == before.owners && before.reporter == self_.instance) {
        return std::nullopt;
    }
    assignment wanted;
    wanted.zone = self_.zone;
    wanted.number = epoch{before.number.value() + 1};
    wanted.reporter = self_.instance;
    wanted.change_id =
        self_.instance.value() + "/" + std::to_string(jitter(duration{1'000'000'000'000}).count());
    wanted.members = std::move(members);
    wanted.owners = std::move(owners);
    return wanted;
}

auto zone_coordinator::on_store(const store_op& op, const result<store_reply>& reply, time_point sent,
                                time_point now) -> void {
    if (std::holds_alternative<read_shared_op>(op)) {
        if (reply) {
            on_shared_keys(reply->keys);
            assignment_current_ = assignment_current_ || role_ == role::reporter;
            unclear_write_.reset();
        }
    } else if (std::holds_alternative<read_reporter_op>(op)) {
        if (reply) {
            election_pause_ = ELECTION_STEP;
            on_read_reporter(*reply, now);
        } else {
            election_pause_ = std::min(election_pause_ * 2, LONGEST_ELECTION_PAUSE);
            next_election_step_ = now + election_pause_ + jitter(election_pause_);
        }
    } else if (std::holds_alternative<grant_op>(op)) {
        if (reply) {
            candidate_lease_ = reply->lease;
            candidate_sent_ = sent;
            next_election_step_ = now;
        }
    } else if (const auto* create = std::get_if<create_reporter_op>(&op)) {
        on_created_reporter(*create, reply, now);
    } else if (std::holds_alternative<keep_alive_op>(op)) {
        on_kept_alive(reply, sent, now);
    } else if (const auto* write = std::get_if<write_assignment_op>(&op)) {
        on_put_assignment(*write, reply, now);
    } else if (std::holds_alternative<revoke_op>(op) && reply) {
        step_down(now);
    }
}

auto zone_coordinator::on_read_reporter(const store_reply& reply, time_point now) -> void {
    reporter_key_absent_ = reply.keys.empty();
    if (reply.keys.empty()) {
        candidate_lease_.reset();
        check_candidate_ = false;
        next_election_step_ = now + jitter(ELECTION_STEP);
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
        sync_due_[reporter_address_] = now;
    }
}

auto zone_coordinator::on_created_reporter(const create_reporter_op& op, const result<store_reply>& reply,
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
    became_reporter_ = now;
    next_read_ = now;
    assignment_current_ = false;
    unclear_write_.reset();
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
    granted_until_ = time_point{};
    reporter_address_.clear();
    reporter_heard_ = time_point{};
    reporter_key_absent_ = false;
    next_election_step_ = now + jitter(ELECTION_STEP);
    ++version_;
}

auto zone_coordinator::on_kept_alive(const result<store_reply>& reply, time_point sent, time_point now)
    -> void {
    if (!reply) {
        next_keep_alive_ = std::min(next_keep_alive_, now + ELECTION_STEP);
        return;
    }
    if (reply->time_to_live.count() <= 0) {
        step_down(now);
        return;
    }
    auto confirmed = std::min<duration>(times_.lease_ttl, reply->time_to_live);
    auto resumed = now >= lease_until_;
    lease_until_ = sent + confirmed - times_.clock_margin;
    if (resumed) {
        became_reporter_ = now;
        ++version_;
    }
}

auto zone_coordinator::on_put_assignment(const write_assignment_op& op, const result<store_reply>& reply,
                                         time_point now) -> void {
    if (!reply) {
        unclear_write_ = op.value;
        next_read_ = now + ELECTION_STEP;
        return;
    }
    if (!reply->put.succeeded) {
        assignment_current_ = false;
        return;
    }
    assignment_modified_ = reply->put.modified;
    offer_assignment(op.value);
}

auto zone_coordinator::on_shared_keys(const std::vector<key_value>& keys) -> void {
    for (const auto& item : keys) {
        if (item.key == store_keys::DOCUMENT) {
            if (auto version = document_version_from_json(item.value)) {
                offer_document(*version);
            }
        } else if (item.key.starts_with(store_keys::ASSIGNMENTS)) {
            auto value = assignment_from_json(item.value);
            if (!value) {
                continue;
            }
            if (value->zone == self_.zone) {
                assignment_modified_ = std::max(assignment_modified_, item.modified);
            }
            offer_assignment(*value);
        }
    }
}

auto zone_coordinator::on_instance_list(std::vector<upstream_id> leaving) -> void {
    if (leaving != leaving_upstreams_) {
        leaving_upstreams_ = std::move(leaving);
        ++version_;
    }
}

// ---- what is in force ----

auto zone_coordinator::offer_document(const document_version& version) -> void {
    if (document_ && version.number <= document_->number) {
        return;
    }
    document_ = version;
    self_.in_force = version.number;
    ++version_;
}

auto zone_coordinator::offer_assignment(const assignment& value) -> void {
    auto& current = assignments_[value.zone];
    if (value.number <= current.number) {
        return;
    }
    if (value.zone == self_.zone) {
        note_releases(current, value);
    }
    current = value;
    ++version_;
}

auto zone_coordinator::note_releases(const assignment& before, const assignment& after) -> void {
    for (const auto& [upstream, owner] : after.owners) {
        auto previous = before.owners.find(upstream);
        if (previous == before.owners.end() || previous->second == owner) {
            continue;
        }
        if (role_ == role::reporter && !pending_releases_.contains(upstream)) {
            pending_releases_[upstream] = {previous->second, after.number};
        }
        if (owner == self_.instance) {
            withheld_.insert(upstream);
        }
    }
}

auto zone_coordinator::settle_releases(time_point now) -> void {
    auto released = [&](const auto& item) {
        const auto& [upstream, pending] = item;
        if (pending.previous == self_.instance) {
            return std::ranges::find(own_busy_, upstream) == own_busy_.end();
        }
        auto member = members_.find(pending.previous);
        if (member == members_.end()) {
            return settled(now);
        }
        if (member->second.granted_until + times_.clock_margin <= now) {
            return true;
        }
        auto known = member->second.epochs.find(self_.zone);
        auto informed = known != member->second.epochs.end() && known->second >= pending.since;
        return informed && !member->second.busy.contains(upstream);
    };
    auto before = pending_releases_.size();
    std::erase_if(pending_releases_, released);
    if (pending_releases_.size() != before) {
        ++version_;
    }
}

auto zone_coordinator::withheld_from(const instance_id& member) const -> std::vector<upstream_id> {
    std::vector<upstream_id> names;
    auto zone = assignments_.find(self_.zone);
    if (zone == assignments_.end()) {
        return names;
    }
    for (const auto& [upstream, pending] : pending_releases_) {
        auto owner = zone->second.owners.find(upstream);
        if (owner != zone->second.owners.end() && owner->second == member) {
            names.push_back(upstream);
        }
    }
    return names;
}

auto zone_coordinator::owns_any(const instance_id& member) const -> bool {
    auto zone = assignments_.find(self_.zone);
    return zone != assignments_.end() &&
           std::ranges::any_of(zone->second.owners, [&](const auto& item) { return item.second == member; });
}

auto zone_coordinator::released() const -> bool {
    if (owns_any(self_.instance) || role_ == role::reporter) {
        return false;
    }
    return true;
}

auto zone_coordinator::authority(const upstream_id& upstream, time_point now) const -> send_authority {
    auto zone = assignments_.find(self_.zone);
    if (zone == assignments_.end()) {
        return {};
    }
    auto owner = zone->second.owners.find(upstream);
    if (owner == zone->second.owners.end() || owner->second != self_.instance) {
        return {};
    }
    if (role_ == role::reporter) {
        auto confirmed = settled(now) && assignment_current_ && !pending_releases_.contains(upstream);
        return {true, confirmed ? lease_until_ : time_point{}};
    }
    return {true, withheld_.contains(upstream) ? time_point{} : granted_until_};
}

auto zone_coordinator::inherited(const upstream_id& upstream) const -> std::optional<warm_up_state> {
    if (role_ == role::reporter) {
        auto known = warm_ups_.find(upstream);
        return known == warm_ups_.end() ? std::nullopt : std::optional{known->second.state};
    }
    auto found = inherited_.find(upstream);
    return found == inherited_.end() ? std::nullopt : std::optional{found->second};
}

auto zone_coordinator::leave() -> void {
    self_.leaving = true;
    ++version_;
}

auto zone_coordinator::report_warm_ups(std::vector<warm_up_report> reports) -> void {
    own_warm_ups_ = std::move(reports);
    if (role_ == role::reporter) {
        for (const auto& report : own_warm_ups_) {
            warm_ups_[report.upstream] = {report.state, self_.instance};
        }
    }
}

auto zone_coordinator::report_busy(std::vector<upstream_id> busy) -> void {
    own_busy_ = std::move(busy);
}

auto zone_coordinator::report_suspect(fingerprint print, const suspicion& state, time_point now) -> void {
    merge_suspects({{print, state, duration{0}}}, now);
}

auto zone_coordinator::suspects(time_point now) const -> std::vector<suspect_report> {
    std::vector<suspect_report> reports;
    for (const auto& [print, entry] : suspects_) {
        if (now - entry.since < SUSPECT_LIFETIME) {
            reports.push_back({print, entry.state, now - entry.since});
        }
    }
    return reports;
}

auto zone_coordinator::merge_suspects(const std::vector<suspect_report>& reports, time_point now) -> void {
    for (const auto& report : reports) {
        auto [known, is_new] = suspects_.try_emplace(report.print);
        auto state = merged(known->second.state, report.state);
        if (is_new || state != known->second.state) {
            known->second = {state, now - report.age};
            ++version_;
        }
    }
    std::erase_if(suspects_, [&](const auto& item) { return now - item.second.since >= SUSPECT_LIFETIME; });
}

// ---- syncs ----

auto zone_coordinator::live_members(time_point now) const -> std::vector<member_info> {
    std::vector<member_info> live{self_};
    for (const auto& [name, member] : members_) {
        auto silent = now - member.last_sync > times_.member_timeout;
        auto still_granted = member.granted_until + times_.clock_margin > now;
        if (name != self_.instance && (!silent || still_granted)) {
            live.push_back(member.info);
        }
    }
    std::ranges::sort(live, {}, &member_info::instance);
    return live;
}

auto zone_coordinator::members(time_point now) const -> std::vector<member_info> {
    if (role_ == role::reporter) {
        return live_members(now);
    }
    auto zone = assignments_.find(self_.zone);
    return zone == assignments_.end() ? std::vector<member_info>{self_} : zone->second.members;
}

auto zone_coordinator::reporter_addresses() const -> std::vector<std::string> {
    std::vector<std::string> addresses;
    for (const auto& [zone, value] : assignments_) {
        for (const auto& member : value.members) {
            if (zone != self_.zone && member.instance == value.reporter) {
                addresses.push_back(member.peer_address);
            }
        }
    }
    return addresses;
}

auto zone_coordinator::uninformed_members() const -> std::vector<std::string> {
    std::vector<std::string> addresses;
    auto zone = assignments_.find(self_.zone);
    auto current = zone == assignments_.end() ? epoch{} : zone->second.number;
    auto newest = document_ ? document_->number : revision{};
    for (const auto& [name, member] : members_) {
        auto known = member.epochs.find(self_.zone);
        auto behind = known == member.epochs.end() || known->second < current;
        if (behind || member.info.in_force < newest) {
            addresses.push_back(member.info.peer_address);
        }
    }
    return addresses;
}

auto zone_coordinator::sync_interval_to(const std::string& address) const -> duration {
    if (role_ == role::follower) {
        return address == reporter_address_ ? times_.sync_interval : RELAY_INTERVAL;
    }
    auto is_member = std::ranges::any_of(
        members_, [&](const auto& item) { return item.second.info.peer_address == address; });
    return is_member ? NUDGE_INTERVAL : RELAY_INTERVAL;
}

auto zone_coordinator::due_syncs(time_point now) -> std::vector<std::string> {
    auto lost = role_ == role::follower && reporter_heard_ + times_.reporter_timeout <= now;
    std::vector<std::string> wanted;
    if (role_ == role::reporter) {
        wanted = reporter_addresses();
        std::ranges::copy(uninformed_members(), std::back_inserter(wanted));
    } else if (!reporter_address_.empty()) {
        wanted.push_back(reporter_address_);
    }
    if (lost || !document_) {
        std::ranges::copy(seed_peers_, std::back_inserter(wanted));
        auto zone = assignments_.find(self_.zone);
        if (zone != assignments_.end()) {
            for (const auto& member : zone->second.members) {
                wanted.push_back(member.peer_address);
            }
        }
        std::ranges::copy(reporter_addresses(), std::back_inserter(wanted));
    }
    std::vector<std::string> due;
    for (const auto& address : wanted) {
        auto& at = sync_due_[address];
        if (address == self_.peer_address || at > now) {
            continue;
        }
        at = now + sync_interval_to(address);
        due.push_back(address);
    }
    return due;
}

auto zone_coordinator::make_sync_request(time_point now) const -> sync_request {
    sync_request request;
    request.from = self_;
    request.in_force = document_ ? document_->number : revision{};
    for (const auto& [zone, value] : assignments_) {
        request.epochs[zone] = value.number;
    }
    request.wants_grant = role_ == role::follower;
    request.warm_ups = own_warm_ups_;
    request.suspects = suspects(now);
    request.busy = own_busy_;
    return request;
}

auto zone_coordinator::fill_news(const sync_request& request, sync_reply& reply) const -> void {
    if (document_ && document_->number > request.in_force) {
        reply.document = document_;
    }
    for (const auto& [zone, value] : assignments_) {
        auto known = request.epochs.find(zone);
        if (value.number > epoch{} && (known == request.epochs.end() || known->second < value.number)) {
            reply.assignments.push_back(value);
        }
    }
}

auto zone_coordinator::has_news(const sync_request& request) const -> bool {
    auto zone = assignments_.find(self_.zone);
    auto own = zone == assignments_.end() ? epoch{} : zone->second.number;
    auto theirs = request.epochs.find(self_.zone);
    auto newer_epoch = theirs != request.epochs.end() && theirs->second > own;
    return newer_epoch || request.in_force > (document_ ? document_->number : revision{});
}

auto zone_coordinator::note_member(const sync_request& request, time_point now) -> void {
    auto& member = members_[request.from.instance];
    member.info = request.from;
    member.info.in_force = request.in_force;
    member.last_sync = now;
    member.epochs = request.epochs;
    member.busy = {request.busy.begin(), request.busy.end()};
    for (const auto& report : request.warm_ups) {
        warm_ups_[report.upstream] = {report.state, request.from.instance};
    }
}

auto zone_coordinator::fill_for_member(const sync_request& request, sync_reply& reply, time_point now)
    -> void {
    settle_releases(now);
    auto& member = members_[request.from.instance];
    reply.grant = grant_for(now);
    reply.zone_epoch = assignments_[self_.zone].number;
    member.granted_until = std::max(member.granted_until, now + reply.grant);
    reply.withheld = withheld_from(request.from.instance);
    for (const auto& [upstream, owner] : assignments_[self_.zone].owners) {
        auto known = warm_ups_.find(upstream);
        if (owner == request.from.instance && known != warm_ups_.end() &&
            known->second.reported_by != request.from.instance) {
            reply.inherited.push_back({upstream, known->second.state});
        }
    }
    reply.leaving_upstreams = leaving_upstreams_;
}

auto zone_coordinator::on_sync_request(const sync_request& request, time_point now) -> sync_reply {
    merge_suspects(request.suspects, now);
    if (role_ == role::follower && has_news(request)) {
        sync_due_[reporter_address_] = now;
    }
    sync_reply reply;
    reply.from = self_.instance;
    reply.is_reporter = role_ == role::reporter && request.from.zone == self_.zone;
    reply.reporter_address = request.from.zone == self_.zone ? reporter_address_ : std::string{};
    reply.suspects = suspects(now);
    if (reply.is_reporter && request.wants_grant) {
        note_member(request, now);
        fill_for_member(request, reply, now);
    }
    fill_news(request, reply);
    return reply;
}

auto zone_coordinator::on_sync_reply(const std::string& address, const sync_reply& reply, time_point sent,
                                     time_point now) -> void {
    merge_suspects(reply.suspects, now);
    if (reply.document) {
        offer_document(*reply.document);
    }
    for (const auto& value : reply.assignments) {
        offer_assignment(value);
    }
    if (role_ == role::reporter) {
        return;
    }
    if (!reply.is_reporter) {
        if (address == reporter_address_) {
            reporter_address_.clear();
            reporter_heard_ = std::min(reporter_heard_, now - times_.reporter_timeout);
        }
        if (reporter_heard_ + times_.reporter_timeout <= now && !reply.reporter_address.empty()) {
            reporter_address_ = reply.reporter_address;
        }
        return;
    }
    reporter_address_ = address;
    reporter_heard_ = now;
    auto own_epoch = assignments_[self_.zone].number;
    if (reply.grant > duration{0} && reply.zone_epoch >= own_epoch) {
        granted_until_ = std::max(granted_until_, sent + reply.grant);
        withheld_ = {reply.withheld.begin(), reply.withheld.end()};
    }
    for (const auto& report : reply.inherited) {
        inherited_[report.upstream] = report.state;
    }
    if (leaving_upstreams_ != reply.leaving_upstreams) {
        leaving_upstreams_ = reply.leaving_upstreams;
    }
    ++version_;
}

auto zone_coordinator::on_sync_failed(const std::string& address, time_point now) -> void {
    if (address == reporter_address_ && reporter_heard_ + times_.reporter_timeout <= now) {
        reporter_address_.clear();
    }
}

}  // namespace eelgrassledge
