#pragma once

#include <cstdint>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge::test {

/// Returns the time point of the decision library's clock `ms` milliseconds after the start of a test. The
/// start is a fixed, nonzero time point.
inline auto at_ms(std::int64_t ms) -> time_point {
    return time_point{seconds{1000}} + milliseconds{ms};
}

}  // namespace eelgrassledge::test
