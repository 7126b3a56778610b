#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "eelgrassledge/core/time.hpp"
#include "eelgrassledge/routing/team.hpp"

namespace eelgrassledge {

/// Whether a request is within its team's quota.
enum class quota_verdict : std::uint8_t {
    granted,
    denied,       ///< The quota is used up.
    unavailable,  ///< No allocator could be asked, so nothing is known.
};

/// Name of the verdict for logs, metrics and messages.
[[nodiscard]] constexpr auto to_string(quota_verdict verdict) -> std::string_view {
    switch (verdict) {
        case quota_verdict::granted:
            return "granted";
        case quota_verdict::denied:
            return "denied";
        case quota_verdict::unavailable:
            break;
    }
    return "unavailable";
}

struct quota_decision {
    quota_verdict verdict = quota_verdict::unavailable;
    /// With `denied`: time until the team may expect a grant.
    duration wait{};
    /// With `granted`: when this instance received the grant.
    time_point granted{};
};

/// Decides about one request of a team with a quota. Calls its second argument exactly once, possibly before
/// it returns. The team must stay valid until then.
using quota_gate = std::function<void(const team&, std::function<void(quota_decision)>)>;

}  // namespace eelgrassledge
