#include "eelgrassledge/core/status_line.hpp"

namespace eelgrassledge {

namespace {

constexpr int STATUS_DIGITS = 3;
constexpr int FIRST_STATUS = 100;
constexpr int LAST_STATUS = 599;
constexpr int SWITCHING_PROTOCOLS = 101;

}  // namespace

auto status_line_check::feed(std::string_view bytes) -> status_validity {
    for (auto c : bytes) {
        if (validity_ != status_validity::incomplete) {
            break;
        }
        validity_ = check(c);
    }
    return validity_;
}

auto status_line_check::check(char c) -> status_validity {
    auto is_line_end = c == '\r' || c == '\n';
    if (in_version_) {
        in_version_ = c != ' ';
        return is_line_end ? status_validity::invalid : status_validity::incomplete;
    }
    if (c >= '0' && c <= '9' && digits_ < STATUS_DIGITS) {
        ++digits_;
        status_ = status_ * 10 + (c - '0');
        return status_validity::incomplete;
    }
    if (c == ' ' && digits_ == 0) {
        // Some servers separate the version and the status by several blanks.
        return status_validity::incomplete;
    }
    auto is_valid = (c == ' ' || is_line_end) && digits_ == STATUS_DIGITS && status_ >= FIRST_STATUS &&
                    status_ <= LAST_STATUS && status_ != SWITCHING_PROTOCOLS;
    return is_valid ? status_validity::valid : status_validity::invalid;
}

}  // namespace eelgrassledge
