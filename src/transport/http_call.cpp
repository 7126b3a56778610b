#include "eelgrassledge/transport/http_call.hpp"

#include <curl/curl.h>

#include <memory>
#include <mutex>

namespace eelgrassledge {

namespace {

/// Calls in a second at which a silent stream is checked.
constexpr long SLOWEST_BYTES_PER_S = 1;
constexpr duration CONNECT_TIMEOUT = milliseconds{1000};

struct easy_deleter {
    auto operator()(CURL* handle) const -> void { curl_easy_cleanup(handle); }
};
struct slist_deleter {
    auto operator()(curl_slist* list) const -> void { curl_slist_free_all(list); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;
using header_list = std::unique_ptr<curl_slist, slist_deleter>;

struct body_sink {
    std::string body;
    std::size_t limit = 0;
    const std::function<bool(std::string_view)>* on_line = nullptr;
};

auto deliver_lines(body_sink& sink) -> bool {
    std::size_t begin = 0;
    for (auto end = sink.body.find('\n'); end != std::string::npos; end = sink.body.find('\n', begin)) {
        if (!(*sink.on_line)(std::string_view{sink.body}.substr(begin, end - begin))) {
            return false;
        }
        begin = end + 1;
    }
    sink.body.erase(0, begin);
    return true;
}

auto on_body(char* data, std::size_t size, std::size_t count, void* user) -> std::size_t {
    auto& sink = *static_cast<body_sink*>(user);
    sink.body.append(data, size * count);
    if (sink.body.size() > sink.limit) {
        return 0;
    }
    if (sink.on_line != nullptr && !deliver_lines(sink)) {
        return 0;
    }
    return size * count;
}

auto on_header(char* data, std::size_t size, std::size_t count, void* user) -> std::size_t {
    constexpr std::string_view RETRY_AFTER = "retry-after:";
    std::string_view line{data, size * count};
    if (line.size() > RETRY_AFTER.size() && curl_strnequal(line.data(), RETRY_AFTER.data(), RETRY_AFTER.size()) != 0) {
        auto value = line.substr(RETRY_AFTER.size());
        auto begin = value.find_first_not_of(' ');
        auto end = value.find_last_not_of("\r\n ");
        *static_cast<std::string*>(user) =
            begin == std::string_view::npos ? std::string{} : std::string{value.substr(begin, end - begin + 1)};
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
        case CURLE_UNSUPPORTED_PROTOCOL:
            return http_failure::not_sent;
        default:
            return http_failure::unclear;
    }
}

auto perform(CURL* handle, const http_request& request, body_sink& sink) -> http_result {
    http_result result;
    auto headers = headers_of(request);
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &sink);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &result.response.retry_after);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(to_milliseconds(CONNECT_TIMEOUT)));
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    auto code = curl_easy_perform(handle);
    result.failure = failure_of(code);
    if (code != CURLE_OK) {
        result.reason = curl_easy_strerror(code);
        return result;
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    result.response.status = static_cast<int>(status);
    result.response.body = std::move(sink.body);
    return result;
}

}  // namespace

auto start_http_library() -> void {
    static std::once_flag started;
    std::call_once(started, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

auto call_http(const http_request& request) -> http_result {
    start_http_library();
    thread_local easy_handle handle{curl_easy_init()};
    curl_easy_reset(handle.get());
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(to_milliseconds(request.timeout)));
    body_sink sink{{}, request.max_response_bytes, nullptr};
    return perform(handle.get(), request, sink);
}

auto stream_http(const http_request& request, duration silence,
                 const std::function<bool(std::string_view)>& on_line) -> http_result {
    start_http_library();
    easy_handle handle{curl_easy_init()};
    auto silence_s = std::max<long>(1, static_cast<long>(std::chrono::duration_cast<seconds>(silence).count()));
    curl_easy_setopt(handle.get(), CURLOPT_LOW_SPEED_LIMIT, SLOWEST_BYTES_PER_S);
    curl_easy_setopt(handle.get(), CURLOPT_LOW_SPEED_TIME, silence_s);
    body_sink sink{{}, request.max_response_bytes, &on_line};
    return perform(handle.get(), request, sink);
}

}  // namespace eelgrassledge
