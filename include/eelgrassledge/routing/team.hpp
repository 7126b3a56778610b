#pragma once

#include <cstdint>
#include <vector>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/key_digest.hpp"

namespace eelgrassledge {

/// A group of callers that the operators configure.
struct team {
    team_id name;
    /// Compared before the priority of the route; zero is the most urgent.
    std::uint32_t priority = 0;
    /// Requests per second over all instances; zero for no limit.
    double rate_per_s = 0;
    /// Requests beyond the rate that may come at once.
    double burst = 0;
    /// Digests of the keys that its callers may send.
    std::vector<key_digest> keys;

    [[nodiscard]] auto has_quota() const -> bool { return rate_per_s > 0; }
};

}  // namespace eelgrassledge
