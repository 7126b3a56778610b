// Part of `forwarder` that talks to upstreams and other instances: connections, requests and their results.

#include <fmt/format.h>

#include <algorithm>

#include "eelgrassledge/proxy/forwarder.hpp"
#include "eelgrassledge/proxy/peer_protocol.hpp"

namespace eelgrassledge {

namespace {

/// Fraction of an upstream's connections that are divided among the instances. The rest is left for instances
/// that have just started and are not counted yet, and for those that run no queries for others.
constexpr double CONNECTION_SHARE = 0.85;

/// Another instance must confirm a query within the latency objective divided by this number, within bounds
/// that allow for the round trip to another zone and for a moment in which that instance gets no processor
/// time.
constexpr int CONFIRM_DIVISOR = 4;
constexpr duration MIN_CONFIRM_TIMEOUT = milliseconds{15};
constexpr duration MAX_CONFIRM_TIMEOUT = milliseconds{60};

/// Timeout of a probe that tests whether a zone can be reached.
constexpr duration ZONE_PROBE_TIMEOUT = milliseconds{300};

/// Connect timeout when testing whether an upstream still accepts connections.
constexpr std::chrono::milliseconds CRASH_PROBE_TIMEOUT{300};

/// HTTP statuses with which an upstream refuses a request, and may say for how long it wants no other.
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int SERVICE_UNAVAILABLE = 503;

/// HTTP status with which an upstream rejects a request that is addressed to another one.
constexpr int MISDIRECTED_REQUEST = 421;

}  // namespace

auto forwarder::record_crash_evidence(const running_send& sent, const attempt_outcome& outcome) -> void {
    auto now = monotonic_now();
    if (outcome.end == attempt_end::answered && is_success(outcome.reply)) {
        suspects_.succeeded(sent.details.print, sent.details.service);
    } else if (outcome.end == attempt_end::unclear) {
        suspects_.connection_broke(sent.details, now);
        probe_for_crash(sent.to);
    }
}

auto forwarder::probe_for_crash(const shared_upstream& to) -> void {
    auto id = to->id();
    auto remote = parse_endpoint(to->record().address);
    if (!remote || !crash_probes_.insert(id).second) {
        return;
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(network_.loop);
    auto timer = std::make_shared<asio::steady_timer>(network_.loop, CRASH_PROBE_TIMEOUT);
    timer->async_wait([socket](const asio::error_code& cancelled) {
        if (!cancelled) {
            asio::error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect(*remote, [this, id, socket, timer](const asio::error_code& fault) {
        timer->cancel();
        crash_probes_.erase(id);
        if (fault == asio::error::connection_refused) {
            suspects_.crashed(id, monotonic_now());
        }
    });
}

auto forwarder::send_group(query_number number, const running_query& query, const group_order& order)
    -> void {
    auto now = monotonic_now();
    const auto& setup = query.decisions->setup();
    peer_calls::order call;
    call.call = order.call;
    call.to = order.group.runner;
    call.bytes = query.head;
    call.bytes += fmt::format("{}: {}\r\n", settings_.headers.time_left,
                              std::max<std::int64_t>(1, (order.deadline - now) / milliseconds{1}));
    for (const auto& header :
         to_headers({setup.table->version(), order.group.shards, order.answer_by - now})) {
        call.bytes += header.name + ": " + header.value + "\r\n";
    }
    call.bytes += "\r\n" + query.body;
    call.confirm_within = std::clamp<duration>(setup.matched->latency_objective / CONFIRM_DIVISOR,
                                               MIN_CONFIRM_TIMEOUT, MAX_CONFIRM_TIMEOUT);
    call.answer_within = order.deadline - now;
    call.on_confirmed = [this, number, id = order.call] {
        if (auto found = queries_.find(number); found != queries_.end()) {
            apply_actions(number, found->second.decisions->group_taken(id, monotonic_now()));
        }
    };
    call.on_done = [this, number, order](peer_call_result result) {
        on_group_result(number, order, std::move(result));
    };
    peers_.start(std::move(call));
}

auto forwarder::on_group_result(query_number number, const group_order& order, peer_call_result result)
    -> void {
    const auto& runner = order.group.runner;
    record_reachability(runner, result.answer);
    group_outcome outcome;
    if (result.end == peer_call_end::answered) {
        instances_.answered(runner.id);
        outcome = read_peer_response(result.answer.status, result.answer.headers,
                                     std::move(result.answer.body), order.group.shards);
    } else {
        auto declined = is_not_taken(result.answer.headers);
        outcome.end = result.end == peer_call_end::not_taken ? group_end::not_taken : group_end::silent;
        if (auto wait = refused_wait(result.answer.headers)) {
            outcome.end = group_end::refused;
            outcome.retry_after = *wait;
        }
        outcome.reason = runner.id.value() + ": " + (declined ? "not taken" : result.answer.reason);
        if (!declined) {
            instances_.failed(runner.id, monotonic_now());
        }
        counters_.count("eelgrassledge_peer_failures_total", {{"reason", declined ? "not_taken" : "failed"}});
    }
    auto found = queries_.find(number);
    if (found != queries_.end()) {
        apply_actions(number, found->second.decisions->group_ended(order.call, outcome, monotonic_now()));
    }
}

auto forwarder::pool_of(const shared_upstream& to) -> connection_pool& {
    auto found = pools_.find(to.get());
    if (found == pools_.end()) {
        auto remote = parse_endpoint(to->record().address).value_or(asio::ip::tcp::endpoint{});
        found = pools_.emplace(to.get(), pool_entry{to, std::make_unique<connection_pool>(network_, remote)})
                    .first;
    }
    const auto* rule = table_ ? table_->service(to->record().service) : nullptr;
    auto all = rule != nullptr ? static_cast<double>(rule->max_connections) : 0;
    auto share = CONNECTION_SHARE * all / static_cast<double>(state_.connection_users());
    auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(share));
    found->second.connections->limit(limit);
    to->limit_in_flight(limit);
    return *found->second.connections;
}

auto forwarder::send(query_number number, const running_query& query, const send_order& order) -> void {
    connection_pool::request o;
    o.attempt = order.attempt;
    o.to_head = query.is_head_request;
    o.fresh_connection = order.fresh_connection;
    o.bytes = [this, number, order]() -> std::string {
        auto found = queries_.find(number);
        if (found == queries_.end()) {
            return {};
        }
        auto remaining_ms = std::max<std::int64_t>(1, (order.deadline - monotonic_now()) / milliseconds{1});
        return fmt::format("{}{}: {}\r\n{}: {}\r\n\r\n{}", found->second.head, settings_.headers.time_left,
                           remaining_ms, settings_.headers.expected_upstream, order.to->id().value(),
                           found->second.body);
    };
    o.may_start = [this, to = order.to] {
        return !state_.upstreams().is_evacuated(*to) &&
               to->preference_at(monotonic_now()) != preference::never;
    };
    o.is_own_answer = [this, id = query.id](const exchange_result& result, bool reused) {
        auto echoed = header_value(result.headers, settings_.headers.request_id);
        // On a reused connection, a success that names no request may be a second copy of an earlier answer.
        return echoed.empty() ? !reused || !is_success_status(result.status) : echoed == id.value();
    };
    o.on_done = [this, number, order](exchange_result result) {
        on_send_result(number, order, std::move(result));
    };
    const auto& record = order.to->record();
    attempts_.emplace(order.attempt, running_send{order.to,
                                                  {query.request_fingerprint, query.id, record.service,
                                                   record.id, record.born_unix_ms},
                                                  monotonic_now()});
    pool_of(order.to).send(std::move(o));
}

auto forwarder::cancel(attempt_id attempt) -> void {
    auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    auto sent = std::move(found->second);
    attempts_.erase(found);
    if (sent.to->is_unresponsive_since(sent.sent)) {
        suspects_.abandoned(sent.details, monotonic_now());
    }
    pool_of(sent.to).cancel(attempt);
}

auto forwarder::cancel_all(const query_actions& actions) -> void {
    for (auto attempt : actions.cancels) {
        cancel(attempt);
    }
    for (auto call : actions.group_cancels) {
        peers_.cancel(call);
    }
}

auto forwarder::to_outcome(exchange_result result) const -> attempt_outcome {
    attempt_outcome outcome;
    outcome.reason = std::move(result.reason);
    if (result.end == exchange_end::not_connected) {
        outcome.end = attempt_end::not_sent;
        return outcome;
    }
    if (result.end == exchange_end::broken) {
        outcome.end = attempt_end::unclear;
        return outcome;
    }
    outcome.reply.status = result.status;
    outcome.reply.headers = std::move(result.headers);
    outcome.reply.body = std::move(result.body);
    outcome.reply.signature = header_value(outcome.reply.headers, settings_.headers.signature);
    if (result.status == MISDIRECTED_REQUEST ||
        has_header(outcome.reply.headers, settings_.headers.not_run)) {
        outcome.end = attempt_end::not_run;
        outcome.is_full = result.status != MISDIRECTED_REQUEST;
        outcome.reason =
            result.status == MISDIRECTED_REQUEST ? "address now belongs to another upstream" : "refused";
        return outcome;
    }
    if (has_header(outcome.reply.headers, "content-encoding")) {
        outcome.end = attempt_end::unclear;
        outcome.reason = "unexpected content encoding";
        return outcome;
    }
    outcome.end = attempt_end::answered;
    return outcome;
}

auto forwarder::record_upstream_wishes(const shared_upstream& from, const exchange_result& answer) -> void {
    auto now = monotonic_now();
    if (is_leaving(answer.headers, settings_.headers) && !from->has_said_leaving()) {
        log_(log_level::info, "upstream_said_leaving", {{"upstream", from->id().value()}});
        state_.upstreams().said_leaving(from, now);
    }
    auto is_refusal = answer.status == SERVICE_UNAVAILABLE || answer.status == TOO_MANY_REQUESTS;
    auto stated = header_value(answer.headers, "retry-after");
    if (!is_refusal || stated.empty()) {
        return;
    }
    auto wait = parse_seconds(stated);
    auto is_usable = wait && *wait <= upstream::MAX_PAUSE;
    if (!is_usable && bad_waits_.insert(from->id()).second) {
        log_(log_level::warning, "upstream_wait_unusable",
             {{"upstream", from->id().value()}, {"retry_after", std::string{stated}}});
    }
    if (wait) {
        state_.upstreams().pause(from, *wait, now);
        log_(log_level::info, "upstream_paused",
             {{"upstream", from->id().value()},
              {"for_ms", std::to_string(std::min(*wait, upstream::MAX_PAUSE) / milliseconds{1})}});
        counters_.count("eelgrassledge_upstream_pauses_total", {});
    }
}

auto forwarder::record_reachability(const zone_id& zone, const exchange_result& result) -> void {
    auto now = monotonic_now();
    if (result.reachability == remote_reachability::unresponsive) {
        if (state_.zones().unanswered(zone, result.sent, now)) {
            log_zone_silent(zone, result);
        }
    } else if (result.reachability == remote_reachability::responsive && state_.zones().answered(zone, now)) {
        log_(log_level::info, "zone_heard_again", {{"zone", zone.value()}});
    }
}

auto forwarder::record_reachability(const instance_record& of, const exchange_result& result) -> void {
    if (result.reachability != remote_reachability::unconfirmed) {
        record_reachability(of.zone, result);
    } else if (state_.zones().unconfirmed(of.zone, of.id, result.sent, monotonic_now())) {
        log_zone_silent(of.zone, result);
    }
}

auto forwarder::log_zone_silent(const zone_id& zone, const exchange_result& last) const -> void {
    log_(log_level::warning, "zone_silent", {{"zone", zone.value()}, {"last", last.reason}});
}

auto forwarder::probe_unresponsive_zones(time_point now) -> void {
    for (const auto& zone : state_.zones().unresponsive_zones(now)) {
        auto instances = instances_.all_in(zone);
        if (instances.empty()) {
            continue;
        }
        peer_calls::order probe;
        probe.call = attempt_id{next_attempt_++};
        probe.to = instances[state_.random_index(instances.size())];
        probe.bytes = probe_request();
        probe.fresh_connection = true;
        probe.confirm_within = ZONE_PROBE_TIMEOUT;
        probe.on_done = [this, to = probe.to](const peer_call_result& result) {
            record_reachability(to, result.answer);
        };
        peers_.start(std::move(probe));
    }
}

auto forwarder::on_send_result(query_number number, const send_order& order, exchange_result result) -> void {
    record_reachability(order.to->record().zone, result);
    if (result.status == MISDIRECTED_REQUEST) {
        // The answer is of another upstream, so nothing else that it says concerns the expected one.
        order.to->leave(time_point{});
    } else if (result.end == exchange_end::answered) {
        record_upstream_wishes(order.to, result);
    }
    if (result.end == exchange_end::not_connected && result.reachability == remote_reachability::responsive) {
        suspects_.crashed(order.to->id(), monotonic_now());
    }
    auto outcome = to_outcome(std::move(result));
    auto sent = attempts_.find(order.attempt);
    if (sent != attempts_.end()) {
        record_crash_evidence(sent->second, outcome);
        attempts_.erase(sent);
    }
    // The query may have ended before this answer arrived.
    auto found = queries_.find(number);
    if (found != queries_.end()) {
        apply_actions(number, found->second.decisions->ended(order.attempt, outcome, monotonic_now()));
    }
}

}  // namespace eelgrassledge
