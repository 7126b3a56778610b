#include "eelgrassledge/proxy/forwarder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "eelgrassledge/proxy/peer_protocol.hpp"

namespace eelgrassledge {

namespace {

auto make_random() -> std::function<double()> {
    auto engine = std::make_shared<std::minstd_rand>(std::random_device{}());
    return [engine] { return std::uniform_real_distribution<double>{}(*engine); };
}

/// Whether an upstream may take a header name for `wanted`: servers that pass headers on as variables replace
/// hyphens by underscores.
auto is_same_to_upstreams(std::string name, std::string_view wanted) -> bool {
    std::replace(name.begin(), name.end(), '_', '-');
    return equal_ignoring_case(name, wanted);
}

}  // namespace

forwarder::forwarder(network_context& network, forwarder_settings settings, event_log log, metrics& counters)
    : network_(network),
      settings_(std::move(settings)),
      log_(std::move(log)),
      counters_(counters),
      state_(settings_.policy, settings_.directory, make_random()),
      instances_(settings_.self),
      placement_(state_),
      peers_(network),
      suspects_([] { return wall_clock_now() / 1000; }),
      timer_(network.loop) {}

auto forwarder::apply_route_table(shared_route_table table) -> bool {
    if (table_ && table->version() <= table_->version()) {
        return false;
    }
    table_ = std::move(table);
    return true;
}

auto forwarder::start_query(const shared_session& session, inbound_request request, const request_id& id,
                            fingerprint request_fingerprint, query_setup setup) -> void {
    auto number = next_query_++;
    running_query query;
    query.session = session;
    query.id = id;
    query.request_fingerprint = request_fingerprint;
    query.is_head_request = request.method == "HEAD";
    query.head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    auto is_replaced = [&](const std::string& name) {
        return equal_ignoring_case(name, settings_.headers.time_left) ||
               equal_ignoring_case(name, settings_.headers.expected_upstream) || is_instance_header(name) ||
               (setup.table->has_teams() && (equal_ignoring_case(name, "authorization") ||
                                             is_same_to_upstreams(name, settings_.headers.team)));
    };
    for (const auto& header : without_connection_headers(request.headers)) {
        if (!is_replaced(header.name)) {
            query.head += header.name + ": " + header.value + "\r\n";
        }
    }
    if (setup.sender != nullptr) {
        query.head += settings_.headers.team + ": " + setup.sender->name.value() + "\r\n";
    }
    auto has_body = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    if (has_body) {
        query.head += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    query.body = std::move(request.body);
    setup.is_suspect = [this, request_fingerprint] {
        return suspects_.is_refused(request_fingerprint, monotonic_now());
    };
    query.decisions = std::make_unique<routed_query>(state_, std::move(setup), next_attempt_);
    if (stop_) {
        query.decisions->limit_deadline(stop_->last_answer());
    }
    auto placed = queries_.emplace(number, std::move(query)).first;
    session->on_abandoned([this, number] { abandon(number); });
    apply_actions(number, placed->second.decisions->start(monotonic_now()));
}

auto forwarder::abandon(query_number number) -> void {
    auto found = queries_.find(number);
    if (found == queries_.end()) {
        return;
    }
    auto& query = found->second;
    auto actions = query.decisions->abandon(monotonic_now());
    cancel_all(actions);
    log_(log_level::info, "abandoned",
         {{"request_id", query.id.value()},
          {"cancelled", std::to_string(actions.cancels.size() + actions.group_cancels.size())}});
    counters_.count("eelgrassledge_abandoned_total", {});
    wakeups_.erase({query.wakeup_at, number});
    queries_.erase(found);
}

auto forwarder::apply_actions(query_number number, query_actions actions) -> void {
    auto found = queries_.find(number);
    if (found == queries_.end()) {
        return;
    }
    cancel_all(actions);
    for (const auto& note : actions.notes) {
        counters_.count("eelgrassledge_decisions_total", {{"event", note.event}, {"reason", note.reason}});
        log_(log_level::info, note.event,
             {{"request_id", found->second.id.value()}, {"reason", note.reason}, {"detail", note.detail}});
    }
    if (actions.answer) {
        send_answer(number, *actions.answer);
        return;
    }
    for (const auto& order : actions.group_sends) {
        send_group(number, found->second, order);
    }
    for (const auto& order : actions.sends) {
        send(number, found->second, order);
    }
    schedule_wakeup(number);
}

auto forwarder::send_answer(query_number number, const query_answer& answer) -> void {
    auto found = queries_.find(number);
    auto query = std::move(found->second);
    wakeups_.erase({query.wakeup_at, number});
    queries_.erase(found);
    auto for_peer = !query.decisions->setup().only_shards.empty();
    auto response =
        for_peer ? to_peer_response(answer) : to_caller_response(answer, query.id, settings_.headers);
    log_answer(query, answer, response.status);
    const auto* sender = query.decisions->setup().sender;
    if (!for_peer && sender != nullptr) {
        count_for_team(*sender, response.status);
        if (!answer.reply && is_not_run(answer.code)) {
            return_grant(query.decisions->setup());
        }
    }
    query.session->respond(response);
}

auto forwarder::log_answer(const running_query& query, const query_answer& answer, int status) -> void {
    const auto& setup = query.decisions->setup();
    auto took = monotonic_now() - setup.received;
    std::string missing;
    for (const auto& shard : answer.missing_shards) {
        missing += (missing.empty() ? "" : ",") + shard.value();
    }
    // Failures are logged as warnings, for which the log reserves capacity, so that many ordinary lines do
    // not displace them.
    std::vector<log_field> fields{{"request_id", query.id.value()},
                                  {"route", setup.matched->name},
                                  {"config_version", std::to_string(setup.table->version().value())},
                                  {"status", std::to_string(status)},
                                  {"code", std::string{describe(answer.code).name}},
                                  {"took_ms", fmt::format("{:.1f}", to_milliseconds(took))},
                                  {"shards", std::to_string(query.decisions->shard_count())},
                                  {"sends", std::to_string(query.decisions->send_count())},
                                  {"upstreams", query.decisions->upstreams_tried()},
                                  {"missing", missing}};
    if (setup.sender != nullptr) {
        fields.push_back({"team", setup.sender->name.value()});
    }
    log_(answer.code == result_code::ok ? log_level::info : log_level::warning, "answered", fields);
    counters_.count("eelgrassledge_answers_total", {{"code", std::string{describe(answer.code).name}}});
    observe_stages(setup.matched->name, answer, took);
}

auto forwarder::observe_stages(const std::string& route_name, const query_answer& answer, duration took)
    -> void {
    auto observe = [&](const char* stage, duration after) {
        counters_.observe("eelgrassledge_request_seconds", {{"route", route_name}, {"stage", stage}}, after);
    };
    if (answer.first_part_after) {
        observe("first_part", *answer.first_part_after);
    }
    if (answer.enough_parts_after) {
        observe("enough_parts", *answer.enough_parts_after);
    }
    observe("answer", took);
}

auto forwarder::schedule_wakeup(query_number number) -> void {
    auto found = queries_.find(number);
    if (found == queries_.end()) {
        return;
    }
    auto& query = found->second;
    auto due = query.decisions->next_wakeup();
    if (due == query.wakeup_at) {
        return;
    }
    wakeups_.erase({query.wakeup_at, number});
    query.wakeup_at = due;
    wakeups_.insert({due, number});
    arm_timer();
}

auto forwarder::arm_timer() -> void {
    if (wakeups_.empty() || wakeups_.begin()->first >= armed_for_) {
        return;
    }
    armed_for_ = wakeups_.begin()->first;
    auto wait = std::max(duration{}, armed_for_ - monotonic_now());
    timer_.expires_after(wait);
    timer_.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            wake_up();
        }
    });
}

auto forwarder::wake_up() -> void {
    armed_for_ = time_point::max();
    auto now = monotonic_now();
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
        auto number = wakeups_.begin()->second;
        wakeups_.erase(wakeups_.begin());
        auto found = queries_.find(number);
        if (found == queries_.end()) {
            continue;
        }
        found->second.wakeup_at = {};
        apply_actions(number, found->second.decisions->advance(now));
    }
    arm_timer();
}

auto forwarder::begin_stop(const stop_schedule& schedule) -> void {
    stop_ = schedule;
    for (auto& [number, query] : queries_) {
        query.decisions->limit_deadline(schedule.last_answer());
        schedule_wakeup(number);
    }
}

auto forwarder::serves_all_routes(time_point now) const -> bool {
    if (!table_) {
        return false;
    }
    const auto& routes = table_->routes();
    return std::all_of(routes.begin(), routes.end(),
                       [&](const route& r) { return state_.is_served(r, now); });
}

auto forwarder::sweep(time_point now) -> void {
    state_.runners_changed(instances_.eligible_count(now), instances_.is_self_eligible(now));
    for (const auto& gone : state_.sweep(now)) {
        const auto& record = gone->record();
        log_(log_level::info, "upstream_forgotten",
             {{"upstream", record.id.value()},
              {"service", record.service.value()},
              {"born_unix_ms", std::to_string(record.born_unix_ms)},
              {"draining", record.draining ? "yes" : "no"}});
    }
    peers_.sweep(now);
    suspects_.sweep(now);
    std::erase_if(bad_waits_, [&](const upstream_id& id) { return !state_.upstreams().find(id); });
    std::erase_if(pools_, [&](const auto& entry) {
        const auto& [key, pool] = entry;
        pool.connections->close_idle(now);
        return pool.owner->is_gone(now) && pool.connections->is_idle();
    });
}

}  // namespace eelgrassledge
