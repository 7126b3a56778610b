#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/strong_type.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Number of a lease in the platform's store.
using lease_id = strong_type<struct lease_id_tag, std::int64_t>;

/// Revision of the store at which a key was last changed; zero means that the key is absent.
using mod_revision = strong_type<struct mod_revision_tag, std::int64_t>;

struct key_value {
    std::string key;
    std::string value;
    mod_revision modified;
};

/// Outcome of a conditional write. When it did not succeed, another writer changed the key first.
struct put_outcome {
    bool succeeded = false;
    mod_revision modified;
};

/// The platform's key-value service, one hook for each call. Every call may fail with
/// `store_unavailable` (nothing was written), `store_unclear` (a write may have taken effect) or
/// `store_bad_answer`.
struct store {
    /// Reads all keys that begin with a prefix.
    std::function<result<std::vector<key_value>>(const std::string& prefix)> read;

    /// Writes a key only if its revision is the expected one; zero expects that it is absent. A lease other
    /// than zero ties the key to it.
    std::function<result<put_outcome>(const std::string& key, const std::string& value, mod_revision expected,
                                      lease_id lease)>
        put_if;

    /// Removes a key only if its revision is the expected one.
    std::function<result<put_outcome>(const std::string& key, mod_revision expected)> remove_if;

    /// Opens a lease. Its time to live counts from some moment after the call began.
    std::function<result<lease_id>(seconds time_to_live)> grant;

    /// Renews a lease; gives the new time to live, zero when the lease has lapsed.
    std::function<result<seconds>(lease_id lease)> keep_alive;

    /// Ends a lease and removes its keys.
    std::function<result<bool>(lease_id lease)> revoke;
};

/// Keys of this system in the store.
namespace store_keys {
inline const std::string ROOT = "/eelgrassledge/v1/";
inline const std::string SHARED = ROOT + "shared/";
inline const std::string DOCUMENT = SHARED + "document";
inline const std::string ASSIGNMENTS = SHARED + "assignment/";
inline const std::string REPORTERS = ROOT + "reporter/";
inline const std::string CLAIMS = ROOT + "claim/";
}  // namespace store_keys

}  // namespace eelgrassledge
