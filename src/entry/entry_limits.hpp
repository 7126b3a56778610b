#pragma once

#include <cstdint>

#include "eelgrassledge/broker/sub_request.hpp"

namespace eelgrassledge {

/// Tries for one shard when the caller prefers time to coverage, and for one canary in any case.
constexpr std::uint32_t MAX_TRIES_PREFER_TIME = 4;

/// Whether an upstream may have started the sub-request that was answered.
inline auto may_have_run(const sub_answer& answer) -> bool {
    return may_have_run(answer.code) || answer.earlier_send_may_have_run;
}

}  // namespace eelgrassledge
