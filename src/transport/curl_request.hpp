#pragma once

#include <curl/curl.h>

#include <memory>
#include <optional>

#include "eelgrassledge/core/answer_memory.hpp"
#include "eelgrassledge/transport/http_call.hpp"

namespace eelgrassledge {

struct slist_deleter {
    auto operator()(curl_slist* list) const -> void { curl_slist_free_all(list); }
};
using header_list = std::unique_ptr<curl_slist, slist_deleter>;

/// State of one call: the rest of the body to send and the response received so far.
struct response_sink {
    std::string_view unsent_body;
    bool body_may_be_sent = false;  ///< Whether any of the body may have been sent.
    http_response response;
    std::size_t limit = 0;
    /// Bytes of all heads received, those of interim responses included.
    std::size_t head_bytes = 0;
    /// Length of the body, if the response states it.
    std::optional<std::size_t> stated_length;
    /// Memory of the body, if it is limited together with that of other calls.
    std::optional<answer_share> share;
    const std::function<bool(std::string_view)>* on_line = nullptr;
};

/// Configures a handle for a request. The request, the sink and the returned list must outlive the call.
[[nodiscard]] auto prepare(CURL* handle, const http_request& request, response_sink& sink) -> header_list;

/// Returns the result of a completed call; moves the response out of the sink.
[[nodiscard]] auto finish_call(CURL* handle, CURLcode code, response_sink& sink) -> http_result;

}  // namespace eelgrassledge
