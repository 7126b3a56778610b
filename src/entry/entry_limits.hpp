#pragma once

#include <cstdint>

#include "eelgrassledge/core/result_code.hpp"

namespace eelgrassledge {

/// Tries for one shard when the caller prefers time to coverage, and for one canary in any case.
constexpr std::uint32_t MAX_TRIES_PREFER_TIME = 4;

/// Whether the upstream may have started a sub-request that ended with this code.
inline auto may_have_run(result_code code) -> bool {
    return describe(code).state != run_state::not_run;
}

}  // namespace eelgrassledge
