#pragma once

#include <functional>

#include "eelgrassledge/proxy/feed_server.hpp"
#include "eelgrassledge/proxy/peer_calls.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Decides where this instance learns of changes: from the store, from one instance of its availability zone
/// where many share it, or, while the store does not answer this instance, from whichever other instance
/// knows more. What another instance says is as good as its own knowledge, so an answer comes with its age.
class feed_source {
  public:
    /// `seeds` are addresses of instances that are asked besides those that the store told of.
    feed_source(network_context& network, const watched_store& store, const feed_server& server,
                instance_directory& instances, std::vector<std::string> seeds, event_log log);

    /// The hooks of the store, with listings and watches that may go to another instance.
    [[nodiscard]] auto hooks() -> watched_store;

    /// Called with the moment up to which every change is known.
    auto on_confirmed(std::function<void(time_point)> hook) -> void { confirmed_ = std::move(hook); }

    /// Called with strikes that another instance told of.
    auto on_strikes(std::function<void(const std::vector<strike>&)> hook) -> void {
        strikes_ = std::move(hook);
    }

    /// The instance to follow in place of the store; empty for the store. Depends only on the instances of
    /// the zone.
    [[nodiscard]] auto choose_relay(time_point now) const -> std::optional<instance_record>;

    /// Whether the store itself was in trouble within the last seconds, so that entries may have lapsed.
    [[nodiscard]] auto had_recent_outage(time_point now) const -> bool;

    /// Closes idle connections.
    auto sweep(time_point now) -> void { peers_.sweep(now); }

  private:
    using events_done = watched_store::done<store_events>;
    using page_done = watched_store::done<store_page>;
    using answer_done = std::function<void(result<feed_answer>)>;

    auto list(const std::string& prefix, const std::string& after, page_done on_done) -> void;
    auto list_from_others(const error& cause, page_done on_done) -> void;
    auto watch(const std::string& prefix, mod_revision after, duration wait, events_done on_done) -> void;
    auto watch_store(const std::string& prefix, mod_revision after, duration wait, events_done on_done)
        -> void;
    auto watch_relay(const instance_record& relay, const std::string& prefix, mod_revision after,
                     events_done on_done) -> void;
    auto watch_others(mod_revision after, const error& cause, events_done on_done) -> void;

    /// Asks an instance for what is newer than a revision; it waits for a while when nothing is.
    auto ask(const instance_record& peer, mod_revision after, answer_done on_done) -> void;
    /// The next instance to ask while the store does not answer: the last one, unless it was passed over.
    [[nodiscard]] auto choose_other(time_point now) -> std::optional<instance_record>;
    auto pass_over(const instance_record& peer, const std::string& reason) -> void;

    /// Records that the store does not answer this instance, or that it does again.
    auto lose_store(const error& cause) -> void;
    auto regain_store() -> void;
    /// Asks the lost store for a sign of life, one call at a time.
    auto probe_store(const std::string& prefix, mod_revision after) -> void;

    auto confirm(time_point at) const -> void;
    auto note_source(const std::string& source) -> void;
    auto note_changes(const store_events& changes, const std::string& from, duration age) const -> void;

    const watched_store& store_;
    const feed_server& server_;
    instance_directory& instances_;
    std::vector<std::string> seeds_;
    event_log log_;
    peer_calls peers_;
    std::function<void(time_point)> confirmed_;
    std::function<void(const std::vector<strike>&)> strikes_;
    /// Name of the instance that was asked last, or of the store, for the log.
    std::string source_;
    /// The instance asked while the store is lost; empty to take the next one.
    instance_id asked_;
    std::size_t next_other_ = 0;
    std::optional<time_point> trouble_;
    std::optional<error> lost_;
    bool probing_ = false;
    time_point next_probe_{};
    duration probe_pause_{};
    std::uint64_t next_call_ = 1;
};

}  // namespace eelgrassledge
