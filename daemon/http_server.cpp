#include "http_server.hpp"

#include <fmt/format.h>

#include <restinio/all.hpp>

#include "counted_socket.hpp"

namespace eelgrassledge {

namespace {

struct server_traits : public restinio::default_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using stream_socket_t = counted_socket;
    static constexpr bool use_connection_count_limiter = true;
};

using running_server = restinio::running_server_handle_t<server_traits>;

constexpr auto KEEP_ALIVE = std::chrono::seconds{60};
/// Connections that are accepted while evicted ones are being closed.
constexpr std::size_t CLOSING_CONNECTIONS = 16;
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

auto send(const restinio::request_handle_t& request, const std::shared_ptr<caller_session>& session,
          const api_response& response) -> void {
    session->begin_answer(response.body.size());
    auto out = request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)},
        reason_phrase_of(response.status)});
    out.append_header(restinio::http_field::content_type, response.content_type);
    if (response.retry_after) {
        auto whole_seconds = std::max<std::int64_t>(1, (response.retry_after->count() + 999'999) / 1'000'000);
        out.append_header(restinio::http_field::retry_after, std::to_string(whole_seconds));
    }
    out.set_body(response.body);
    out.done([session](const asio::error_code&) { session->end_answer(); });
}

}  // namespace

struct http_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(handler request_handler, http_limits server_limits,
                   caller_sessions::evicted_hook on_evicted)
        : on_request(std::move(request_handler)),
          limits(server_limits),
          sessions(limits.sessions, std::move(on_evicted)) {
        asio::make_service<caller_sessions_service>(context, &sessions);
    }

    /// A request that runs. It may outlive the server; its connection needs the I/O context, and its session
    /// the account, until both are destroyed.
    struct unanswered_request {
        std::shared_ptr<implementation> server;
        std::shared_ptr<caller_session> session;
        restinio::request_handle_t request;
    };

    auto handle(const restinio::request_handle_t& request) -> restinio::request_handling_status_t {
        auto session = caller_session::current();
        if (session->begin_request(request->body().size())) {
            on_request(to_api_request(request),
                       [unanswered = unanswered_request{shared_from_this(), session, request}](
                           const api_response& response) {
                           send(unanswered.request, unanswered.session, response);
                       });
        } else {
            constexpr auto CODE = result_code::overloaded;
            auto refusal = json_response(http_status_of(CODE),
                                         encode_refusal(CODE, "the requests of callers hold all memory", {}));
            refusal.retry_after = seconds{1};
            send(request, session, refusal);
        }
        return restinio::request_accepted();
    }

    handler on_request;
    http_limits limits;
    caller_sessions sessions;
    asio::io_context context;  ///< Destroyed before the account, which its connections use.
    running_server server;
};

http_server::http_server(handler on_request, http_limits limits, caller_sessions::evicted_hook on_evicted)
    : impl_(std::make_shared<implementation>(std::move(on_request), limits, std::move(on_evicted))) {}

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
        return impl_->handle(request);
    };
    try {
        impl_->server = restinio::run_async<server_traits>(
            restinio::external_io_context(impl_->context),
            restinio::server_settings_t<server_traits>{}
                .address(address.substr(0, colon))
                .port(port)
                .request_handler(handle_request)
                .incoming_http_msg_limits(limits)
                .max_parallel_connections(impl_->limits.sessions.connections + CLOSING_CONNECTIONS)
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
