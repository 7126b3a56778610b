#include "eelgrassledge/proxy/caller_answers.hpp"

#include <fmt/format.h>

namespace eelgrassledge {

namespace {

/// Header with the number of the result code, set on error responses.
constexpr std::string_view CODE_HEADER = "X-Eelgrassledge-Code";

constexpr int UNAUTHORIZED = 401;

constexpr int TOO_MANY_REQUESTS = 429;
/// Status of all other refusals, which guarantee that the request has not run.
constexpr int NOT_RUN_STATUS = 503;

auto joined(const std::vector<std::string>& items) -> std::string {
    std::string text;
    for (const auto& item : items) {
        text += text.empty() ? "" : ", ";
        text += item;
    }
    return text;
}

}  // namespace

auto is_leaving(const std::vector<http_header>& headers, const forwarding_headers& names) -> bool {
    return !names.leaving.empty() && header_value(headers, names.leaving) == "1";
}

auto status_of(result_code code) -> int {
    switch (code) {
        case result_code::malformed_request:
            return 400;
        case result_code::no_route:
            return 404;
        case result_code::unknown_caller:
            return UNAUTHORIZED;
        case result_code::quota_exceeded:
            return TOO_MANY_REQUESTS;
        case result_code::quota_unavailable:
        case result_code::no_configuration:
        case result_code::overloaded:
        case result_code::quarantined:
        case result_code::stopping:
        case result_code::upstream_unreachable:
        case result_code::upstream_shedding:
            return NOT_RUN_STATUS;
        case result_code::upstream_failed:
            return 502;
        default:
            return 504;
    }
}

auto is_not_run(result_code code) -> bool {
    return code != result_code::ok && is_not_run_status(status_of(code));
}

auto error_response(result_code code, duration retry_after) -> outbound_response {
    outbound_response response;
    response.status = status_of(code);
    response.headers.push_back({std::string{CODE_HEADER}, std::to_string(static_cast<int>(code))});
    if (response.status == UNAUTHORIZED) {
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (is_not_run(code)) {
        auto wait_s = std::chrono::duration<double>(retry_after).count();
        response.headers.push_back({"Retry-After", fmt::format("{:.2f}", wait_s)});
    }
    return response;
}

auto to_caller_response(const query_answer& answer, const request_id& id, const forwarding_headers& names)
    -> outbound_response {
    if (answer.reply) {
        return {answer.reply->status, without_connection_headers(answer.reply->headers), answer.reply->body};
    }
    if (answer.code != result_code::ok) {
        auto response = error_response(answer.code, answer.retry_after);
        response.headers.push_back({names.request_id, id.value()});
        return response;
    }
    outbound_response response;
    response.headers.push_back({names.request_id, id.value()});
    response.headers.push_back({names.part_signatures, joined(answer.part_signatures)});
    response.headers.push_back({names.missing_parts, std::to_string(answer.missing_parts)});
    response.body = answer.merged;
    return response;
}

}  // namespace eelgrassledge
