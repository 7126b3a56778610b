#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrassledge/proxy/http_messages.hpp"

namespace eelgrassledge {

/// Size limits of one message, in bytes.
struct message_limits {
    /// Limit on the request target and all header names and values together.
    std::size_t max_header_bytes = 16384;
    /// Limit on the decoded body.
    std::size_t max_body_bytes = 262144;
    /// Whether header fields of requests are counted and discarded, except for those that frame the message.
    bool discards_fields = false;
};

/// Progress or failure of the parsing of a message.
enum class parse_state : std::uint8_t {
    head,       ///< The head is not complete.
    body,       ///< The head is complete, the body is not.
    complete,   ///< The message is complete; later bytes were not consumed.
    malformed,  ///< The bytes are not an HTTP message, or its framing is ambiguous.
    header_too_large,
    body_too_large,
};

/// Incremental parser of the requests on a connection, one at a time. The HTTP library does the parsing; this
/// class collects the fields and enforces the limits.
class request_parser {
  public:
    request_parser();
    ~request_parser();
    request_parser(const request_parser&) = delete;
    auto operator=(const request_parser&) -> request_parser& = delete;

    /// Consumes bytes up to the end of the message and returns the number of bytes consumed.
    auto feed(std::string_view bytes, const message_limits& limits) -> std::size_t;

    [[nodiscard]] auto state() const -> parse_state;
    /// Whether any byte of the current message has been received.
    [[nodiscard]] auto has_begun() const -> bool;
    /// Whether the caller waits for `100 Continue` before it sends the body.
    [[nodiscard]] auto expects_continue() const -> bool;
    /// Copy of the request without its body; its head must be complete.
    [[nodiscard]] auto head() const -> inbound_request;
    /// Memory that the request holds so far, in bytes.
    [[nodiscard]] auto memory() const -> std::size_t;
    /// Returns the complete request and resets the parser for the next one.
    auto take() -> inbound_request;
    /// Discards the current request and frees its memory.
    auto reset() -> void;

  private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

/// Incremental parser of one response.
class response_parser {
  public:
    /// `to_head` is set for the answer to a HEAD request, which has no body.
    explicit response_parser(bool to_head);
    ~response_parser();
    response_parser(const response_parser&) = delete;
    auto operator=(const response_parser&) -> response_parser& = delete;

    /// Consumes bytes up to the end of the message and returns the number of bytes consumed.
    auto feed(std::string_view bytes, const message_limits& limits) -> std::size_t;

    /// Records that the server closed the connection in an orderly way. This completes an answer that has no
    /// stated length; any other incomplete answer becomes `malformed`.
    auto end_of_connection() -> void;

    [[nodiscard]] auto state() const -> parse_state;
    [[nodiscard]] auto has_begun() const -> bool;
    /// Whether an interim answer (1xx) was received.
    [[nodiscard]] auto has_interim() const -> bool;
    /// Whether the connection may carry another request after this answer.
    [[nodiscard]] auto keeps_connection() const -> bool;
    [[nodiscard]] auto status() const -> int;
    [[nodiscard]] auto headers() const -> const std::vector<http_header>&;
    /// Memory that the answer holds so far, in bytes.
    [[nodiscard]] auto memory() const -> std::size_t;
    /// Length of the body in bytes, if the head is complete and states it.
    [[nodiscard]] auto stated_length() const -> std::optional<std::size_t>;
    auto take_body() -> std::string;

  private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

}  // namespace eelgrassledge
