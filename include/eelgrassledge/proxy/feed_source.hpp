#pragma once

#include <functional>

#include "eelgrassledge/proxy/feed_server.hpp"
#include "eelgrassledge/proxy/peer_calls.hpp"
#include "eelgrassledge/proxy/store_eras.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Selects the source from which this instance receives changes of the store: the store itself; a relay,
/// which is one instance of the same availability zone that passes changes on, where the zone has many
/// instances; or, while the store does not answer this instance, any other instance that is more up to date.
/// Data of another instance is only as recent as that instance's own, so each answer carries its age.
class feed_source {
  public:
    /// `seeds` are addresses of instances that are queried in addition to those listed in the store. `eras`
    /// gets the eras of the answers of other instances; answers of older eras are not used.
    feed_source(network_context& network, const watched_store& store, const feed_server& server,
                instance_directory& instances, store_eras& eras, std::vector<std::string> seeds,
                event_log log);

    /// The hooks of the store, with `list` and `watch` replaced by versions that may query another instance.
    [[nodiscard]] auto hooks() -> watched_store;

    /// Sets the hook that is called with the time up to which every change has been received.
    auto on_confirmed(std::function<void(time_point)> hook) -> void { confirmed_ = std::move(hook); }

    /// Sets the hook that is called with strikes received from another instance.
    auto on_strikes(std::function<void(const std::vector<strike>&)> hook) -> void {
        strikes_ = std::move(hook);
    }

    /// The relay that this instance follows in place of the store; empty to follow the store. Depends only on
    /// the instances of the zone.
    [[nodiscard]] auto choose_relay(time_point now) const -> std::optional<instance_record>;

    /// Whether the store was unavailable within the last seconds, so that entries may have lapsed because of
    /// the outage.
    [[nodiscard]] auto had_recent_outage(time_point now) const -> bool;

    /// Records that the store was restored from a copy, which has the effects of an outage: entries written
    /// since the copy disappear although their owners are alive.
    auto store_restored() -> void;

    /// Closes idle connections.
    auto sweep(time_point now) -> void { peers_.sweep(now); }

  private:
    using events_done = watched_store::done<store_events>;
    using page_done = watched_store::done<store_page>;
    using answer_done = std::function<void(result<feed_answer>)>;

    auto list(const std::string& prefix, const std::string& after, page_done on_done) -> void;
    auto list_from_peer(const error& cause, page_done on_done) -> void;
    auto watch(const std::string& prefix, store_position after, duration wait, events_done on_done) -> void;
    auto watch_store(const std::string& prefix, store_position after, duration wait, events_done on_done)
        -> void;
    auto watch_relay(const instance_record& relay, const std::string& prefix, store_position after,
                     events_done on_done) -> void;
    auto watch_peer(store_position after, const error& cause, events_done on_done) -> void;

    /// Requests the changes after a position from an instance, which delays its answer while it has none.
    auto request_changes(const instance_record& peer, store_position after, answer_done on_done) -> void;
    /// The next instance to query while the store is unavailable: the last one, unless it was passed over.
    [[nodiscard]] auto choose_peer(time_point now) -> std::optional<instance_record>;
    /// Logs why an instance is passed over and makes the next query choose another one.
    auto pass_over(const instance_record& peer, const std::string& reason) -> void;

    /// Records that the store does not answer this instance.
    auto store_became_unavailable(const error& cause) -> void;
    /// Records that the store answers this instance again.
    auto store_became_available() -> void;
    /// Checks with a short watch whether the unavailable store answers again, one call at a time.
    auto probe_store(const std::string& prefix, store_position after) -> void;

    /// Records that a complete listing of the newest era was received.
    auto listing_received() -> void;
    auto confirm(time_point at) const -> void;
    auto set_source(const std::string& source) -> void;
    auto log_changes(const store_events& changes, const std::string& from, duration age) const -> void;

    const watched_store& store_;
    const feed_server& server_;
    instance_directory& instances_;
    store_eras& eras_;
    /// Whether no listing was received since the store was restored.
    bool awaits_listing_ = false;
    std::vector<std::string> seeds_;
    event_log log_;
    peer_calls peers_;
    std::function<void(time_point)> confirmed_;
    std::function<void(const std::vector<strike>&)> strikes_;
    /// Name of the instance that was queried last, or of the store, for the log.
    std::string source_;
    /// The instance queried while the store is unavailable; empty to choose the next one.
    instance_id current_peer_;
    std::size_t next_peer_ = 0;
    /// Time of the last sign of a store outage, observed here or reported by another instance.
    std::optional<time_point> last_outage_;
    /// The error by which the store became unavailable; empty while it is available.
    std::optional<error> store_failure_;
    bool probing_ = false;
    time_point next_probe_{};
    duration probe_pause_{};
    std::uint64_t next_call_ = 1;
};

}  // namespace eelgrassledge
