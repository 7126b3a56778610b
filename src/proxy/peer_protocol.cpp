#include "eelgrassledge/proxy/peer_protocol.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Begins the names of all headers that instances use between them.
constexpr std::string_view INSTANCE_HEADER_PREFIX = "X-Eelgrassledge-";

/// Version of the configuration in force at the asking instance.
constexpr std::string_view VERSION_HEADER = "X-Eelgrassledge-Config-Version";
/// Bitmap of shards by their position in the route's list.
constexpr std::string_view SHARDS_HEADER = "X-Eelgrassledge-Shards";
/// Bitmap of the missing shards that may run once more.
constexpr std::string_view OPEN_SHARDS_HEADER = "X-Eelgrassledge-Open-Shards";
/// Milliseconds until the answer should be sent.
constexpr std::string_view ANSWER_MS_HEADER = "X-Eelgrassledge-Answer-Ms";
/// Signatures in the order of the shards, separated by commas.
constexpr std::string_view SIGNATURES_HEADER = "X-Eelgrassledge-Signatures";
/// Present if the request was declined without being run.
constexpr std::string_view NOT_TAKEN_HEADER = "X-Eelgrassledge-Not-Taken";

/// Present if the reason is an overload: milliseconds that the caller should wait before it retries.
constexpr std::string_view REFUSED_MS_HEADER = "X-Eelgrassledge-Refused-Ms";

/// Path of a probe, which tests whether another instance can be reached.
constexpr std::string_view PROBE_TARGET = "/probe";

/// Longest wait that is read from an answer.
constexpr std::int64_t MAX_REFUSED_MS = 10'000;

constexpr std::size_t BITS_PER_DIGIT = 4;

auto digit_value(char c) -> int {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

auto split(std::string_view list) -> std::vector<std::string> {
    std::vector<std::string> items;
    while (!list.empty()) {
        auto comma = list.find(',');
        items.emplace_back(list.substr(0, comma));
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return items;
}

auto failed_group(std::string reason) -> group_outcome {
    group_outcome outcome;
    outcome.end = group_end::failed;
    outcome.reason = std::move(reason);
    return outcome;
}

}  // namespace

auto probe_request() -> std::string {
    return "GET " + std::string{PROBE_TARGET} + " HTTP/1.1\r\nHost: peer\r\n\r\n";
}

auto is_probe(const inbound_request& request) -> bool {
    return request.target == PROBE_TARGET;
}

auto is_instance_header(std::string_view name) -> bool {
    return equal_ignoring_case(name.substr(0, INSTANCE_HEADER_PREFIX.size()), INSTANCE_HEADER_PREFIX);
}

auto is_peer_query(const inbound_request& request) -> bool {
    return has_header(request.headers, SHARDS_HEADER);
}

auto to_bitmap(const std::vector<std::size_t>& positions) -> std::string {
    std::string text;
    for (auto position : positions) {
        auto at = position / BITS_PER_DIGIT;
        if (text.size() <= at) {
            text.resize(at + 1, '0');
        }
        constexpr std::string_view DIGITS = "0123456789abcdef";
        auto value = static_cast<unsigned>(digit_value(text[at])) | (1U << (position % BITS_PER_DIGIT));
        text[at] = DIGITS[value];
    }
    return text;
}

auto from_bitmap(std::string_view text) -> std::optional<std::vector<std::size_t>> {
    std::vector<std::size_t> positions;
    for (std::size_t at = 0; at < text.size(); ++at) {
        auto value = digit_value(text[at]);
        if (value < 0) {
            return std::nullopt;
        }
        for (std::size_t bit = 0; bit < BITS_PER_DIGIT; ++bit) {
            if ((static_cast<unsigned>(value) & (1U << bit)) != 0) {
                positions.push_back(at * BITS_PER_DIGIT + bit);
            }
        }
    }
    return positions;
}

auto to_headers(const peer_query& query) -> std::vector<http_header> {
    auto answer_ms = std::max<std::int64_t>(0, query.answer_in / milliseconds{1});
    return {{std::string{VERSION_HEADER}, std::to_string(query.version.value())},
            {std::string{SHARDS_HEADER}, to_bitmap(query.shards)},
            {std::string{ANSWER_MS_HEADER}, std::to_string(answer_ms)}};
}

auto extract_peer_query(std::vector<http_header>& headers) -> std::optional<peer_query> {
    auto version = to_whole_number(header_value(headers, VERSION_HEADER), -1);
    auto answer_ms = to_whole_number(header_value(headers, ANSWER_MS_HEADER), -1);
    auto shards = from_bitmap(header_value(headers, SHARDS_HEADER));
    std::erase_if(headers, [](const http_header& header) {
        return equal_ignoring_case(header.name, VERSION_HEADER) ||
               equal_ignoring_case(header.name, ANSWER_MS_HEADER) ||
               equal_ignoring_case(header.name, SHARDS_HEADER);
    });
    if (version < 0 || answer_ms < 0 || !shards || shards->empty()) {
        return std::nullopt;
    }
    return peer_query{config_version{static_cast<std::uint64_t>(version)}, std::move(*shards),
                      milliseconds{answer_ms}};
}

auto to_peer_response(const query_answer& answer) -> outbound_response {
    outbound_response response;
    if (answer.code != result_code::ok) {
        response.status = 502;
        return response;
    }
    std::string signatures;
    for (const auto& signature : answer.part_signatures) {
        signatures += (signatures.empty() ? "" : ",") + signature;
    }
    response.headers.push_back({std::string{SHARDS_HEADER}, to_bitmap(answer.parts)});
    response.headers.push_back({std::string{SIGNATURES_HEADER}, std::move(signatures)});
    response.headers.push_back({std::string{OPEN_SHARDS_HEADER}, to_bitmap(answer.open_shards)});
    response.body = answer.merged;
    return response;
}

auto peer_not_taken() -> outbound_response {
    return {409, {{std::string{NOT_TAKEN_HEADER}, "1"}}, ""};
}

auto is_not_taken(const std::vector<http_header>& headers) -> bool {
    return has_header(headers, NOT_TAKEN_HEADER);
}

auto peer_refused(duration retry_after) -> outbound_response {
    auto response = peer_not_taken();
    response.headers.push_back(
        {std::string{REFUSED_MS_HEADER}, std::to_string(retry_after / milliseconds{1})});
    return response;
}

auto refused_wait(const std::vector<http_header>& headers) -> std::optional<duration> {
    auto wait_ms = to_whole_number(header_value(headers, REFUSED_MS_HEADER), -1);
    if (!is_not_taken(headers) || wait_ms < 0) {
        return std::nullopt;
    }
    return milliseconds{std::min(wait_ms, MAX_REFUSED_MS)};
}

auto read_peer_response(int status, const std::vector<http_header>& headers, std::string body,
                        const std::vector<std::size_t>& asked) -> group_outcome {
    if (status != 200) {
        return failed_group("the other instance answered with status " + std::to_string(status));
    }
    auto shards = from_bitmap(header_value(headers, SHARDS_HEADER));
    auto open = from_bitmap(header_value(headers, OPEN_SHARDS_HEADER));
    auto signatures = split(header_value(headers, SIGNATURES_HEADER));
    auto was_asked = [&](std::size_t position) {
        return std::find(asked.begin(), asked.end(), position) != asked.end();
    };
    if (!shards || !open || shards->size() != signatures.size() ||
        !std::all_of(shards->begin(), shards->end(), was_asked)) {
        return failed_group("malformed answer from the other instance");
    }
    group_outcome outcome;
    outcome.end = group_end::answered;
    outcome.shards = std::move(*shards);
    outcome.signatures = std::move(signatures);
    outcome.open_shards = std::move(*open);
    outcome.merged = std::move(body);
    return outcome;
}

}  // namespace eelgrassledge
