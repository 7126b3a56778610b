#include "eelgrassledge/core/time.hpp"

#include <ctime>

namespace eelgrassledge {

namespace {

auto read_clock(clockid_t clock) -> std::int64_t {
    timespec now{};
    clock_gettime(clock, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000;
}

}  // namespace

auto monotonic_now() -> time_point {
    return time_point{duration{read_clock(CLOCK_BOOTTIME)}};
}

auto wall_clock_now() -> std::int64_t {
    return read_clock(CLOCK_REALTIME);
}

}  // namespace eelgrassledge
