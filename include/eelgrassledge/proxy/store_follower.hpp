#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>

#include "eelgrassledge/proxy/store_replica.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Notifications of a follower.
struct follower_hooks {
    /// A key was added or has a new value.
    std::function<void(const std::string& key, const std::string& value)> changed;
    /// A listing after the store was restored from a copy holds a key that existed before; `previous` is the
    /// value known until then, which may be newer than `value`. Without this hook, `changed` is called.
    std::function<void(const std::string& key, const std::string& previous, const std::string& value)>
        restored;
    /// A key was removed.
    std::function<void(const std::string& key)> removed;
    /// A full listing was applied; called after `changed` and `removed` of each key that differed.
    std::function<void()> listed;
};

/// Keeps a replica of all keys under a prefix up to date: one listing, then watches, and another listing only
/// when the store has dropped the history that a watch needs, or its answer cannot be decoded. The replica
/// keeps its contents while the store is unavailable.
class store_follower {
  public:
    /// `update_bound` is the time within which a change must arrive here, even if one call fails. `advanced`
    /// is called when changes were applied.
    store_follower(asio::io_context& loop, const watched_store& store, std::string prefix,
                   duration update_bound, store_replica& replica, follower_hooks hooks,
                   std::function<void()> advanced, event_log log);

    /// Starts the first listing.
    auto start() -> void { list_from(""); }

    /// Starts a listing at once, since the store was restored from a copy. Answers to earlier calls are
    /// ignored: their revisions may be of the previous era.
    auto store_restored() -> void;

  private:
    auto list_from(const std::string& after) -> void;
    auto handle_page(const result<store_page>& page) -> void;
    auto apply_change(const store_event& change, store_era era) -> bool;
    /// Replaces the replica's contents by the complete listing of a newer era.
    auto apply_listed_era() -> void;
    auto finish_listing() -> void;
    auto watch() -> void;
    auto handle_events(const result<store_events>& events) -> void;
    /// Records a successful call, which resets the back-off.
    auto succeeded() -> void;
    /// Schedules the next step after a failed call: a listing when a watch cannot continue, else a retry.
    auto failed(const error& cause) -> void;
    auto later(duration wait, std::function<void()> step) -> void;

    const watched_store& store_;
    std::string prefix_;
    duration watch_time_;
    store_replica& replica_;
    follower_hooks hooks_;
    std::function<void()> advanced_;
    event_log log_;
    asio::steady_timer timer_;
    /// Keys of the current listing, over all its pages so far.
    std::set<std::string> listed_keys_;
    /// Items of the current listing if it is of a newer era than the replica. They are applied as a whole, so
    /// that the replica never mixes eras.
    std::vector<key_value> listed_items_;
    /// Last key of the pages so far; a page that failed is requested again.
    std::string listed_to_;
    /// Position of the first page of the current listing.
    store_position listed_at_;
    /// Position after which the next watch begins.
    store_position watched_to_;
    /// Number of the current sequence of calls; answers to calls of earlier ones are ignored.
    std::uint64_t sequence_ = 0;
    /// Failed calls since the last successful one.
    std::uint32_t failures_ = 0;
    /// Listings that were necessary since the last successful watch.
    std::uint32_t listings_ = 0;
    bool listing_ = true;
};

}  // namespace eelgrassledge
