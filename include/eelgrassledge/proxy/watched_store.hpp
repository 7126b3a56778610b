#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/platform/store.hpp"

namespace eelgrassledge {

/// A point in the store's history; ordered by era, then by revision.
struct store_position {
    store_era era;
    mod_revision revision;

    // NOLINTNEXTLINE(modernize-*)
    friend auto operator<=>(const store_position&, const store_position&) = default;
};

/// One page of a listing. The pages of a listing are no consistent snapshot: changes made while it is read
/// are returned by a watch after `current`.
struct store_page {
    std::vector<key_value> items;
    /// Last key of the page, also when its item could not be decoded; the next page begins after it.
    std::string last_key;
    bool has_more = false;
    mod_revision current;
    store_era era;
    /// Whether the page holds every key, so that it replaces the pages before it.
    bool is_complete = false;
};

/// One change of a key.
struct store_event {
    std::string key;
    /// New value; empty when the key was removed.
    std::optional<std::string> value;
    /// Revision of the store at which the key changed.
    mod_revision revision;
};

/// Changes of the store up to a revision.
struct store_events {
    std::vector<store_event> events;
    /// Revision up to which the events are complete.
    mod_revision current;
    /// Era of all revisions here.
    store_era era;
    /// Whether the events list all existing keys, so that any other key has been removed.
    bool is_listing = false;
};

/// Asynchronous interface to the platform's key-value service, one hook for each call. Each hook calls its
/// `done` exactly once, later, on the event loop. Errors are `store_unavailable` (the call had no effect),
/// `store_unclear` (a write may have taken effect or may yet do so), `store_bad_answer`,
/// `store_history_lost`, `store_conflict` and `store_not_found`.
struct watched_store {
    template <class T>
    using done = std::function<void(result<T>)>;

    /// Lists the keys that begin with a prefix and come after a key.
    std::function<void(const std::string& prefix, const std::string& after, done<store_page>)> list;

    /// Waits for changes after a position, for at most `wait`; `store_history_lost` when the source does not
    /// hold the changes since then. The events may be of a newer era than `after`; they are then not
    /// complete.
    std::function<void(const std::string& prefix, store_position after, duration wait, done<store_events>)>
        watch;

    /// Opens a lease. The store removes the keys of a lease that is not renewed within `time_to_live`.
    std::function<void(duration time_to_live, done<lease_id>)> grant;

    /// Renews a lease; `store_not_found` when it has ended.
    std::function<void(lease_id lease, done<bool>)> keep_alive;

    /// Writes a key unconditionally and attaches it to a lease.
    std::function<void(const std::string& key, const std::string& value, lease_id lease, done<bool>)> put;

    /// Writes a key and attaches it to a lease if the key's revision is `expected`, which is zero for a key
    /// that must not exist; `store_conflict` otherwise.
    std::function<void(const std::string& key, const std::string& value, lease_id lease,
                       mod_revision expected, done<bool>)>
        put_if;

    /// Ends a lease, which removes its keys.
    std::function<void(lease_id lease, done<bool>)> revoke;
};

}  // namespace eelgrassledge
