#include "eelgrassledge/transport/http_call.hpp"

#include <memory>
#include <mutex>

#include "curl_request.hpp"

namespace eelgrassledge {

namespace {

/// Speed below which a stream counts as silent.
constexpr long SLOWEST_BYTES_PER_S = 1;

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
        // libcurl may have noted on it that the next request must be rewound first.
        handle.reset(curl_easy_init());
    }
    return result;
}

auto stream_http(const http_request& request, duration silence,
                 const std::function<bool(std::string_view)>& on_line) -> http_result {
    start_http_library();
    easy_handle handle{curl_easy_init()};
    response_sink sink;
    sink.on_line = &on_line;
    auto headers = prepare(handle.get(), request, sink);
    auto silence_s =
        std::max<long>(1, static_cast<long>(std::chrono::duration_cast<seconds>(silence).count()));
    curl_easy_setopt(handle.get(), CURLOPT_LOW_SPEED_LIMIT, SLOWEST_BYTES_PER_S);
    curl_easy_setopt(handle.get(), CURLOPT_LOW_SPEED_TIME, silence_s);
    auto code = curl_easy_perform(handle.get());
    return finish_call(handle.get(), code, sink);
}

}  // namespace eelgrassledge
