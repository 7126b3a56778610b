#include "http_server.hpp"

#include <fmt/format.h>

#include <restinio/all.hpp>

namespace eelgrassledge {

namespace {

struct server_traits : public restinio::default_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    static constexpr bool use_connection_count_limiter = true;
};

using running_server = restinio::running_server_handle_t<server_traits>;

constexpr auto KEEP_ALIVE = std::chrono::seconds{60};
constexpr auto HANDLE_TIMEOUT = std::chrono::seconds{620};

auto bearer_token_of(const restinio::request_handle_t& request) -> std::string {
    constexpr std::string_view SCHEME = "Bearer ";
    auto value = request->header().get_field_or(restinio::http_field::authorization, std::string{});
    return value.starts_with(SCHEME) ? value.substr(SCHEME.size()) : std::string{};
}

auto to_api_request(const restinio::request_handle_t& request) -> api_request {
    auto path = request->header().path();
    return {std::string{request->header().method().c_str()}, std::string{path.data(), path.size()},
            request->body(), request->header().get_field_or("X-Caller-Key", std::string{}),
            bearer_token_of(request)};
}

auto reason_phrase_of(int status) -> std::string {
    return status < 400 ? "OK" : "Refused";
}

auto send(const restinio::request_handle_t& request, const api_response& response) -> void {
    auto out = request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)},
        reason_phrase_of(response.status)});
    out.append_header(restinio::http_field::content_type, response.content_type);
    if (response.retry_after) {
        auto whole_seconds = std::max<std::int64_t>(1, (response.retry_after->count() + 999'999) / 1'000'000);
        out.append_header(restinio::http_field::retry_after, std::to_string(whole_seconds));
    }
    out.set_body(response.body);
    out.done();
}

}  // namespace

struct http_server::implementation {
    handler on_request;
    http_limits limits;
    running_server server;
};

http_server::http_server(handler on_request, http_limits limits)
    : impl_(std::make_unique<implementation>(implementation{std::move(on_request), limits, nullptr})) {}

http_server::~http_server() {
    stop();
}

auto http_server::start(const std::string& address) -> result<bool> {
    auto colon = address.rfind(':');
    auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    auto limits = restinio::incoming_http_msg_limits_t{}
                      .max_body_size(impl_->limits.max_body_bytes)
                      .max_field_name_size(256)
                      .max_field_value_size(impl_->limits.max_header_bytes)
                      .max_field_count(64)
                      .max_url_size(2048);
    auto handle_request = [this](const restinio::request_handle_t& request) {
        impl_->on_request(to_api_request(request),
                          [request](const api_response& response) { send(request, response); });
        return restinio::request_accepted();
    };
    try {
        impl_->server =
            restinio::run_async<server_traits>(restinio::own_io_context(),
                                               restinio::server_settings_t<server_traits>{}
                                                   .address(address.substr(0, colon))
                                                   .port(port)
                                                   .request_handler(handle_request)
                                                   .incoming_http_msg_limits(limits)
                                                   .max_parallel_connections(impl_->limits.max_connections)
                                                   .read_next_http_message_timelimit(KEEP_ALIVE)
                                                   .handle_request_timeout(HANDLE_TIMEOUT),
                                               impl_->limits.threads);
    } catch (const std::exception& e) {
        return fail(result_code::cannot_listen, fmt::format("{}: {}", address, e.what()));
    }
    return true;
}

auto http_server::stop() -> void {
    if (impl_->server) {
        impl_->server->stop();
        impl_->server->wait();
        impl_->server.reset();
    }
}

}  // namespace eelgrassledge
