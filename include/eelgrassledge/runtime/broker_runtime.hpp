#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

#include "eelgrassledge/broker/suspect_table.hpp"
#include "eelgrassledge/membership/zone_coordinator.hpp"
#include "eelgrassledge/output/metrics.hpp"
#include "eelgrassledge/peer/peer_network.hpp"
#include "eelgrassledge/runtime/event_log.hpp"
#include "eelgrassledge/runtime/wakeup_thread.hpp"
#include "eelgrassledge/transport/upstream_client.hpp"

namespace eelgrassledge {

/// Callbacks of a broker.
struct broker_hooks {
    /// Sends an answer or notice back on the link on which the sub-request arrived.
    std::function<void(broker_message)> on_message;
    /// The strikes of a fingerprint changed: one is added when an upstream vanishes while it runs the
    /// request, and withdrawn if the upstream turns out not to have vanished; all are cleared when the
    /// request completes.
    std::function<void(fingerprint, const suspicion&)> on_strike;
};

/// Brokers of the upstreams that this daemon owns. Keeps one `upstream_broker` for each upstream, each under
/// its own lock, and connects it to the upstream client, the timers and the links to entries.
class broker_runtime {
  public:
    broker_runtime(broker_hooks hooks, wakeup_thread& timers, metrics& counters, event_log log);

    /// Accepts a sub-request from an entry. Answers `not_owner` if the upstream is unknown.
    auto submit(sub_request request) -> void;
    /// Cancels one sub-request; ignored if it is unknown or has been answered.
    auto cancel(const sub_key& key) -> void;
    /// Cancels all sub-requests that arrived on a link.
    auto cancel_link(link_id link) -> void;

    /// Applies a document: creates brokers for new upstreams and updates the limits and addresses of the
    /// others.
    auto configure(const document& doc) -> void;

    /// The right to send to an upstream. `inherited` is the warm-up state passed on by the previous owner;
    /// `leaving` is set if the upstream is marked as leaving in the instance list or its zone is out of
    /// service.
    struct ownership {
        upstream_id upstream;
        send_authority authority;
        std::optional<warm_up_state> inherited;
        bool leaving = false;
    };
    /// Replaces the set of owned upstreams and renews the right to send to each.
    auto set_ownership(const std::vector<ownership>& owned) -> void;

    /// Merges the strikes that an answer reported to the entry of this daemon; returns the resulting state.
    auto merge_strikes(fingerprint print, std::uint32_t strikes) -> suspicion;

    /// Merges the suspect requests reported by other daemons and drops those that have expired.
    auto merge_suspects(const std::vector<suspect_report>& reports) -> void;

    /// Polls the status of the owned upstreams.
    auto poll_statuses() -> void;

    /// State for membership syncs and for draining.
    struct report {
        std::vector<warm_up_report> warm_ups;  ///< Warm-up states of the owned upstreams.
        std::vector<upstream_id> busy;         ///< Upstreams no longer owned that still run sub-requests.
        std::size_t running = 0;               ///< Sub-requests that run, over all upstreams.
        std::size_t queued = 0;                ///< Sub-requests that wait, over all upstreams.
    };
    [[nodiscard]] auto summary() const -> report;

    /// Loads of the owned upstreams, for entries and the status page.
    [[nodiscard]] auto loads() const -> std::vector<upstream_load>;

    /// Stops the upstream client.
    auto stop() -> void;

  private:
    struct upstream_state;

    [[nodiscard]] auto find(const upstream_id& name) const -> std::shared_ptr<upstream_state>;
    [[nodiscard]] static auto address_of(upstream_state& upstream) -> std::string;
    [[nodiscard]] auto all_upstreams() const -> std::vector<std::shared_ptr<upstream_state>>;
    /// Performs the actions that an event returned. Called without the lock of the upstream.
    auto run(const std::shared_ptr<upstream_state>& upstream, broker_actions actions) -> void;
    /// Arms the timer of an upstream for its next wake-up and logs a change of its warm-up state.
    auto arm_timer(const std::shared_ptr<upstream_state>& upstream) -> void;
    /// Runs one event under the lock of the upstream and the resulting actions outside it.
    template <class Event>
    auto handle(const std::shared_ptr<upstream_state>& upstream, Event event) -> void;
    auto on_send_completed(const std::shared_ptr<upstream_state>& upstream, const sub_key& key,
                           const send_outcome& outcome) -> void;
    auto count_answer(const sub_answer& answer) -> void;
    /// Applies a change of strikes to the table of suspects and reports the result.
    auto record_strike(const strike_action& strike) -> void;

    broker_hooks hooks_;
    wakeup_thread& timers_;
    metrics& metrics_;
    event_log log_;
    mutable std::shared_mutex lock_;
    std::map<upstream_id, std::shared_ptr<upstream_state>> upstreams_;
    suspect_table suspects_;
    mutable std::mutex keys_lock_;
    std::map<sub_key, upstream_id> upstream_by_key_;
    upstream_client client_;
};

}  // namespace eelgrassledge
