#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/write.hpp>

#include "eelgrassledge/proxy/caller_answers.hpp"
#include "eelgrassledge/proxy/http_server.hpp"

namespace eelgrassledge {

namespace {

/// Bytes of further requests that are buffered while a request is being answered; reading pauses above this.
constexpr std::size_t MAX_READ_AHEAD = std::size_t{16} << 10U;

/// Memory of a session without a request: the session, its socket and its parser, in bytes.
constexpr std::size_t SESSION_BASE_BYTES = 2048;

/// Time for the caller to close its side after we shut down ours. Closing at once with unread bytes would
/// reset the connection, and the caller could lose the last answer.
constexpr duration LINGER_TIME = seconds{1};

/// Added to the configured time-outs, so that a request sent on an idle connection just before its time-out
/// is still answered.
constexpr duration IDLE_SLACK = seconds{2};

/// Rate at which a caller must read an answer, in bytes per second, in addition to the idle time-out. Slower
/// than any usual connection.
constexpr std::size_t MIN_READ_RATE = std::size_t{16} << 10U;

/// Wait that a refusal of a request that was not received completely proposes.
constexpr duration EVICTION_RETRY_AFTER = seconds{1};

/// Empties a string and frees its memory. Assigning `{}` would keep the buffer.
auto release(std::string& text) -> void {
    std::string{}.swap(text);
}

}  // namespace

http_session::http_session(http_server& server, asio::ip::tcp::socket socket)
    : server_(server), socket_(std::move(socket)), phase_started_(monotonic_now()) {}

auto http_session::start() -> void {
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    tune_socket(socket_);
    share_.emplace(server_.network_.sessions, &server_, server_.policy_.is_exempt,
                   [this](eviction_reason reason) { evict(reason); });
    update_share();
    wait_for_bytes();
}

auto http_session::wait_for_bytes() -> void {
    if (waiting_ || phase_ == phase::closed) {
        return;
    }
    waiting_ = true;
    auto self = shared_from_this();
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self](const asio::error_code& fault) {
        self->waiting_ = false;
        if (!fault && self->phase_ != phase::closed) {
            self->read_bytes();
        }
    });
}

auto http_session::receive_limit() const -> std::size_t {
    auto size = server_.network_.read_buffer.size();
    switch (phase_) {
        case phase::reading:
            return parser_.state() == parse_state::body ? size : std::min(size, MAX_READ_AHEAD);
        case phase::answering:
            return MAX_READ_AHEAD - std::min(input_.size(), MAX_READ_AHEAD);
        default:
            return size;
    }
}

auto http_session::read_bytes() -> void {
    auto limit = receive_limit();
    if (limit == 0) {
        return;
    }
    asio::error_code fault;
    auto count = socket_.read_some(asio::buffer(server_.network_.read_buffer.data(), limit), fault);
    if (fault == asio::error::would_block) {
        wait_for_bytes();
        return;
    }
    if (fault) {
        handle_disconnect();
        return;
    }
    std::string_view received{server_.network_.read_buffer.data(), count};
    switch (phase_) {
        case phase::reading:
            parse_input(received);
            return;
        case phase::answering:
            input_.append(received);
            update_share();
            if (receive_limit() > 0) {
                wait_for_bytes();
            }
            server_.enforce_memory_limit();
            return;
        default:
            wait_for_bytes();
    }
}

auto http_session::parse_input(std::string_view received) -> void {
    message_limits limits{server_.limits_.max_header_bytes, server_.limits_.max_body_bytes,
                          server_.policy_.serves_targets_only};
    if (limits.discards_fields) {
        limits.max_body_bytes = 0;
    }
    if (!parser_.has_begun()) {
        phase_started_ = monotonic_now();
    }
    if (input_.empty()) {
        auto used = parser_.feed(received, limits);
        input_.assign(received.substr(used));
    } else {
        input_.append(received);
        auto used = parser_.feed(input_, limits);
        input_.erase(0, used);
    }
    if (input_.empty()) {
        release(input_);
    }
    // Before memory is enforced: a request whose head is valid must not be evicted as an unidentified one.
    if (parser_.state() == parse_state::body && !accept_head()) {
        return;
    }
    update_share();
    server_.enforce_memory_limit();
    if (phase_ != phase::reading) {
        return;
    }
    switch (parser_.state()) {
        case parse_state::body:
            receive_body();
            return;
        case parse_state::head:
            wait_for_bytes();
            return;
        case parse_state::header_too_large:
            refuse({431, {}, ""});
            return;
        case parse_state::body_too_large:
            refuse({413, {}, ""});
            return;
        case parse_state::malformed:
            refuse({400, {}, ""});
            return;
        case parse_state::complete:
            handle_request();
            return;
    }
}

auto http_session::accept_head() -> bool {
    if (head_accepted_) {
        return true;
    }
    if (server_.check_head_) {
        auto head = parser_.head();
        if (auto refusal = server_.check_head_(head)) {
            to_head_ = head.method == "HEAD";
            refuse(*refusal);
            return false;
        }
    }
    head_accepted_ = true;
    body_started_ = monotonic_now();
    return true;
}

auto http_session::receive_body() -> void {
    if (parser_.expects_continue() && !continue_sent_) {
        continue_sent_ = true;
        asio::error_code ignored;
        socket_.write_some(asio::buffer(std::string_view{"HTTP/1.1 100 Continue\r\n\r\n"}), ignored);
    }
    wait_for_bytes();
}

auto http_session::handle_request() -> void {
    request_bytes_ = 2 * parser_.memory();
    auto request = parser_.take();
    ++requests_;
    phase_ = phase::answering;
    continue_sent_ = false;
    head_accepted_ = false;
    keep_alive_ = request.keep_alive;
    to_head_ = request.method == "HEAD";
    update_share();
    server_.enforce_memory_limit();
    if (phase_ != phase::answering) {
        return;
    }
    // Continues to read in order to detect that the caller disconnects.
    wait_for_bytes();
    server_.handle_(shared_from_this(), std::move(request));
}

auto http_session::refuse(const outbound_response& response) -> void {
    parser_.reset();
    release(input_);
    phase_ = phase::answering;
    keep_alive_ = false;
    respond(response);
}

auto http_session::respond(const outbound_response& response) -> void {
    if (phase_ != phase::answering) {
        return;
    }
    on_abandoned_ = nullptr;
    auto close_after = !keep_alive_ || server_.closes_after_answers_;
    write(to_bytes(response, close_after, to_head_), close_after);
}

auto http_session::network_time() -> duration {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return {};
    }
    auto round_trips = requests_ <= 1 ? 2 : 1;
    return microseconds{info.tcpi_rtt} * round_trips;
}

auto http_session::send_interim() -> void {
    if (phase_ == phase::answering) {
        // Bytes that the socket does not accept now are not sent later; the answer follows in any case.
        asio::error_code ignored;
        socket_.write_some(asio::buffer(std::string_view{"HTTP/1.1 102 Processing\r\n\r\n"}), ignored);
    }
}

auto http_session::write(std::string bytes, bool close_after) -> void {
    request_bytes_ = 0;
    outgoing_ = std::move(bytes);
    asio::error_code fault;
    auto sent = socket_.write_some(asio::buffer(outgoing_), fault);
    if (fault && fault != asio::error::would_block) {
        close();
        return;
    }
    if (!fault && sent == outgoing_.size()) {
        finish_write(close_after);
        return;
    }
    auto rest = asio::buffer(outgoing_) + (fault ? 0 : sent);
    writing_ = true;
    write_started_ = monotonic_now();
    write_limit_ = server_.limits_.idle_timeout + IDLE_SLACK +
                   milliseconds{static_cast<std::int64_t>(1000 * rest.size() / MIN_READ_RATE)};
    auto self = shared_from_this();
    asio::async_write(socket_, rest, [self, close_after](const asio::error_code& failed, std::size_t) {
        if (failed) {
            self->close();
        } else {
            self->finish_write(close_after);
        }
    });
    update_share();
    server_.enforce_memory_limit();
}

auto http_session::finish_write(bool close_after) -> void {
    if (phase_ == phase::closed) {
        return;
    }
    release(outgoing_);
    writing_ = false;
    phase_started_ = monotonic_now();
    if (close_after) {
        linger();
        return;
    }
    phase_ = phase::reading;
    update_share();
    if (!input_.empty()) {
        auto self = shared_from_this();
        asio::post(server_.network_.loop, [self] {
            if (self->phase_ == phase::reading) {
                self->parse_input({});
            }
        });
        return;
    }
    wait_for_bytes();
}

auto http_session::is_idle() const -> bool {
    // Under load, a request may wait in the socket's buffer; closing now would discard it unanswered.
    asio::error_code ignored;
    return phase_ == phase::reading && !parser_.has_begun() && input_.empty() &&
           socket_.available(ignored) == 0;
}

auto http_session::linger() -> void {
    phase_ = phase::lingering;
    release(input_);
    update_share();
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    wait_for_bytes();
}

auto http_session::handle_disconnect() -> void {
    auto hook = std::exchange(on_abandoned_, nullptr);
    close();
    if (hook) {
        hook();
    }
}

auto http_session::close() -> void {
    if (phase_ == phase::closed) {
        return;
    }
    phase_ = phase::closed;
    share_.reset();
    asio::error_code ignored;
    socket_.close(ignored);
    // Freed at once: this object lives until a cancelled write has been reported, which happens after all
    // events that are ready now. A write on a closed socket does not read its buffer any more.
    parser_.reset();
    release(input_);
    release(outgoing_);
    server_.sessions_.erase(shared_from_this());
}

auto http_session::stage() const -> session_stage {
    if (phase_ == phase::lingering || phase_ == phase::closed) {
        return session_stage::closing;
    }
    if (phase_ == phase::answering) {
        return writing_ ? session_stage::delivering : session_stage::running;
    }
    if (head_accepted_) {
        return session_stage::identified;
    }
    return parser_.has_begun() || requests_ == 0 ? session_stage::unidentified : session_stage::idle;
}

auto http_session::update_share() -> void {
    if (!share_) {
        return;
    }
    auto bytes =
        SESSION_BASE_BYTES + input_.capacity() + parser_.memory() + outgoing_.capacity() + request_bytes_;
    share_->update(bytes, stage(), writing_ ? write_started_ : phase_started_);
}

auto http_session::evict(eviction_reason reason) -> void {
    // Closing may release the last owner.
    auto self = shared_from_this();
    server_.report_loss(*share_, to_string(reason));
    if (phase_ != phase::reading || !parser_.has_begun()) {
        handle_disconnect();
        return;
    }
    auto refusal = error_response(result_code::overloaded, EVICTION_RETRY_AFTER);
    if (reason == eviction_reason::memory) {
        refuse(refusal);
        return;
    }
    // Lingering would keep the descriptor.
    asio::error_code ignored;
    socket_.write_some(asio::buffer(to_bytes(refusal, true, false)), ignored);
    close();
}

auto http_session::enforce_timeout(time_point now) -> void {
    auto age = now - phase_started_;
    const auto& limits = server_.limits_;
    if (phase_ == phase::lingering && age > LINGER_TIME) {
        close();
    } else if (writing_ && now - write_started_ > write_limit_) {
        server_.report_loss(*share_, "read_time");
        close();
    } else if (phase_ != phase::reading) {
        return;
    } else if (head_accepted_ && now - body_started_ > limits.idle_timeout + IDLE_SLACK) {
        server_.report_loss(*share_, "body_time");
        refuse({408, {}, ""});
    } else if (!head_accepted_ && parser_.has_begun() && age > limits.header_timeout + IDLE_SLACK) {
        server_.report_loss(*share_, "header_time");
        refuse({408, {}, ""});
    } else if (is_idle() && age > limits.idle_timeout + IDLE_SLACK) {
        linger();
    }
}

}  // namespace eelgrassledge
