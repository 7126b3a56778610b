#pragma once

#include <chrono>
#include <cstdint>

namespace eelgrassledge {

/// Clock type of the decision library, which never reads a clock itself: callers pass the time with each
/// event.
///
/// Daemons take the time from a monotonic clock that also counts while the machine is suspended; tests and
/// benchmarks use a counter.
struct decision_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

using duration = decision_clock::duration;
using time_point = decision_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to milliseconds with fractions, for reports.
[[nodiscard]] constexpr auto to_milliseconds(duration d) -> double {
    return static_cast<double>(d.count()) / 1000.0;
}

/// Reads the monotonic clock that includes suspended time (`CLOCK_BOOTTIME`).
[[nodiscard]] auto monotonic_now() -> time_point;

/// Reads the wall clock as microseconds since the Unix epoch.
[[nodiscard]] auto wall_clock_now() -> std::int64_t;

}  // namespace eelgrassledge
