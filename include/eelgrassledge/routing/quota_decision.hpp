#pragma once

#include <cstdint>
#include <functional>

#include "eelgrassledge/core/time.hpp"
#include "eelgrassledge/routing/team.hpp"

namespace eelgrassledge {

/// Whether a request is within its team's quota.
enum class quota_verdict : std::uint8_t {
    granted,
    denied,       ///< The quota is used up.
    unavailable,  ///< No allocator could be asked, so nothing is known.
};

struct quota_decision {
    quota_verdict verdict = quota_verdict::unavailable;
    /// With `denied`: time until the team may expect a grant.
    duration wait{};
};

/// Decides about one request of a team with a quota. Calls its second argument exactly once, possibly before
/// it returns. The team must stay valid until then.
using quota_gate = std::function<void(const team&, std::function<void(quota_decision)>)>;

}  // namespace eelgrassledge
