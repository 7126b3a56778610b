#pragma once

#include <string>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/platform/store.hpp"

namespace eelgrassledge {

/// How long a claim is kept in the store. A caller must not send a request key again after this.
inline constexpr seconds CLAIM_LIFETIME{24 * 3600};

/// The right to run one non-idempotent request once.
struct claim {
    std::string key;
    mod_revision modified;
};

/// Claims the caller's request key, create-only, before anything is sent.
///
/// Errors: `already_claimed` when another attempt holds the claim, `claim_unavailable` when the claim could
/// not be recorded or it is not known whether it was. After any error nothing may be sent. `attempt` must be
/// unique for each attempt; it tells this attempt's own claim apart when the store's answer was lost.
[[nodiscard]] auto take_claim(const store& platform, const caller_id& caller, const request_id& request,
                              const std::string& attempt, lease_id lifetime) -> result<claim>;

/// Gives a claim back after a request that surely did not run, so that its caller may send it again.
/// Returns false when the claim remains.
auto release_claim(const store& platform, const claim& held) -> bool;

}  // namespace eelgrassledge
