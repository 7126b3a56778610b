#pragma once

#include <curl/curl.h>

#include <memory>

#include "eelgrassledge/transport/http_call.hpp"

namespace eelgrassledge {

struct slist_deleter {
    auto operator()(curl_slist* list) const -> void { curl_slist_free_all(list); }
};
using header_list = std::unique_ptr<curl_slist, slist_deleter>;

/// Gives the body of one call and receives its response.
struct response_sink {
    std::string_view body_left;
    bool body_offered = false;  ///< Whether any of the body may have been sent.
    http_response response;
    std::size_t limit = 0;
    const std::function<bool(std::string_view)>* on_line = nullptr;
};

/// Sets up a handle for a request. The request, the sink and the list returned must outlive the call.
[[nodiscard]] auto prepare(CURL* handle, const http_request& request, response_sink& sink) -> header_list;

/// Gives the result of a call that ended.
[[nodiscard]] auto finish_call(CURL* handle, CURLcode code, response_sink& sink) -> http_result;

}  // namespace eelgrassledge
