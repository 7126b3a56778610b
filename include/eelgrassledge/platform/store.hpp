#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/strong_type.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Identifies a lease in the platform's store. Keys attached to a lease are removed when it expires or is
/// revoked.
using lease_id = strong_type<struct lease_id_tag, std::int64_t>;

/// Revision of the store at which a key was last changed; zero means that the key does not exist.
using mod_revision = strong_type<struct mod_revision_tag, std::int64_t>;

/// Counts how often the store was restored from a copy. After a restore, writes made since the copy are lost
/// and their revisions are assigned again, so revisions of different eras cannot be compared. Zero for a
/// store that states no era.
using store_era = strong_type<struct store_era_tag, std::int64_t>;

struct key_value {
    std::string key;
    std::string value;
    mod_revision modified;
};

/// Outcome of a conditional write. It fails if the key's revision is not the expected one because another
/// writer changed the key first.
struct put_outcome {
    bool succeeded = false;
    mod_revision modified;
};

/// The platform's key-value service, one callback per operation. Every call may fail with
/// `store_unavailable` (nothing was written), `store_unclear` (a write may have taken effect) or
/// `store_bad_answer`.
struct store {
    /// Reads all keys that begin with a prefix.
    std::function<result<std::vector<key_value>>(const std::string& prefix)> read;

    /// Writes a key only if its revision is the expected one; zero expects that it does not exist. A
    /// nonzero lease is attached to the key.
    std::function<result<put_outcome>(const std::string& key, const std::string& value, mod_revision expected,
                                      lease_id lease)>
        put_if;

    /// Removes a key only if its revision is the expected one.
    std::function<result<put_outcome>(const std::string& key, mod_revision expected)> remove_if;

    /// Creates a lease. Its time to live starts at some time after the start of the call.
    std::function<result<lease_id>(seconds time_to_live)> grant;

    /// Renews a lease. Returns the new time to live, or zero if the lease has expired.
    std::function<result<seconds>(lease_id lease)> keep_alive;

    /// Revokes a lease and removes the keys attached to it.
    std::function<result<bool>(lease_id lease)> revoke;
};

/// Keys and key prefixes that this program uses in the store.
namespace store_keys {
inline const std::string ROOT = "/eelgrassledge/v1/";
inline const std::string SHARED = ROOT + "shared/";
inline const std::string DOCUMENT = SHARED + "document";
inline const std::string ASSIGNMENTS = SHARED + "assignment/";
inline const std::string REPORTERS = ROOT + "reporter/";
inline const std::string CLAIMS = ROOT + "claim/";
}  // namespace store_keys

}  // namespace eelgrassledge
