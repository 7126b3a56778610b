#include "eelgrassledge/proxy/http_connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/ip/address_v4.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace eelgrassledge {

namespace {

/// Time limit for opening a connection. TCP retransmits a dropped SYN only after a second, by when another
/// upstream would have answered.
constexpr std::chrono::milliseconds CONNECT_TIMEOUT{300};

/// A connection is aborted when sent data stays unacknowledged for this time, in milliseconds. A machine that
/// failed or is cut off from the network does not reset its connections.
constexpr int USER_TIMEOUT_MS = 2000;

/// Keep-alive: seconds without traffic before the first probe, seconds between probes, and the number of
/// unanswered probes after which the connection is aborted.
constexpr int KEEP_ALIVE_IDLE_S = 2;
constexpr int KEEP_ALIVE_INTERVAL_S = 1;
constexpr int KEEP_ALIVE_PROBES = 2;

/// Maximum size of the head of an answer, in bytes.
constexpr std::size_t MAX_ANSWER_HEAD = std::size_t{64} << 10U;

/// Value of the `timeout` parameter of the `Keep-Alive` header; empty if absent or not a whole number.
auto keep_alive_timeout(const std::vector<http_header>& headers) -> std::optional<duration> {
    constexpr std::string_view NAME = "timeout=";
    auto text = header_value(headers, "keep-alive");
    auto at = text.find(NAME);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(at + NAME.size());
    auto timeout_s = to_whole_number(text.substr(0, text.find(',')), -1);
    return timeout_s < 0 ? std::nullopt : std::optional<duration>{seconds{timeout_s}};
}

}  // namespace

auto parse_endpoint(const std::string& address) -> result<asio::ip::tcp::endpoint> {
    auto colon = address.rfind(':');
    asio::error_code fault;
    auto ip = asio::ip::make_address_v4(address.substr(0, colon), fault);
    auto port = colon == std::string::npos ? -1 : to_whole_number(address.substr(colon + 1), -1);
    if (fault || port <= 0 || port > 65535) {
        return eelgrassledge::fail(result_code::bad_settings,
                                   "\"" + address + "\" is not an IPv4 address and port");
    }
    return asio::ip::tcp::endpoint{ip, static_cast<std::uint16_t>(port)};
}

auto tune_socket(asio::ip::tcp::socket& socket) -> void {
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    auto set = [&](int option, int value) {
        setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    };
    set(TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
    set(TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S);
    set(TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S);
    set(TCP_KEEPCNT, KEEP_ALIVE_PROBES);
}

http_connection::http_connection(network_context& network, asio::ip::tcp::endpoint remote)
    : network_(network), remote_(std::move(remote)), socket_(network.loop), connect_timer_(network.loop) {}

auto http_connection::exchange(std::string bytes, bool to_head, std::size_t max_body_bytes, done on_done)
    -> void {
    outgoing_ = std::move(bytes);
    written_ = 0;
    started_ = monotonic_now();
    reusable_ = false;
    max_body_bytes_ = max_body_bytes;
    on_done_ = std::move(on_done);
    parser_.emplace(to_head);
    share_.emplace(network_.answers, [this] { give_up_answer(); });
    if (connected_) {
        write_request();
    } else {
        connect();
    }
}

auto http_connection::connect() -> void {
    auto self = shared_from_this();
    connect_timer_.expires_after(CONNECT_TIMEOUT);
    connect_timer_.async_wait([self](const asio::error_code& fault) {
        if (!fault && !self->connected_) {
            self->fail(exchange_end::not_connected, "connect timeout", remote_reachability::unresponsive);
        }
    });
    socket_.async_connect(remote_, [self](const asio::error_code& fault) {
        if (self->closed_) {
            return;
        }
        self->connect_timer_.cancel();
        if (fault) {
            auto refused = fault == asio::error::connection_refused || fault == asio::error::connection_reset;
            self->fail(exchange_end::not_connected, fault.message(),
                       refused ? remote_reachability::responsive : remote_reachability::unknown);
            return;
        }
        self->connected_ = true;
        self->socket_.non_blocking(true);
        tune_socket(self->socket_);
        self->write_request();
    });
}

auto http_connection::write_request() -> void {
    asio::error_code fault;
    auto sent = socket_.write_some(asio::buffer(outgoing_), fault);
    auto self = shared_from_this();
    if (fault && fault != asio::error::would_block) {
        // Posted, so that `on_done` is never called from within `exchange`.
        asio::post(network_.loop, [self, fault] {
            if (self->on_done_) {
                self->fail(exchange_end::broken, "write: " + fault.message());
            }
        });
        return;
    }
    written_ = fault ? 0 : sent;
    wait_for_bytes();
    if (written_ == outgoing_.size()) {
        return;
    }
    auto rest = asio::buffer(outgoing_) + written_;
    asio::async_write(socket_, rest, [self](const asio::error_code& failed, std::size_t count) {
        self->written_ += count;
        if (failed && self->on_done_) {
            self->fail(exchange_end::broken, "write: " + failed.message());
        }
    });
}

auto http_connection::wait_for_bytes() -> void {
    if (waiting_ || closed_) {
        return;
    }
    waiting_ = true;
    auto self = shared_from_this();
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self](const asio::error_code& fault) {
        self->waiting_ = false;
        if (!fault && !self->closed_) {
            self->read_bytes();
        }
    });
}

auto http_connection::read_bytes() -> void {
    asio::error_code fault;
    auto count = socket_.read_some(asio::buffer(network_.read_buffer), fault);
    if (fault == asio::error::would_block) {
        wait_for_bytes();
        return;
    }
    if (!on_done_) {
        // Bytes or the end of the connection while no exchange is running: the connection cannot be reused.
        close();
        return;
    }
    if (fault == asio::error::eof) {
        parser_->end_of_connection();
        if (parser_->state() == parse_state::complete) {
            finish_answer(true);
        } else {
            fail(exchange_end::broken, "connection ended early");
        }
        return;
    }
    if (fault) {
        auto reachability = fault == asio::error::timed_out ? remote_reachability::unresponsive
                                                            : remote_reachability::unknown;
        fail(exchange_end::broken, "read: " + fault.message(), reachability);
        return;
    }
    auto bytes = std::string_view{network_.read_buffer}.substr(0, count);
    auto used = parser_->feed(bytes, {MAX_ANSWER_HEAD, max_body_bytes_});
    share_->update(parser_->memory(), parser_->stated_length());
    if (share_->is_given_up()) {
        return;
    }
    if (parser_->has_interim() && on_interim_) {
        std::exchange(on_interim_, nullptr)();
        if (closed_) {
            return;
        }
    }
    switch (parser_->state()) {
        case parse_state::head:
        case parse_state::body:
            wait_for_bytes();
            return;
        case parse_state::complete:
            finish_answer(used < count);
            return;
        default:
            fail(exchange_end::broken, "invalid HTTP answer, or a size limit exceeded");
    }
}

auto http_connection::finish_answer(bool must_close) -> void {
    exchange_result result;
    result.end = exchange_end::answered;
    result.sent = started_;
    result.answer_begun = true;
    result.reachability = remote_reachability::responsive;
    result.status = parser_->status();
    result.headers = parser_->headers();
    result.body = parser_->take_body();
    keep_alive_ = keep_alive_timeout(result.headers);
    auto all_written = written_ == outgoing_.size();
    reusable_ = parser_->keeps_connection() && !must_close && all_written;
    auto callback = std::exchange(on_done_, nullptr);
    parser_.reset();
    share_.reset();
    if (reusable_) {
        // An idle connection must not keep the memory of a large request; it is written completely.
        std::string{}.swap(outgoing_);
        written_ = 0;
        wait_for_bytes();
    } else {
        close();
    }
    callback(std::move(result));
}

auto http_connection::give_up_answer() -> void {
    parser_.reset();
    asio::error_code ignored;
    socket_.close(ignored);
    asio::post(network_.loop, [self = shared_from_this()] {
        if (self->on_done_) {
            self->fail(exchange_end::broken, "answer too large beside the others in progress",
                       remote_reachability::responsive);
        }
    });
}

auto http_connection::fail(exchange_end end, std::string reason, remote_reachability reachability) -> void {
    exchange_result result;
    result.end = end;
    result.sent = started_;
    result.reason = std::move(reason);
    result.answer_begun = parser_ && parser_->has_begun();
    auto state = parser_ ? parser_->state() : parse_state::head;
    auto is_given_up = share_ && share_->is_given_up();
    result.answer_begun = result.answer_begun || is_given_up;
    result.too_large =
        is_given_up || state == parse_state::body_too_large || state == parse_state::header_too_large;
    result.reachability = result.answer_begun ? remote_reachability::responsive : reachability;
    auto callback = std::exchange(on_done_, nullptr);
    close();
    if (callback) {
        callback(std::move(result));
    }
}

auto http_connection::is_acknowledged() -> bool {
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state != TCP_SYN_SENT && info.tcpi_unacked == 0;
}

auto http_connection::close() -> void {
    if (closed_) {
        return;
    }
    closed_ = true;
    reusable_ = false;
    on_done_ = nullptr;
    on_interim_ = nullptr;
    parser_.reset();
    share_.reset();
    connect_timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
}

}  // namespace eelgrassledge
