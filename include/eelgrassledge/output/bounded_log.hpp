#pragma once

#include <cstdint>
#include <string>

#include "eelgrassledge/core/time.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Log of JSON lines, buffered in bounded memory and written to a descriptor without blocking.
///
/// Lines are dropped and counted if the buffer is full or the rate limit is exceeded. The number of dropped
/// lines is logged before the next line that is accepted.
class bounded_log {
  public:
    /// Sets `descriptor` to non-blocking mode.
    bounded_log(int descriptor, std::string instance);

    /// Adds a line, or drops it if the limits are exceeded.
    auto write(log_level level, std::string_view event, const std::vector<log_field>& fields) -> void;

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    auto flush() -> void;

    /// Number of lines dropped since the start.
    [[nodiscard]] auto dropped() const -> std::uint64_t { return dropped_total_; }

  private:
    auto append(log_level level, std::string_view event, const std::vector<log_field>& fields) -> void;
    [[nodiscard]] auto within_limits(log_level level) -> bool;

    int descriptor_;
    std::string instance_;
    std::string buffer_;
    std::uint64_t unreported_drops_ = 0;
    std::uint64_t dropped_total_ = 0;
    std::int64_t rate_second_ = 0;
    std::uint32_t lines_in_second_ = 0;
};

}  // namespace eelgrassledge
