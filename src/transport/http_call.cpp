#include "eelgrassledge/transport/http_call.hpp"

#include <memory>
#include <mutex>

#include "curl_request.hpp"

namespace eelgrassledge {

namespace {

/// Transfer rate below which a stream counts as idle.
constexpr long MIN_BYTES_PER_S = 1;

struct easy_deleter {
    auto operator()(CURL* handle) const -> void { curl_easy_cleanup(handle); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;

}  // namespace

auto start_http_library() -> void {
    static std::once_flag started;
    std::call_once(started, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

auto call_http(const http_request& request) -> http_result {
    start_http_library();
    thread_local easy_handle handle{curl_easy_init()};
    curl_easy_reset(handle.get());
    response_sink sink;
    auto headers = prepare(handle.get(), request, sink);
    auto code = curl_easy_perform(handle.get());
    auto result = finish_call(handle.get(), code, sink);
    if (code != CURLE_OK) {
        // libcurl may have recorded on the handle that the body must be rewound before the next request.
        handle.reset(curl_easy_init());
    }
    return result;
}

auto stream_http(const http_request& request, duration idle_timeout,
                 const std::function<bool(std::string_view)>& on_line) -> http_result {
    start_http_library();
    easy_handle handle{curl_easy_init()};
    response_sink sink;
    sink.on_line = &on_line;
    auto headers = prepare(handle.get(), request, sink);
    auto idle_timeout_s =
        std::max<long>(1, static_cast<long>(std::chrono::duration_cast<seconds>(idle_timeout).count()));
    curl_easy_setopt(handle.get(), CURLOPT_LOW_SPEED_LIMIT, MIN_BYTES_PER_S);
    curl_easy_setopt(handle.get(), CURLOPT_LOW_SPEED_TIME, idle_timeout_s);
    auto code = curl_easy_perform(handle.get());
    return finish_call(handle.get(), code, sink);
}

}  // namespace eelgrassledge
