#include "wire_conversions.hpp"

namespace eelgrassledge {

namespace {

auto text_of(capnp::Text::Reader text) -> std::string {
    return {text.cStr(), text.size()};
}

auto to_unix_us(time_point at) -> std::int64_t {
    return wall_clock_now() + (at - monotonic_now()).count();
}

auto from_unix_us(std::int64_t at) -> time_point {
    return monotonic_now() + duration{at - wall_clock_now()};
}

auto to_wire_us(duration d) -> std::uint32_t {
    constexpr duration::rep MAX_US = 4'294'967'295;
    return static_cast<std::uint32_t>(std::clamp<duration::rep>(d.count(), 0, MAX_US));
}

/// Fills a Cap'n Proto list from a container, item by item.
template <class Items, class Init, class Convert>
auto fill_list(const Items& items, Init init, Convert conversion) -> void {
    auto list = init(static_cast<unsigned>(items.size()));
    unsigned i = 0;
    for (const auto& item : items) {
        conversion(item, list, i++);
    }
}

auto member_to_wire(const member_info& from, wire::Member::Builder to) -> void {
    to.setInstance(from.instance.value());
    to.setZone(from.zone.value());
    to.setHttpAddress(from.http_address);
    to.setPeerAddress(from.peer_address);
    to.setBroker(from.broker);
    to.setLeaving(from.leaving);
    to.setRevision(from.in_force.value());
}

auto member_from_wire(wire::Member::Reader from) -> member_info {
    return {instance_id{text_of(from.getInstance())},
            zone_id{text_of(from.getZone())},
            text_of(from.getHttpAddress()),
            text_of(from.getPeerAddress()),
            from.getBroker(),
            from.getLeaving(),
            revision{from.getRevision()}};
}

auto assignment_to_wire(const assignment& from, wire::Assignment::Builder to) -> void {
    to.setZone(from.zone.value());
    to.setEpoch(from.number.value());
    to.setReporter(from.reporter.value());
    to.setChangeId(from.change_id);
    fill_list(
        from.members, [&](unsigned n) { return to.initMembers(n); },
        [](const member_info& member, auto& list, unsigned i) { member_to_wire(member, list[i]); });
    fill_list(
        from.owners, [&](unsigned n) { return to.initOwners(n); },
        [](const auto& owner, auto& list, unsigned i) {
            list[i].setUpstream(owner.first.value());
            list[i].setInstance(owner.second.value());
        });
}

auto assignment_from_wire(wire::Assignment::Reader from) -> assignment {
    assignment to;
    to.zone = zone_id{text_of(from.getZone())};
    to.number = epoch{from.getEpoch()};
    to.reporter = instance_id{text_of(from.getReporter())};
    to.change_id = text_of(from.getChangeId());
    for (auto member : from.getMembers()) {
        to.members.push_back(member_from_wire(member));
    }
    for (auto owner : from.getOwners()) {
        to.owners[upstream_id{text_of(owner.getUpstream())}] = instance_id{text_of(owner.getInstance())};
    }
    return to;
}

auto document_to_wire(const document_version& from, wire::Configuration::Builder to) -> void {
    to.setRevision(from.number.value());
    to.setChangeId(from.change_id);
    to.setAuthor(from.author);
    to.setText(from.text);
}

/// Returns nothing if the text does not parse: the daemon then keeps its current document.
auto document_from_wire(wire::Configuration::Reader from) -> std::optional<document_version> {
    document_version to{revision{from.getRevision()}, text_of(from.getChangeId()), text_of(from.getAuthor()),
                        text_of(from.getText()), nullptr};
    auto parsed = parse_document(to.text);
    if (!parsed) {
        return std::nullopt;
    }
    to.parsed = std::make_shared<const document>(std::move(*parsed));
    return to;
}

template <class Owner>
auto suspects_to_wire(const std::vector<suspect_report>& from, Owner to) -> void {
    fill_list(
        from, [&](unsigned n) { return to.initSuspects(n); },
        [](const suspect_report& report, auto& list, unsigned i) {
            list[i].setFingerprint(report.print.value());
            list[i].setStrikes(report.state.strikes);
            list[i].setWithdrawals(report.state.withdrawals);
            list[i].setAgeMs(to_wire_us(report.age / 1000));
        });
}

template <class Owner>
auto suspects_from_wire(Owner from) -> std::vector<suspect_report> {
    std::vector<suspect_report> reports;
    for (auto item : from.getSuspects()) {
        suspicion state{item.getWithdrawals(), item.getStrikes()};
        reports.push_back({fingerprint{item.getFingerprint()}, state, milliseconds{item.getAgeMs()}});
    }
    return reports;
}

auto warm_up_to_wire(const warm_up_report& from, wire::WarmUp::Builder to) -> void {
    to.setUpstream(from.upstream.value());
    to.setStartId(from.state.start.value());
    to.setCompleted(from.state.completed);
    to.setWarm(from.state.warm);
}

auto warm_up_from_wire(wire::WarmUp::Reader from) -> warm_up_report {
    return {upstream_id{text_of(from.getUpstream())},
            {start_id{from.getStartId()}, from.getCompleted(), from.getWarm()}};
}

auto set_text(const upstream_id& name, auto& list, unsigned i) -> void {
    list.set(i, name.value());
}

auto names_of(capnp::List<capnp::Text>::Reader from) -> std::vector<upstream_id> {
    std::vector<upstream_id> names;
    for (auto name : from) {
        names.emplace_back(text_of(name));
    }
    return names;
}

}  // namespace

auto to_wire(const upstream_load& from, wire::Load::Builder to) -> void {
    to.setUpstream(from.upstream.value());
    to.setQueued(from.queued);
    to.setQueuedPriority(from.queued_priority);
    to.setRunning(from.running);
    to.setSlots(from.slots);
    to.setServiceTimeUs(to_wire_us(from.service_time));
    to.setAdmitting(from.admitting);
    to.setWarm(from.warm);
    to.setRatePerS(from.rate_per_s);
    fill_list(
        from.holdings, [&](unsigned n) { return to.initHoldings(n); },
        [](const holding& held, auto& list, unsigned i) {
            list[i].setSnapshot(held.snapshot.value());
            list[i].setShard(held.shard.value());
            list[i].setShardCount(held.shard_count);
        });
}

auto from_wire(wire::Load::Reader from) -> upstream_load {
    upstream_load to;
    to.upstream = upstream_id{text_of(from.getUpstream())};
    to.queued = from.getQueued();
    to.queued_priority = from.getQueuedPriority();
    to.running = from.getRunning();
    to.slots = from.getSlots();
    to.service_time = duration{from.getServiceTimeUs()};
    to.admitting = from.getAdmitting();
    to.warm = from.getWarm();
    to.rate_per_s = from.getRatePerS();
    for (auto held : from.getHoldings()) {
        to.holdings.push_back(
            {snapshot_id{held.getSnapshot()}, shard_index{held.getShard()}, held.getShardCount()});
    }
    return to;
}

auto to_wire(const sub_request& from, wire::SubRequest::Builder to) -> void {
    to.setId(from.key.id.value());
    to.setQuery(from.query.value());
    to.setUpstream(from.upstream.value());
    to.setService(from.service.value());
    to.setPriority(from.priority == lane::priority);
    to.setIdempotent(from.idempotent);
    to.setStartUnixUs(to_unix_us(from.start));
    to.setDeadlineUnixUs(to_unix_us(from.deadline));
    to.setFingerprint(from.print.value());
    to.setSnapshot(from.snapshot.value());
    to.setShard(from.shard.value());
    to.setSlowAfterUs(to_wire_us(from.slow_after));
    to.setCanary(from.canary);
    to.setStrikes(from.strikes);
    to.setPatient(from.patient);
    to.setRequest(from.request.value());
    to.setText(from.text);
    to.setLimit(from.limit);
}

auto from_wire(wire::SubRequest::Reader from, link_id link) -> sub_request {
    sub_request to;
    to.key = {link, sub_request_id{from.getId()}};
    to.query = query_id{from.getQuery()};
    to.upstream = upstream_id{text_of(from.getUpstream())};
    to.service = service_id{text_of(from.getService())};
    to.priority = from.getPriority() ? lane::priority : lane::ordinary;
    to.idempotent = from.getIdempotent();
    to.start = from_unix_us(from.getStartUnixUs());
    to.deadline = from_unix_us(from.getDeadlineUnixUs());
    to.print = fingerprint{from.getFingerprint()};
    to.snapshot = snapshot_id{from.getSnapshot()};
    to.shard = shard_index{from.getShard()};
    to.slow_after = duration{from.getSlowAfterUs()};
    to.canary = from.getCanary();
    to.strikes = from.getStrikes();
    to.patient = from.getPatient();
    to.request = request_id{text_of(from.getRequest())};
    to.text = text_of(from.getText());
    to.limit = from.getLimit();
    return to;
}

auto to_wire(const broker_message& from, wire::SubAnswer::Builder to) -> void {
    const auto& answer = from.answer;
    to.setId(answer.key.id.value());
    to.setSlow(from.slow);
    if (from.slow) {
        return;
    }
    to.setCode(static_cast<std::uint16_t>(answer.code));
    to.setSnapshot(answer.snapshot.value());
    to.setShard(answer.shard.value());
    to.setServiceTimeUs(to_wire_us(answer.service_time));
    to.setStrikes(answer.strikes);
    to.setEarlierSendMayHaveRun(answer.earlier_send_may_have_run);
    fill_list(
        answer.hits, [&](unsigned n) { return to.initHits(n); },
        [](const hit& found, auto& list, unsigned i) {
            list[i].setRecord(found.record);
            list[i].setScore(found.score);
            list[i].setBody(found.body);
        });
    to_wire(answer.load, to.initLoad());
}

auto from_wire(wire::SubAnswer::Reader from) -> broker_message {
    broker_message to;
    to.slow = from.getSlow();
    to.answer.key.id = sub_request_id{from.getId()};
    to.answer.code = to_result_code(from.getCode());
    to.answer.snapshot = snapshot_id{from.getSnapshot()};
    to.answer.shard = shard_index{from.getShard()};
    to.answer.service_time = duration{from.getServiceTimeUs()};
    to.answer.strikes = from.getStrikes();
    to.answer.earlier_send_may_have_run = from.getEarlierSendMayHaveRun();
    for (auto found : from.getHits()) {
        to.answer.hits.push_back({text_of(found.getRecord()), found.getScore(), text_of(found.getBody())});
    }
    to.answer.load = from_wire(from.getLoad());
    return to;
}

auto to_wire(const sync_request& from, wire::SyncRequest::Builder to) -> void {
    member_to_wire(from.from, to.initFrom());
    to.setRevision(from.in_force.value());
    to.setWantGrant(from.wants_grant);
    suspects_to_wire(from.suspects, to);
    fill_list(
        from.epochs, [&](unsigned n) { return to.initEpochs(n); },
        [](const auto& known, auto& list, unsigned i) {
            list[i].setZone(known.first.value());
            list[i].setEpoch(known.second.value());
        });
    fill_list(
        from.warm_ups, [&](unsigned n) { return to.initWarmUps(n); },
        [](const warm_up_report& report, auto& list, unsigned i) { warm_up_to_wire(report, list[i]); });
    fill_list(
        from.busy, [&](unsigned n) { return to.initBusy(n); },
        [](const upstream_id& name, auto& list, unsigned i) { set_text(name, list, i); });
}

auto from_wire(wire::SyncRequest::Reader from) -> sync_request {
    sync_request to;
    to.from = member_from_wire(from.getFrom());
    to.in_force = revision{from.getRevision()};
    to.wants_grant = from.getWantGrant();
    to.suspects = suspects_from_wire(from);
    for (auto known : from.getEpochs()) {
        to.epochs[zone_id{text_of(known.getZone())}] = epoch{known.getEpoch()};
    }
    for (auto report : from.getWarmUps()) {
        to.warm_ups.push_back(warm_up_from_wire(report));
    }
    to.busy = names_of(from.getBusy());
    return to;
}

auto to_wire(const sync_reply& from, wire::SyncReply::Builder to) -> void {
    to.setFrom(from.from.value());
    to.setIsReporter(from.is_reporter);
    to.setReporterPeerAddress(from.reporter_address);
    to.setGrantUs(to_wire_us(from.grant));
    to.setZoneEpoch(from.zone_epoch.value());
    if (from.document) {
        document_to_wire(*from.document, to.initConfiguration());
    }
    suspects_to_wire(from.suspects, to);
    fill_list(
        from.assignments, [&](unsigned n) { return to.initAssignments(n); },
        [](const assignment& value, auto& list, unsigned i) { assignment_to_wire(value, list[i]); });
    fill_list(
        from.inherited, [&](unsigned n) { return to.initInherited(n); },
        [](const warm_up_report& report, auto& list, unsigned i) { warm_up_to_wire(report, list[i]); });
    fill_list(
        from.withheld, [&](unsigned n) { return to.initWithheld(n); },
        [](const upstream_id& name, auto& list, unsigned i) { set_text(name, list, i); });
    fill_list(
        from.leaving_upstreams, [&](unsigned n) { return to.initLeavingUpstreams(n); },
        [](const upstream_id& name, auto& list, unsigned i) { set_text(name, list, i); });
}

auto from_wire(wire::SyncReply::Reader from) -> sync_reply {
    sync_reply to;
    to.from = instance_id{text_of(from.getFrom())};
    to.is_reporter = from.getIsReporter();
    to.reporter_address = text_of(from.getReporterPeerAddress());
    to.grant = duration{from.getGrantUs()};
    to.zone_epoch = epoch{from.getZoneEpoch()};
    if (from.hasConfiguration()) {
        to.document = document_from_wire(from.getConfiguration());
    }
    to.suspects = suspects_from_wire(from);
    for (auto value : from.getAssignments()) {
        to.assignments.push_back(assignment_from_wire(value));
    }
    for (auto report : from.getInherited()) {
        to.inherited.push_back(warm_up_from_wire(report));
    }
    to.withheld = names_of(from.getWithheld());
    to.leaving_upstreams = names_of(from.getLeavingUpstreams());
    return to;
}

}  // namespace eelgrassledge
