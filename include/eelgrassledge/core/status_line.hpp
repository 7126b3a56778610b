#pragma once

#include <cstdint>
#include <string_view>

namespace eelgrassledge {

/// What is known of the status of an HTTP answer.
enum class status_validity : std::uint8_t {
    incomplete,  ///< More bytes of the status line are needed.
    valid,
    invalid,
};

/// Checks the status in the status line of an HTTP answer, which may arrive in pieces. It is valid if it
/// consists of three digits and is from 100 to 599, except 101: no request asks for another protocol. The
/// HTTP libraries accept other statuses, and read 0200 and 2000 as 200. They check the rest of the line.
///
/// Example: `status_line_check{}.feed("HTTP/1.1 0200 OK\r\n") == status_validity::invalid`
class status_line_check {
  public:
    /// Checks the next bytes of the line. Bytes after the status are ignored.
    auto feed(std::string_view bytes) -> status_validity;

  private:
    auto check(char c) -> status_validity;

    bool in_version_ = true;
    int digits_ = 0;
    int status_ = 0;
    status_validity validity_ = status_validity::incomplete;
};

}  // namespace eelgrassledge
