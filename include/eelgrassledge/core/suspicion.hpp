#pragma once

#include <algorithm>
#include <cstdint>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// How long a suspect fingerprint is remembered after the last change. Outlives a caller that repeats its
/// request by hand; not so long that a repaired upstream refuses it the next day.
constexpr duration SUSPECT_LIFETIME = seconds{3600};

/// Strikes at which a fingerprint is not run again.
constexpr std::uint32_t STRIKES_TO_QUARANTINE = 2;

/// How many upstreams vanished while they ran a fingerprint, as one daemon knows it. Copies on different
/// daemons merge to the same value in whatever order they arrive.
struct suspicion {
    /// Times that strikes were taken back; the higher count is the later knowledge.
    std::uint32_t withdrawals = 0;
    std::uint32_t strikes = 0;

    auto operator==(const suspicion&) const -> bool = default;
};

/// The later of two states of one fingerprint; of two that are as late, the one with more strikes.
///
/// Example: `merged({0, 2}, {0, 1}).strikes == 2`, and `merged({0, 2}, {1, 1}).strikes == 1`
[[nodiscard]] inline auto merged(const suspicion& a, const suspicion& b) -> suspicion {
    if (a.withdrawals != b.withdrawals) {
        return a.withdrawals > b.withdrawals ? a : b;
    }
    return {a.withdrawals, std::max(a.strikes, b.strikes)};
}

/// The state after a vanished upstream brought the strikes up to `strikes`.
[[nodiscard]] inline auto with_strikes(const suspicion& known, std::uint32_t strikes) -> suspicion {
    return {known.withdrawals, std::max(known.strikes, strikes)};
}

/// The state after one strike proved wrong.
[[nodiscard]] inline auto with_one_strike_withdrawn(const suspicion& known) -> suspicion {
    return {known.withdrawals + 1, known.strikes == 0 ? 0 : known.strikes - 1};
}

/// The state after the fingerprint ran to its end.
[[nodiscard]] inline auto cleared(const suspicion& known) -> suspicion {
    return {known.withdrawals + 1, 0};
}

}  // namespace eelgrassledge
