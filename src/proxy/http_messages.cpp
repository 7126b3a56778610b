#include "eelgrassledge/proxy/http_messages.hpp"

#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <set>

namespace eelgrassledge {

namespace {

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), and framing headers, which are
/// generated again for each message.
constexpr std::array<std::string_view, 10> CONNECTION_HEADERS{
    "connection",        "keep-alive", "proxy-connection", "te",     "trailer",
    "transfer-encoding", "upgrade",    "content-length",   "expect", "proxy-authorization"};

auto trimmed(std::string_view text) -> std::string_view {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

auto lower_case(std::string_view text) -> std::string {
    std::string lower{text};
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

/// Adds the items of a comma-separated list, in lower case.
auto add_tokens(std::set<std::string>& tokens, std::string_view list) -> void {
    while (!list.empty()) {
        auto comma = list.find(',');
        tokens.insert(lower_case(trimmed(list.substr(0, comma))));
        if (comma == std::string_view::npos) {
            return;
        }
        list.remove_prefix(comma + 1);
    }
}

auto append_headers(std::string& bytes, const std::vector<http_header>& headers) -> void {
    for (const auto& header : headers) {
        bytes += header.name;
        bytes += ": ";
        bytes += header.value;
        bytes += "\r\n";
    }
}

/// Reason phrase of a status code, from the table of the HTTP library.
auto reason_phrase(int status) -> std::string_view {
    switch (status) {
#define EELGRASSLEDGE_STATUS(number, name, phrase) \
    case number:                                   \
        return #phrase;
        HTTP_STATUS_MAP(EELGRASSLEDGE_STATUS)
#undef EELGRASSLEDGE_STATUS
        default:
            return "Unknown";
    }
}

}  // namespace

auto equal_ignoring_case(std::string_view a, std::string_view b) -> bool {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

auto header_value(const std::vector<http_header>& headers, std::string_view name) -> std::string_view {
    auto found = std::find_if(headers.begin(), headers.end(),
                              [&](const http_header& h) { return equal_ignoring_case(h.name, name); });
    return found == headers.end() ? std::string_view{} : trimmed(found->value);
}

auto has_header(const std::vector<http_header>& headers, std::string_view name) -> bool {
    return std::any_of(headers.begin(), headers.end(),
                       [&](const http_header& h) { return equal_ignoring_case(h.name, name); });
}

auto without_connection_headers(const std::vector<http_header>& headers) -> std::vector<http_header> {
    // Collected first: a request may have thousands of fields, and as many names in `Connection`.
    std::set<std::string> named;
    for (const auto& header : headers) {
        if (equal_ignoring_case(header.name, "connection")) {
            add_tokens(named, header.value);
        }
    }
    std::vector<http_header> kept;
    for (const auto& header : headers) {
        auto listed =
            std::any_of(CONNECTION_HEADERS.begin(), CONNECTION_HEADERS.end(),
                        [&](std::string_view name) { return equal_ignoring_case(name, header.name); });
        if (!listed && (named.empty() || !named.contains(lower_case(header.name)))) {
            kept.push_back(header);
        }
    }
    return kept;
}

auto to_bytes(const inbound_request& request) -> std::string {
    std::string bytes;
    bytes.reserve(256 + request.body.size());
    bytes += request.method;
    bytes += ' ';
    bytes += request.target;
    bytes += " HTTP/1.1\r\n";
    append_headers(bytes, request.headers);
    auto has_no_body = request.body.empty() && (request.method == "GET" || request.method == "HEAD");
    if (!has_no_body) {
        bytes += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    bytes += "\r\n";
    bytes += request.body;
    return bytes;
}

auto to_bytes(const outbound_response& response, bool close, bool without_body) -> std::string {
    auto bytes = fmt::format("HTTP/1.1 {} {}\r\n", response.status, reason_phrase(response.status));
    append_headers(bytes, response.headers);
    auto bodiless_status = response.status == 204 || response.status == 304;
    if (!bodiless_status) {
        bytes += fmt::format("Content-Length: {}\r\n", response.body.size());
    }
    if (close) {
        bytes += "Connection: close\r\n";
    }
    bytes += "\r\n";
    if (!without_body && !bodiless_status) {
        bytes += response.body;
    }
    return bytes;
}

auto to_whole_number(std::string_view text, std::int64_t fallback) -> std::int64_t {
    std::int64_t number = 0;
    auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    auto is_whole = fault == std::errc{} && end == text.data() + text.size() && !text.empty() && number >= 0;
    return is_whole ? number : fallback;
}

auto parse_seconds(std::string_view text) -> std::optional<duration> {
    constexpr std::string_view ALLOWED = "0123456789.";
    constexpr double LONGEST_S = 86'400;
    double value_s = 0;
    auto [end, fault] =
        std::from_chars(text.data(), text.data() + text.size(), value_s, std::chars_format::fixed);
    if (text.empty() || text.find_first_not_of(ALLOWED) != std::string_view::npos ||
        end != text.data() + text.size() || fault == std::errc::invalid_argument) {
        return std::nullopt;
    }
    // A number out of range has too many digits; `value_s` is unchanged then.
    auto bounded_s = fault == std::errc{} ? std::min(value_s, LONGEST_S) : LONGEST_S;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(bounded_s));
}

}  // namespace eelgrassledge
