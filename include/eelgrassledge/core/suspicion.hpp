#pragma once

#include <algorithm>
#include <cstdint>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// How long a suspect fingerprint is kept after its last change. Long enough that a caller who repeats a
/// request by hand does not run it again, short enough that a repaired upstream does not refuse the request
/// the next day.
constexpr duration SUSPECT_LIFETIME = seconds{3600};

/// Number of strikes at which requests with a fingerprint are no longer run.
constexpr std::uint32_t STRIKES_TO_QUARANTINE = 2;

/// Strikes against one fingerprint, as known to one daemon. A strike is one upstream that vanished while it
/// ran a request with this fingerprint. A fingerprint with strikes is a suspect: its requests may crash
/// upstreams. Merging the copies of several daemons yields the same value in any order.
struct suspicion {
    /// How often strikes were withdrawn or cleared. Of two copies, the one with the higher count is newer.
    std::uint32_t withdrawals = 0;
    std::uint32_t strikes = 0;

    auto operator==(const suspicion&) const -> bool = default;
};

/// Returns the newer of two states of one fingerprint, by the count of withdrawals; with equal counts, the
/// one with more strikes.
///
/// Example: `merged({0, 2}, {0, 1}).strikes == 2`, and `merged({0, 2}, {1, 1}).strikes == 1`
[[nodiscard]] inline auto merged(const suspicion& a, const suspicion& b) -> suspicion {
    if (a.withdrawals != b.withdrawals) {
        return a.withdrawals > b.withdrawals ? a : b;
    }
    return {a.withdrawals, std::max(a.strikes, b.strikes)};
}

/// The state after a vanished upstream raised the number of strikes to `strikes`. Never lowers it.
[[nodiscard]] inline auto with_strikes(const suspicion& known, std::uint32_t strikes) -> suspicion {
    return {known.withdrawals, std::max(known.strikes, strikes)};
}

/// The state after one strike turned out to be wrong.
[[nodiscard]] inline auto with_one_strike_withdrawn(const suspicion& known) -> suspicion {
    return {known.withdrawals + 1, known.strikes == 0 ? 0 : known.strikes - 1};
}

/// The state after a request with this fingerprint ran to completion without a crash.
[[nodiscard]] inline auto cleared(const suspicion& known) -> suspicion {
    return {known.withdrawals + 1, 0};
}

}  // namespace eelgrassledge
