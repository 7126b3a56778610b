#include <algorithm>
#include <nlohmann/json.hpp>

#include "eelgrassledge/config/document_writer.hpp"
#include "eelgrassledge/runtime/application.hpp"

namespace eelgrassledge {

namespace {

using nlohmann::json;

auto json_page(int status, const json& body) -> api_response {
    return json_response(status, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

auto refusal_body(result_code code, const std::string& message) -> json {
    return {{"code", static_cast<int>(code)}, {"reason", describe(code).name}, {"message", message}};
}

auto change_page(const change_outcome& outcome) -> api_response {
    if (outcome.code == result_code::ok) {
        return json_page(
            200, {{"revision", outcome.version.number.value()}, {"change_id", outcome.version.change_id}});
    }
    auto body = refusal_body(outcome.code, outcome.message);
    json faults = json::array();
    for (const auto& fault : outcome.faults) {
        faults.push_back({{"section", fault.section}, {"key", fault.key}, {"reason", fault.reason}});
    }
    json differences = json::array();
    for (const auto& difference : outcome.differences) {
        differences.push_back({{"section", difference.section},
                               {"key", difference.key},
                               {"current", difference.before},
                               {"proposed", difference.after}});
    }
    body["faults"] = faults;
    body["differences"] = differences;
    body["current_revision"] = outcome.version.number.value();
    return json_page(http_status_of(outcome.code), body);
}

auto read_change(const std::string& text) -> result<document_change> {
    auto body = json::parse(text, nullptr, false);
    auto valid = body.is_object() && body.contains("based_on") && body["based_on"].is_number_unsigned() &&
                 body.contains("text") && body["text"].is_string() && body.contains("change_id") &&
                 body["change_id"].is_string() && !body["change_id"].get<std::string>().empty();
    if (!valid) {
        return fail(result_code::malformed_request, "expected based_on (number), text and change_id (texts)");
    }
    auto author =
        body.contains("author") && body["author"].is_string() ? body["author"].get<std::string>() : "";
    return document_change{revision{body["based_on"].get<std::uint64_t>()}, body["text"].get<std::string>(),
                           author, body["change_id"].get<std::string>()};
}

auto members_json(const std::vector<member_info>& members) -> json {
    json list = json::array();
    for (const auto& member : members) {
        list.push_back({{"instance", member.instance.value()},
                        {"zone", member.zone.value()},
                        {"http_address", member.http_address},
                        {"peer_address", member.peer_address},
                        {"leaving", member.leaving},
                        {"revision", member.in_force.value()}});
    }
    return list;
}

auto loads_json(const std::vector<upstream_load>& loads) -> json {
    json list = json::array();
    for (const auto& load : loads) {
        list.push_back({{"upstream", load.upstream.value()},
                        {"queued", load.queued},
                        {"running", load.running},
                        {"slots", load.slots},
                        {"service_time_us", load.service_time.count()},
                        {"admitting", load.admitting},
                        {"warm", load.warm}});
    }
    return list;
}

}  // namespace

auto application::may_administer(const std::string& token) -> bool {
    auto digest = sha256_hex(token);
    auto allowed =
        !settings_.admin_token_sha256.empty() && digests_equal(settings_.admin_token_sha256, digest);
    if (auto doc = current_document()) {
        for (const auto& admin : doc->operators) {
            allowed = digests_equal(admin.token_sha256, digest) || allowed;
        }
    }
    return allowed;
}

auto application::administer(const api_request& request, const respond& done) -> void {
    if (!may_administer(request.bearer_token)) {
        refuse(done, result_code::forbidden, "the administration token is missing or wrong", {});
        return;
    }
    if (request.path == "/admin/document" && request.method == "GET") {
        done(read_document_page());
    } else if (request.path == "/admin/document" && request.method == "PUT") {
        std::thread{[this, body = request.body, done] { done(write_document_page(body)); }}.detach();
    } else if (request.path == "/admin/status") {
        done(status_page());
    } else {
        refuse(done, result_code::not_found, "no such path", {});
    }
}

auto application::read_document_page() -> api_response {
    std::scoped_lock guard{coordinator_.lock};
    const auto& version = coordinator_.decisions.current_document();
    if (!version) {
        return json_page(200, {{"revision", 0}, {"change_id", ""}, {"author", ""}, {"text", ""}});
    }
    return json_page(200, {{"revision", version->number.value()},
                           {"change_id", version->change_id},
                           {"author", version->author},
                           {"text", version->text}});
}

auto application::write_document_page(const std::string& body) -> api_response {
    auto change = read_change(body);
    if (!change) {
        return json_page(400, refusal_body(change.error().code, change.error().message));
    }
    auto outcome = write_document(platform_->platform_store(), *change);
    auto code = std::string{describe(outcome.code).name};
    metrics_.count("eelgrassledge_document_changes_total", {{"outcome", code}});
    log_(log_level::info, "document_change",
         {{"author", change->author},
          {"change_id", change->change_id},
          {"outcome", code},
          {"revision", std::to_string(outcome.version.number.value())}});
    return change_page(outcome);
}

auto application::status_page() -> api_response {
    json body;
    {
        std::scoped_lock guard{coordinator_.lock};
        const auto& decisions = coordinator_.decisions;
        const auto& version = decisions.current_document();
        body["instance"] = settings_.instance.value();
        body["zone"] = settings_.zone.value();
        body["revision"] = version ? version->number.value() : 0;
        body["reporter"] = decisions.is_reporter();
        body["members"] = members_json(decisions.members(monotonic_now()));
        json zones = json::array();
        for (const auto& [zone, zone_assignment] : decisions.assignments()) {
            auto in_service = version && version->parsed->zone_is_in(zone);
            zones.push_back({{"zone", zone.value()},
                             {"state", in_service ? "in" : "out"},
                             {"epoch", zone_assignment.number.value()},
                             {"reporter", zone_assignment.reporter.value()},
                             {"upstreams", zone_assignment.owners.size()},
                             {"members", members_json(zone_assignment.members)}});
        }
        body["zones"] = zones;
        body["leaving_upstreams"] = decisions.leaving_upstreams().size();
    }
    body["upstreams"] = loads_json(broker_->loads());
    body["running_queries"] = entry_->running();
    return json_page(200, body);
}

}  // namespace eelgrassledge
