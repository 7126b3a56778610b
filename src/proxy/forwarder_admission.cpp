// Part of `forwarder` that decides whether a request is taken: route, key, quota, suspects and shutdown.

#include <fmt/format.h>

#include <algorithm>
#include <boost/container_hash/hash.hpp>

#include "eelgrassledge/proxy/forwarder.hpp"
#include "eelgrassledge/proxy/peer_protocol.hpp"

namespace eelgrassledge {

namespace {

/// Timeout of requests that state no deadline, on routes without a timeout.
constexpr duration DEFAULT_TIMEOUT = seconds{10};

/// Upper limit of `Retry-After` while an instance has no configuration yet.
constexpr duration MAX_START_RETRY_AFTER = seconds{1};

/// Hash of the parts of a request that are equal in all of the caller's attempts.
auto fingerprint_of(const inbound_request& request) -> fingerprint {
    std::size_t seed = 0;
    boost::hash_combine(seed, request.method);
    boost::hash_combine(seed, request.target);
    boost::hash_combine(seed, std::string{header_value(request.headers, "host")});
    boost::hash_combine(seed, request.body);
    // Drops one bit so that the value fits into a signed 64-bit integer.
    return fingerprint{seed >> 1U};
}

/// Key of an `Authorization` header with the scheme `Bearer`; empty for any other value.
auto bearer_key(std::string_view value) -> std::string_view {
    constexpr std::string_view SCHEME = "bearer ";
    if (!equal_ignoring_case(value.substr(0, SCHEME.size()), SCHEME)) {
        return {};
    }
    auto begin = value.find_first_not_of(' ', SCHEME.size());
    return begin == std::string_view::npos ? std::string_view{} : value.substr(begin);
}

}  // namespace

auto forwarder::deadline_of(const inbound_request& request, const route& r) const -> time_point {
    auto timeout = r.timeout.count() > 0 ? r.timeout : DEFAULT_TIMEOUT;
    auto stated_ms = to_whole_number(header_value(request.headers, settings_.headers.time_left), -1);
    return monotonic_now() + (stated_ms >= 0 ? duration{milliseconds{stated_ms}} : timeout);
}

auto forwarder::identify_team(const std::vector<http_header>& headers, const route& r) const
    -> std::optional<const team*> {
    constexpr std::string_view KEY_HEADER = "authorization";
    if (!table_->has_teams()) {
        return nullptr;
    }
    auto keys = std::count_if(headers.begin(), headers.end(), [&](const http_header& header) {
        return equal_ignoring_case(header.name, KEY_HEADER);
    });
    if (keys == 0 && r.is_public) {
        return nullptr;
    }
    auto key = bearer_key(header_value(headers, KEY_HEADER));
    if (keys != 1 || key.empty()) {
        return std::nullopt;
    }
    const auto* sender = table_->team_of(digest_of(key));
    return sender == nullptr ? std::nullopt : std::optional{sender};
}

auto forwarder::check_head(const inbound_request& head) const -> head_check {
    head_check check;
    if (!table_) {
        check.code = result_code::no_configuration;
        return check;
    }
    if (header_value(head.headers, settings_.headers.request_id).empty()) {
        check.code = result_code::malformed_request;
        return check;
    }
    check.matched = table_->find(header_value(head.headers, "host"), head.target);
    if (check.matched == nullptr) {
        check.code = result_code::no_route;
        return check;
    }
    auto sender = identify_team(head.headers, *check.matched);
    check.code = sender ? result_code::ok : result_code::unknown_caller;
    check.sender = sender.value_or(nullptr);
    return check;
}

auto forwarder::handle(const shared_session& session, inbound_request request) -> void {
    auto now = monotonic_now();
    request_id id{std::string{header_value(request.headers, settings_.headers.request_id)}};
    auto check = check_head(request);
    if (check.code != result_code::ok) {
        refuse(session, id, check.code);
        return;
    }
    auto request_fingerprint = fingerprint_of(request);
    if (refuse_if_suspect(session, request_fingerprint, id, check.sender)) {
        return;
    }
    query_setup setup;
    setup.table = table_;
    setup.matched = check.matched;
    setup.sender = check.sender;
    setup.received = now;
    setup.caller_deadline = deadline_of(request, *check.matched);
    setup.round_trip_time = session->network_time();
    if (stop_ && !stop_->admits(*check.matched, setup.caller_deadline, now)) {
        refuse(session, id, result_code::stopping, check.sender);
        return;
    }
    admission waiting{session, std::move(request), id, request_fingerprint, std::move(setup)};
    if (check.sender != nullptr && check.sender->has_quota() && quota_gate_) {
        ask_quota(std::move(waiting));
    } else {
        admit(std::move(waiting));
    }
}

auto forwarder::ask_quota(admission waiting) -> void {
    struct pending_admission {
        admission request;
        bool is_abandoned = false;
    };
    auto pending = std::make_shared<pending_admission>(pending_admission{std::move(waiting)});
    pending->request.session->on_abandoned([pending] { pending->is_abandoned = true; });
    const auto& sender = *pending->request.setup.sender;
    quota_gate_(sender, [this, pending](const quota_decision& decision) {
        auto& [session, request, id, print, setup] = pending->request;
        setup.quota_granted = decision.granted;
        log_(log_level::info, "quota",
             {{"request_id", id.value()},
              {"team", setup.sender->name.value()},
              {"verdict", std::string{to_string(decision.verdict)}},
              {"wait_ms", std::to_string(decision.wait / milliseconds{1})},
              {"took_ms", fmt::format("{:.1f}", to_milliseconds(monotonic_now() - setup.received))}});
        if (decision.verdict == quota_verdict::granted && pending->is_abandoned) {
            return_grant(setup);
        } else if (decision.verdict == quota_verdict::granted) {
            admit(std::move(pending->request));
        } else if (decision.verdict == quota_verdict::denied) {
            refuse(session, id, result_code::quota_exceeded, setup.sender, decision.wait);
        } else {
            refuse(session, id, result_code::quota_unavailable, setup.sender);
        }
    });
}

auto forwarder::admit(admission waiting) -> void {
    auto& setup = waiting.setup;
    auto now = monotonic_now();
    // The instance may have begun to stop while the quota was checked.
    if (stop_ && !stop_->admits(*setup.matched, setup.caller_deadline, now)) {
        return_grant(setup);
        refuse(waiting.session, waiting.id, result_code::stopping, setup.sender);
        return;
    }
    if (setup.matched->gather) {
        setup.groups = placement_.plan(*setup.matched->gather, instances_, now);
    }
    start_query(waiting.session, std::move(waiting.request), waiting.id, waiting.request_fingerprint,
                std::move(setup));
}

auto forwarder::return_grant(const query_setup& setup) -> void {
    if (setup.sender != nullptr && setup.sender->has_quota() && quota_returned_) {
        quota_returned_(*setup.sender, setup.quota_granted);
    }
}

auto forwarder::peer_route(const inbound_request& head, const std::optional<peer_query>& asked) const
    -> const route* {
    auto id = header_value(head.headers, settings_.headers.request_id);
    const route* r = nullptr;
    // Shards are identified by their positions, which may differ between configuration versions.
    if (table_ && asked && asked->version == table_->version()) {
        r = table_->find(header_value(head.headers, "host"), head.target);
    }
    if (r != nullptr && r->gather && !id.empty() && asked->shards.back() < r->gather->shards.size() &&
        (!stop_ || stop_->admits(*r, deadline_of(head, *r), monotonic_now()))) {
        return r;
    }
    log_(log_level::info, "peer_query_not_taken",
         {{"request_id", std::string{id}},
          {"asked_version", std::to_string(asked ? asked->version.value() : 0)},
          {"config_version", std::to_string(table_ ? table_->version().value() : 0)},
          {"stopping", stop_ ? "yes" : "no"}});
    return nullptr;
}

auto forwarder::refusal_of_peer_head(inbound_request head) -> std::optional<outbound_response> {
    auto asked = extract_peer_query(head.headers);
    auto is_taken = peer_route(head, asked) != nullptr;
    return is_taken ? std::nullopt : std::optional{peer_not_taken()};
}

auto forwarder::handle_for_peer(const shared_session& session, inbound_request request) -> void {
    auto now = monotonic_now();
    request_id id{std::string{header_value(request.headers, settings_.headers.request_id)}};
    auto asked = extract_peer_query(request.headers);
    const auto* r = peer_route(request, asked);
    if (r == nullptr) {
        session->respond(peer_not_taken());
        return;
    }
    auto request_fingerprint = fingerprint_of(request);
    if (suspects_.is_refused(request_fingerprint, now)) {
        log_refused_suspect(id, request_fingerprint);
        query_answer refused;
        refused.code = result_code::quarantined;
        session->respond(to_peer_response(refused));
        return;
    }
    const auto* sender =
        table_->team_named(team_id{std::string{header_value(request.headers, settings_.headers.team)}});
    if (auto wait = wait_of_refused(id, *r, *asked, sender)) {
        session->respond(peer_refused(*wait));
        return;
    }
    session->send_interim();
    query_setup setup;
    setup.table = table_;
    setup.matched = r;
    setup.sender = sender;
    setup.received = now;
    setup.caller_deadline = deadline_of(request, *r);
    setup.only_shards = std::move(asked->shards);
    setup.answer_by = now + asked->answer_in;
    start_query(session, std::move(request), id, request_fingerprint, std::move(setup));
}

auto forwarder::wait_of_refused(const request_id& id, const route& r, const peer_query& asked,
                                const team* sender) -> std::optional<duration> {
    auto now = monotonic_now();
    auto urgency = table_->urgency(r, sender);
    if (2 * asked.shards.size() < r.gather->shards.size()) {
        return std::nullopt;
    }
    auto load = state_.load_of(r, asked.shards, asked.answer_in, now);
    if (admission_control::admits(load, urgency)) {
        return std::nullopt;
    }
    const auto* reason = urgency > 0 ? "urgent" : "not_urgent";
    counters_.count("eelgrassledge_decisions_total", {{"event", "shed_for_peer"}, {"reason", reason}});
    log_(log_level::info, "shed_for_peer",
         {{"request_id", id.value()}, {"reason", reason}, {"detail", to_string(load)}});
    return settings_.policy.retry_after + admission_control::wait(load, state_.random());
}

// While there is no configuration, proposes the time since the start: if the start is slow, because the store
// is slow or many instances start at once, it is likely to take about as long again, and a caller with a
// single retry would waste it by retrying immediately.
auto forwarder::retry_after(result_code code) const -> duration {
    auto configured = settings_.policy.retry_after;
    if (code == result_code::stopping) {
        // Other instances can serve the request at once.
        return {};
    }
    if (code != result_code::no_configuration) {
        return configured;
    }
    return std::clamp<duration>(monotonic_now() - started_, configured, MAX_START_RETRY_AFTER);
}

auto forwarder::refusal_of_head(const inbound_request& head) -> std::optional<outbound_response> {
    auto check = check_head(head);
    if (check.code == result_code::ok) {
        return std::nullopt;
    }
    request_id id{std::string{header_value(head.headers, settings_.headers.request_id)}};
    return make_refusal(id, check.code, check.sender, std::nullopt);
}

auto forwarder::refuse(const shared_session& session, const request_id& id, result_code code,
                       const team* sender, std::optional<duration> wait) -> void {
    session->respond(make_refusal(id, code, sender, wait));
}

auto forwarder::make_refusal(const request_id& id, result_code code, const team* sender,
                             std::optional<duration> wait) -> outbound_response {
    auto response = error_response(code, wait.value_or(retry_after(code)));
    std::vector<log_field> fields{{"request_id", id.value()},
                                  {"status", std::to_string(response.status)},
                                  {"reason", std::string{describe(code).name}},
                                  {"config_version", std::to_string(table_ ? table_->version().value() : 0)}};
    if (sender != nullptr) {
        fields.push_back({"team", sender->name.value()});
        count_for_team(*sender, response.status);
    }
    log_(log_level::info, "refused", fields);
    counters_.count("eelgrassledge_refusals_total", {{"reason", std::string{describe(code).name}}});
    return response;
}

auto forwarder::count_for_team(const team& sender, int status) -> void {
    counters_.count("eelgrassledge_team_answers_total",
                    {{"team", team_labels_.label_of(sender.name)}, {"status", std::to_string(status)}});
}

auto forwarder::refuse_if_suspect(const shared_session& session, fingerprint request_fingerprint,
                                  const request_id& id, const team* sender) -> bool {
    if (!suspects_.is_refused(request_fingerprint, monotonic_now())) {
        return false;
    }
    log_refused_suspect(id, request_fingerprint);
    refuse(session, id, result_code::quarantined, sender);
    return true;
}

auto forwarder::log_refused_suspect(const request_id& id, fingerprint request_fingerprint) const -> void {
    log_(log_level::warning, "suspect_refused",
         {{"request_id", id.value()}, {"fingerprint", fmt::format("{:016x}", request_fingerprint.value())}});
}

}  // namespace eelgrassledge
