#include "eelgrassledge/proxy/http_parsers.hpp"

#include <http_parser.h>

#include <algorithm>

#include "eelgrassledge/core/status_line.hpp"

namespace eelgrassledge {

namespace {

/// Limit on the size of a head on the wire, per byte that its names and values may have. The overhead of a
/// one-letter field is three times the field. This also limits heads without fields, such as a series of
/// interim answers.
constexpr std::size_t HEAD_BYTES_PER_FIELD_BYTE = 4;

/// Framing bytes allowed per byte of the decoded body, in addition to `max_header_bytes`.
constexpr std::size_t FRAMING_PER_BODY_BYTE = 2;

/// Collects a message from the callbacks of the HTTP library; shared by the request and response parsers.
struct message_collector {
    http_parser parser{};
    http_parser_settings callbacks{};
    message_limits limits;
    parse_state state = parse_state::head;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    /// Value of the Content-Length header, if there is one.
    std::size_t stated_length = 0;
    /// Bytes of the target and of all header names and values so far.
    std::size_t head_bytes = 0;
    /// Bytes received so far for the head, and for the body with its framing.
    std::size_t head_wire_bytes = 0;
    std::size_t body_wire_bytes = 0;
    /// Whether the last callback was for a header value, so that the next name starts a new header.
    bool in_value = false;
    bool begun = false;
    /// Set for the answer to a HEAD request.
    bool skip_body = false;
    bool keep_alive = false;
    bool interim = false;
    /// State of the status line that is being received; empty between lines and for requests.
    std::optional<status_line_check> status_line;

    explicit message_collector(http_parser_type type) {
        http_parser_settings_init(&callbacks);
        if (type == HTTP_RESPONSE) {
            callbacks.on_message_begin = on_answer_begin;
        }
        callbacks.on_url = on_url;
        callbacks.on_header_field = on_header_field;
        callbacks.on_header_value = on_header_value;
        callbacks.on_headers_complete = on_headers_complete;
        callbacks.on_body = on_body;
        callbacks.on_message_complete = on_message_complete;
        http_parser_init(&parser, type);
        parser.data = this;
    }

    static auto self(http_parser* p) -> message_collector& {
        return *static_cast<message_collector*>(p->data);
    }

    /// Counts bytes of the head. Returns 0, or 1 to stop the HTTP library when the limit is exceeded.
    auto count_head_bytes(std::size_t bytes) -> int {
        head_bytes += bytes;
        if (head_bytes <= limits.max_header_bytes) {
            return 0;
        }
        state = parse_state::header_too_large;
        return 1;
    }

    /// Fields after the body of a request are discarded: they must not replace headers that decide about it.
    [[nodiscard]] auto discards_fields() const -> bool {
        return parser.type == HTTP_REQUEST && (state == parse_state::body || limits.discards_fields);
    }

    [[nodiscard]] auto memory() const -> std::size_t {
        return headers.capacity() * sizeof(http_header) + head_bytes + body.capacity();
    }

    /// Makes room for `bytes` more of the body, by doubling up to its stated length or the limit.
    auto reserve_body(std::size_t bytes) -> void {
        auto needed = body.size() + bytes;
        if (needed <= body.capacity()) {
            return;
        }
        auto largest =
            (parser.flags & F_CONTENTLENGTH) != 0 ? stated_length : std::size_t{limits.max_body_bytes};
        body.reserve(std::max(needed, std::min(2 * body.capacity(), largest)));
    }

    /// Pauses after the first byte of a status line, so that `feed` knows where the line begins.
    static auto on_answer_begin(http_parser* p) -> int {
        self(p).status_line.emplace();
        http_parser_pause(p, 1);
        return 0;
    }

    static auto on_url(http_parser* p, const char* at, std::size_t length) -> int {
        self(p).target.append(at, length);
        return self(p).count_head_bytes(length);
    }

    static auto on_header_field(http_parser* p, const char* at, std::size_t length) -> int {
        auto& me = self(p);
        if (me.discards_fields()) {
            return me.count_head_bytes(length);
        }
        if (me.in_value || me.headers.empty()) {
            me.headers.emplace_back();
            me.in_value = false;
        }
        me.headers.back().name.append(at, length);
        return me.count_head_bytes(length);
    }

    static auto on_header_value(http_parser* p, const char* at, std::size_t length) -> int {
        auto& me = self(p);
        if (me.discards_fields()) {
            return me.count_head_bytes(length);
        }
        me.in_value = true;
        me.headers.back().value.append(at, length);
        return me.count_head_bytes(length);
    }

    static auto on_headers_complete(http_parser* p) -> int {
        auto& me = self(p);
        if (p->type == HTTP_RESPONSE && p->status_code >= 100 && p->status_code < 200) {
            // An interim answer; the final answer follows.
            me.headers.clear();
            me.interim = true;
            return 0;
        }
        // The HTTP library accepts blanks in names, which upstreams may ignore (RFC 9112, section 5.1).
        auto has_blank = [](const http_header& header) { return header.name.find(' ') != std::string::npos; };
        if (p->type == HTTP_REQUEST && std::any_of(me.headers.begin(), me.headers.end(), has_blank)) {
            me.state = parse_state::malformed;
            return -1;
        }
        me.state = parse_state::body;
        me.stated_length = p->content_length;
        me.keep_alive = http_should_keep_alive(p) != 0;
        auto stated_too_large =
            (p->flags & F_CONTENTLENGTH) != 0 && p->content_length > me.limits.max_body_bytes;
        if (stated_too_large && !me.skip_body) {
            me.state = parse_state::body_too_large;
            return -1;
        }
        return me.skip_body ? 1 : 0;
    }

    static auto on_body(http_parser* p, const char* at, std::size_t length) -> int {
        auto& me = self(p);
        if (me.body.size() + length > me.limits.max_body_bytes) {
            me.state = parse_state::body_too_large;
            return 1;
        }
        me.reserve_body(length);
        me.body.append(at, length);
        return 0;
    }

    static auto on_message_complete(http_parser* p) -> int {
        auto& me = self(p);
        if (me.state == parse_state::body) {
            me.state = parse_state::complete;
            http_parser_pause(p, 1);
        }
        return 0;
    }

    auto feed(std::string_view bytes, const message_limits& new_limits) -> std::size_t {
        if (bytes.empty() || (state != parse_state::head && state != parse_state::body)) {
            return 0;
        }
        limits = new_limits;
        begun = true;
        auto began_in_head = state == parse_state::head;
        auto used = execute(bytes);
        auto fault = HTTP_PARSER_ERRNO(&parser);
        if (fault == HPE_PAUSED && state == parse_state::complete) {
            return used;
        }
        auto still_reading = state == parse_state::head || state == parse_state::body;
        if (still_reading && (fault != HPE_OK || parser.upgrade != 0)) {
            state = parse_state::malformed;
        }
        (began_in_head ? head_wire_bytes : body_wire_bytes) += used;
        limit_framing_overhead();
        return used;
    }

    /// Passes bytes to the HTTP library and returns the number of bytes consumed. The status of each answer,
    /// interim or final, is checked before the library reads it.
    auto execute(std::string_view bytes) -> std::size_t {
        std::size_t used = 0;
        while (used < bytes.size()) {
            auto rest = bytes.substr(used);
            if (status_line) {
                auto validity = status_line->feed(rest);
                if (validity == status_validity::invalid) {
                    state = parse_state::malformed;
                    return used;
                }
                if (validity == status_validity::valid) {
                    status_line.reset();
                }
            }
            used += http_parser_execute(&parser, &callbacks, rest.data(), rest.size());
            auto in_status_line = HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED && state == parse_state::head;
            if (!in_status_line) {
                break;
            }
            http_parser_pause(&parser, 0);
        }
        return used;
    }

    /// Rejects a message whose framing overhead exceeds the limits. All bytes of one call of `feed` count
    /// towards the part, head or body, in which the call began.
    auto limit_framing_overhead() -> void {
        if (state == parse_state::head &&
            head_wire_bytes > HEAD_BYTES_PER_FIELD_BYTE * limits.max_header_bytes) {
            state = parse_state::header_too_large;
        } else if (state == parse_state::body &&
                   body_wire_bytes > limits.max_header_bytes + (1 + FRAMING_PER_BODY_BYTE) * body.size()) {
            state = parse_state::body_too_large;
        }
    }
};

}  // namespace

struct request_parser::implementation : message_collector {
    implementation() : message_collector(HTTP_REQUEST) {}
};

request_parser::request_parser() : impl_(std::make_unique<implementation>()) {}
request_parser::~request_parser() = default;

auto request_parser::feed(std::string_view bytes, const message_limits& limits) -> std::size_t {
    return impl_->feed(bytes, limits);
}

auto request_parser::state() const -> parse_state {
    return impl_->state;
}

auto request_parser::has_begun() const -> bool {
    return impl_->begun;
}

auto request_parser::expects_continue() const -> bool {
    return impl_->state == parse_state::body &&
           equal_ignoring_case(header_value(impl_->headers, "expect"), "100-continue");
}

auto request_parser::head() const -> inbound_request {
    inbound_request request;
    request.method = http_method_str(static_cast<http_method>(impl_->parser.method));
    request.target = impl_->target;
    request.headers = impl_->headers;
    return request;
}

auto request_parser::memory() const -> std::size_t {
    return impl_->memory();
}

auto request_parser::reset() -> void {
    impl_ = std::make_unique<implementation>();
}

auto request_parser::take() -> inbound_request {
    inbound_request request;
    request.method = http_method_str(static_cast<http_method>(impl_->parser.method));
    request.target = std::move(impl_->target);
    request.headers = std::move(impl_->headers);
    request.body = std::move(impl_->body);
    request.keep_alive = impl_->keep_alive;
    impl_ = std::make_unique<implementation>();
    return request;
}

struct response_parser::implementation : message_collector {
    implementation() : message_collector(HTTP_RESPONSE) {}
};

response_parser::response_parser(bool to_head) : impl_(std::make_unique<implementation>()) {
    impl_->skip_body = to_head;
}

response_parser::~response_parser() = default;

auto response_parser::feed(std::string_view bytes, const message_limits& limits) -> std::size_t {
    return impl_->feed(bytes, limits);
}

auto response_parser::end_of_connection() -> void {
    if (impl_->state == parse_state::body) {
        http_parser_execute(&impl_->parser, &impl_->callbacks, nullptr, 0);
    }
    if (impl_->state != parse_state::complete) {
        impl_->state = parse_state::malformed;
    }
}

auto response_parser::state() const -> parse_state {
    return impl_->state;
}

auto response_parser::has_begun() const -> bool {
    return impl_->begun;
}

auto response_parser::has_interim() const -> bool {
    return impl_->interim;
}

auto response_parser::keeps_connection() const -> bool {
    return impl_->keep_alive;
}

auto response_parser::status() const -> int {
    return static_cast<int>(impl_->parser.status_code);
}

auto response_parser::headers() const -> const std::vector<http_header>& {
    return impl_->headers;
}

auto response_parser::memory() const -> std::size_t {
    return impl_->memory();
}

auto response_parser::stated_length() const -> std::optional<std::size_t> {
    if (impl_->state == parse_state::head || (impl_->parser.flags & F_CONTENTLENGTH) == 0) {
        return std::nullopt;
    }
    return impl_->stated_length;
}

auto response_parser::take_body() -> std::string {
    return std::move(impl_->body);
}

}  // namespace eelgrassledge
