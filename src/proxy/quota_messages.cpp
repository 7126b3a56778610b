#include "eelgrassledge/proxy/quota_messages.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

constexpr std::string_view TARGET = "/quota";
constexpr std::string_view TEAM_HEADER = "X-Eelgrassledge-Team";
constexpr std::string_view VERDICT_HEADER = "X-Eelgrassledge-Quota";
/// Whole milliseconds.
constexpr std::string_view WAIT_HEADER = "X-Eelgrassledge-Wait-Ms";

/// Longest wait that is read from an answer.
constexpr std::int64_t MAX_WAIT_MS = 60'000;

/// Between the start number and the era in the value of an allocator's key. Without an era the value is the
/// one of earlier versions.
constexpr char ERA_MARK = '@';

}  // namespace

auto make_quota_request(const std::string& host, const team_id& owner) -> inbound_request {
    inbound_request request;
    request.method = "POST";
    request.target = TARGET;
    request.headers = {{"Host", host}, {std::string{TEAM_HEADER}, owner.value()}};
    return request;
}

auto read_quota_request(const inbound_request& request) -> std::optional<team_id> {
    if (request.target != TARGET) {
        return std::nullopt;
    }
    return team_id{std::string{header_value(request.headers, TEAM_HEADER)}};
}

auto make_quota_answer(const quota_decision& decision) -> outbound_response {
    // Rounded up, so that the wait is not over before there is room.
    auto wait_ms = (decision.wait + milliseconds{1} - microseconds{1}) / milliseconds{1};
    return {200,
            {{std::string{VERDICT_HEADER}, std::string{to_string(decision.verdict)}},
             {std::string{WAIT_HEADER}, std::to_string(wait_ms)}},
            ""};
}

auto read_quota_answer(const std::vector<http_header>& headers) -> quota_decision {
    auto text = header_value(headers, VERDICT_HEADER);
    auto wait_ms = to_whole_number(header_value(headers, WAIT_HEADER), 0);
    for (auto verdict : {quota_verdict::granted, quota_verdict::denied}) {
        if (text == to_string(verdict)) {
            return {verdict, milliseconds{std::min(wait_ms, MAX_WAIT_MS)}};
        }
    }
    return {};
}

auto encode_allocator(const allocator_key& key) -> std::string {
    auto era =
        key.settled_in > store_era{} ? ERA_MARK + std::to_string(key.settled_in.value()) : std::string{};
    return std::to_string(key.owner.number) + era + ' ' + key.owner.id.value();
}

auto decode_allocator(const std::string& value) -> result<allocator_key> {
    auto blank = value.find(' ');
    auto start = std::string_view{value}.substr(0, blank);
    auto mark = start.find(ERA_MARK);
    auto number = to_whole_number(start.substr(0, mark), -1);
    auto era = mark == std::string_view::npos ? 0 : to_whole_number(start.substr(mark + 1), -1);
    if (blank == std::string::npos || blank + 1 == value.size() || number < 0 || era < 0) {
        return fail(result_code::bad_answer, "\"" + value + "\" names no start of an instance");
    }
    return allocator_key{{instance_id{value.substr(blank + 1)}, number}, store_era{era}};
}

}  // namespace eelgrassledge
