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

/// What a broker calls when it has something to say.
struct broker_hooks {
    /// Sends an answer or notice back on the link by which the sub-request came.
    std::function<void(broker_message)> on_message;
    /// A request was running at an upstream that vanished; or, withdrawn, the upstream had not vanished.
    std::function<void(fingerprint, const suspicion&)> on_strike;
};

/// Brokers of all upstreams that this daemon owns: one decision object for each, each under its own lock,
/// joined to the upstream client, the timers and the links to entries.
class broker_runtime {
  public:
    broker_runtime(broker_hooks hooks, wakeup_thread& timers, metrics& counters, event_log log);

    /// Takes a sub-request from an entry.
    auto submit(sub_request request) -> void;
    auto cancel(const sub_key& key) -> void;
    auto cancel_link(link_id link) -> void;

    /// Applies a document: creates brokers for new upstreams and changes limits.
    auto configure(const document& doc) -> void;

    /// Renews the right to send to each upstream, with the warm-up state left by its previous owner, and
    /// whether the instance list shows it as leaving.
    struct ownership {
        upstream_id upstream;
        send_authority authority;
        std::optional<warm_up_state> inherited;
        bool leaving = false;
    };
    auto set_ownership(const std::vector<ownership>& owned) -> void;

    /// Records what an answer told an entry of this daemon, and gives what is known then.
    auto learn_strikes(fingerprint print, std::uint32_t strikes) -> suspicion;

    /// Takes over what other daemons know of suspect requests.
    auto learn_suspects(const std::vector<suspect_report>& reports) -> void;

    /// Polls the status of the upstreams owned.
    auto poll_statuses() -> void;

    struct report {
        std::vector<warm_up_report> warm_ups;
        std::vector<upstream_id> busy;
        std::size_t running = 0;
        std::size_t queued = 0;
    };
    [[nodiscard]] auto summary() const -> report;

    /// Loads of the upstreams owned, for status pages.
    [[nodiscard]] auto loads() const -> std::vector<upstream_load>;

    auto stop() -> void;

  private:
    struct upstream_shard;

    [[nodiscard]] auto find(const upstream_id& name) const -> std::shared_ptr<upstream_shard>;
    [[nodiscard]] static auto address_of(upstream_shard& shard) -> std::string;
    [[nodiscard]] auto all() const -> std::vector<std::shared_ptr<upstream_shard>>;
    auto run(const std::shared_ptr<upstream_shard>& shard, broker_actions actions) -> void;
    auto arm(const std::shared_ptr<upstream_shard>& shard) -> void;
    template <class Event>
    auto handle(const std::shared_ptr<upstream_shard>& shard, Event event) -> void;
    auto on_sent(const std::shared_ptr<upstream_shard>& shard, const sub_key& key,
                 const send_outcome& outcome) -> void;
    auto count_answer(const sub_answer& answer) -> void;
    auto record_strike(const strike_action& strike) -> void;

    broker_hooks hooks_;
    wakeup_thread& timers_;
    metrics& metrics_;
    event_log log_;
    mutable std::shared_mutex lock_;
    std::map<upstream_id, std::shared_ptr<upstream_shard>> shards_;
    suspect_table suspects_;
    mutable std::mutex keys_lock_;
    std::map<sub_key, upstream_id> upstream_by_key_;
    upstream_client client_;
};

}  // namespace eelgrassledge
