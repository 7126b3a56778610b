#pragma once

#include <string>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/platform/store.hpp"

namespace eelgrassledge {

/// Time for which a claim is kept in the store. A caller must not reuse a request key after this time.
inline constexpr seconds CLAIM_LIFETIME{24 * 3600};

/// Key in the store that reserves a non-idempotent request for one attempt, so that it runs at most once.
struct claim {
    std::string key;
    mod_revision modified;  ///< Revision at which the key was written.
};

/// Creates the claim on the caller's request key, before anything is sent. Fails if the key exists.
///
/// Errors: `already_claimed` when another attempt holds the claim, `claim_unavailable` when the claim could
/// not be written or the outcome of the write is unknown. After any error nothing may be sent. `attempt` must
/// be unique for each attempt; if the store's reply is lost, it identifies this attempt's own claim.
[[nodiscard]] auto take_claim(const store& kv_store, const caller_id& caller, const request_id& request,
                              const std::string& attempt, lease_id lease) -> result<claim>;

/// Removes the claim of a request that is known not to have run, so that its caller may send it again.
/// Returns false if the claim remains.
auto release_claim(const store& kv_store, const claim& held) -> bool;

}  // namespace eelgrassledge
