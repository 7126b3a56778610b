#pragma once

#include <cstdint>

#include "eelgrassledge/core/result_code.hpp"

namespace eelgrassledge {

/// Tries for one shard by callers that prefer time, and for one canary by all.
constexpr std::uint32_t TRIES_FOR_TIME = 4;

/// Whether the upstream can have begun the sub-request when it ended with this code.
inline auto may_have_run(result_code code) -> bool {
    return describe(code).state != run_state::not_run;
}

}  // namespace eelgrassledge
