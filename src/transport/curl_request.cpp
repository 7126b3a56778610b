#include "curl_request.hpp"

#include <algorithm>
#include <charconv>

#include "eelgrassledge/core/status_line.hpp"

namespace eelgrassledge {

namespace {

constexpr long CONNECT_TIMEOUT_MS = 1000;

/// Maximum size of the heads of a response, in bytes.
constexpr std::size_t MAX_HEAD_BYTES = std::size_t{64} << 10U;

auto deliver_lines(response_sink& sink) -> bool {
    std::size_t begin = 0;
    for (auto end = sink.response.body.find('\n'); end != std::string::npos;
         end = sink.response.body.find('\n', begin)) {
        if (!(*sink.on_line)(std::string_view{sink.response.body}.substr(begin, end - begin))) {
            return false;
        }
        begin = end + 1;
    }
    sink.response.body.erase(0, begin);
    return true;
}

auto on_body(char* data, std::size_t size, std::size_t count, void* user) -> std::size_t {
    auto& sink = *static_cast<response_sink*>(user);
    sink.response.body.append(data, size * count);
    if (sink.response.body.size() > sink.limit) {
        return 0;
    }
    if (sink.share) {
        sink.share->update(sink.response.body.capacity(), sink.stated_length);
        if (sink.share->is_given_up()) {
            return 0;
        }
    }
    if (sink.on_line != nullptr && !deliver_lines(sink)) {
        return 0;
    }
    return size * count;
}

/// Supplies the request body to libcurl in chunks. It cannot be rewound on purpose: if the connection fails
/// after part of the body may have been sent, libcurl reports the request as failed instead of resending it
/// on a new connection.
auto on_read(char* buffer, std::size_t size, std::size_t count, void* user) -> std::size_t {
    auto& sink = *static_cast<response_sink*>(user);
    auto chunk = sink.unsent_body.substr(0, size * count);
    sink.unsent_body.remove_prefix(chunk.size());
    sink.body_may_be_sent = sink.body_may_be_sent || !chunk.empty();
    std::ranges::copy(chunk, buffer);
    return chunk.size();
}

/// Value of a header line without surrounding blanks, if the line is a header of this name.
auto value_of(std::string_view line, std::string_view name) -> std::optional<std::string_view> {
    if (line.size() <= name.size() || line[name.size()] != ':' ||
        curl_strnequal(line.data(), name.data(), name.size()) == 0) {
        return std::nullopt;
    }
    auto value = line.substr(name.size() + 1);
    constexpr std::string_view BLANKS = "\r\n ";
    auto begin = value.find_first_not_of(BLANKS);
    auto end = value.find_last_not_of(BLANKS);
    return begin == std::string_view::npos ? std::string_view{} : value.substr(begin, end - begin + 1);
}

auto on_header(char* data, std::size_t size, std::size_t count, void* user) -> std::size_t {
    std::string_view line{data, size * count};
    auto& sink = *static_cast<response_sink*>(user);
    sink.head_bytes += line.size();
    if (sink.head_bytes > MAX_HEAD_BYTES) {
        return 0;
    }
    auto is_status_line = line.starts_with("HTTP/");
    if (is_status_line && status_line_check{}.feed(line) != status_validity::valid) {
        return 0;
    }
    if (auto wait = value_of(line, "retry-after")) {
        sink.response.retry_after = std::string{*wait};
    } else if (auto length = value_of(line, "content-length")) {
        std::size_t bytes = 0;
        auto [end, fault] = std::from_chars(length->data(), length->data() + length->size(), bytes);
        if (fault == std::errc{} && end == length->data() + length->size()) {
            sink.stated_length = bytes;
        }
    }
    return size * count;
}

auto headers_of(const http_request& request) -> header_list {
    curl_slist* list = curl_slist_append(nullptr, "Content-Type: application/json");
    list = curl_slist_append(list, "Expect:");
    for (const auto& header : request.headers) {
        list = curl_slist_append(list, header.c_str());
    }
    return header_list{list};
}

auto failure_of(CURLcode code) -> http_failure {
    switch (code) {
        case CURLE_OK:
            return http_failure::none;
        case CURLE_COULDNT_CONNECT:
        case CURLE_COULDNT_RESOLVE_HOST:
        case CURLE_URL_MALFORMAT:
            return http_failure::not_sent;
        case CURLE_WRITE_ERROR:
        case CURLE_WEIRD_SERVER_REPLY:
        // The status line is invalid; all URLs have a supported scheme.
        case CURLE_UNSUPPORTED_PROTOCOL:
            return http_failure::bad_response;
        default:
            return http_failure::unclear;
    }
}

}  // namespace

auto prepare(CURL* handle, const http_request& request, response_sink& sink) -> header_list {
    auto headers = headers_of(request);
    sink.limit = request.max_response_bytes;
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &sink);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &sink);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(to_milliseconds(request.timeout)));
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        sink.unsent_body = request.body;
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, on_read);
        curl_easy_setopt(handle, CURLOPT_READDATA, &sink);
    }
    return headers;
}

auto finish_call(CURL* handle, CURLcode code, response_sink& sink) -> http_result {
    http_result result;
    result.failure = failure_of(code);
    if (result.failure == http_failure::not_sent && sink.body_may_be_sent) {
        result.failure = http_failure::unclear;
    }
    if (code != CURLE_OK) {
        result.reason = curl_easy_strerror(code);
        return result;
    }
    if (sink.share && sink.share->is_given_up()) {
        result.failure = http_failure::bad_response;
        result.reason = "response too large beside the others in progress";
        return result;
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    result.response = std::move(sink.response);
    result.response.status = static_cast<int>(status);
    return result;
}

}  // namespace eelgrassledge
