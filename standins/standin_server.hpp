#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>
#include <string>

namespace standins {

using json = nlohmann::json;

/// Traits of the HTTP servers in the test replacements. Everything runs on one thread, so no state needs a
/// lock.
struct traits : public restinio::default_single_thread_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

/// Sends a JSON response with the given HTTP status.
inline auto send_json(const restinio::request_handle_t& request, int status, const json& body) -> void {
    auto out = request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, "Answer"});
    out.append_header(restinio::http_field::content_type, "application/json");
    out.set_body(body.dump());
    out.done();
}

/// Returns the path of a request target, without the query.
inline auto path_of(const restinio::request_handle_t& request) -> std::string {
    auto path = request->header().path();
    return {path.data(), path.size()};
}

/// Returns the parsed body of a request, or a discarded value if it is not JSON.
inline auto body_of(const restinio::request_handle_t& request) -> json {
    return json::parse(request->body(), nullptr, false);
}

/// Serves requests at an address, given as IP:PORT, until the process receives SIGTERM or SIGINT.
inline auto serve(asio::io_context& io, const std::string& address, traits::request_handler_t handler)
    -> void {
    auto colon = address.rfind(':');
    restinio::run(io, restinio::on_this_thread<traits>()
                          .address(address.substr(0, colon))
                          .port(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))))
                          .request_handler(std::move(handler))
                          .max_pipelined_requests(1)
                          .read_next_http_message_timelimit(std::chrono::seconds{600})
                          .handle_request_timeout(std::chrono::seconds{120}));
}

}  // namespace standins
