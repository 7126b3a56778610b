#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "eelgrassledge/core/time.hpp"
#include "eelgrassledge/proxy/feed_messages.hpp"

namespace eelgrassledge {

/// What a listing of a new era changed.
struct era_changes {
    struct listed_key {
        std::string key;
        std::string value;
        /// Value in the previous era; empty if the key did not exist.
        std::optional<std::string> previous;
    };
    std::vector<listed_key> listed;
    std::vector<std::string> removed;
};

/// Local copy of the store's keys, independent of the source from which each change was received. A change is
/// applied only when it is newer than the known state of its key, so that changes of several sources may be
/// combined and no key reverts to an older state. All contents are of one era: the contents of a newer era
/// replace those of the previous one as a whole, once a listing of it is complete.
///
/// Not synchronized. A change takes logarithmic time, an answer time linear in the number of keys.
class store_replica {
  public:
    /// Applies a change; false when the known state of the key is at least as new, or when `era` is not that
    /// of the replica.
    auto apply(const store_event& change, store_era era = {}) -> bool;

    /// Applies a complete list of the keys at a revision: removes the keys missing from it and returns them.
    auto apply_listing(const std::set<std::string>& keys, mod_revision at) -> std::vector<std::string>;

    /// Replaces all contents by a complete listing of a newer era; `std::nullopt` and no change when `era` is
    /// not newer than that of the replica.
    auto apply_era(store_era era, const std::vector<key_value>& items, mod_revision at)
        -> std::optional<era_changes>;

    /// Records that every change up to a revision of the replica's era has been applied.
    auto advance(mod_revision to) -> void { current_ = std::max(current_, to); }

    /// Records that every change made before `at` has been applied.
    auto confirm(time_point at) -> void { confirmed_ = std::max(confirmed_, at); }

    /// The changes after a position, or a full listing if removals after it are no longer held or it is of an
    /// older era. `store_unavailable` before the first listing.
    [[nodiscard]] auto after(store_position seen, time_point now) const -> result<feed_answer>;

    [[nodiscard]] auto has_changes_after(store_position seen) const -> bool { return current() > seen; }
    [[nodiscard]] auto current() const -> store_position { return {era_, current_}; }
    [[nodiscard]] auto era() const -> store_era { return era_; }

    /// Revision at which a key was last changed; zero if it does not exist.
    [[nodiscard]] auto revision_of(const std::string& key) const -> mod_revision;

    /// Time since the moment up to which every change is known to have been applied.
    [[nodiscard]] auto age(time_point now) const -> duration { return now - confirmed_; }

  private:
    struct entry {
        /// Empty for a key that was removed.
        std::optional<std::string> value;
        mod_revision revision;
    };
    struct removal {
        std::string key;
        mod_revision revision;
    };

    auto note_removal(const std::string& key, mod_revision at) -> void;

    store_era era_;
    std::map<std::string, entry> entries_;
    std::deque<removal> removals_;
    /// Removals up to this revision may have been dropped; after it they are complete.
    mod_revision history_start_;
    /// Every change up to this revision has been applied.
    mod_revision current_;
    /// Every change made before this time has been applied.
    time_point confirmed_{};
    /// Whether a listing has been applied.
    bool listed_ = false;
};

}  // namespace eelgrassledge
