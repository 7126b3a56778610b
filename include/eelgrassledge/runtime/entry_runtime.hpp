#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

#include "eelgrassledge/entry/entry_service.hpp"
#include "eelgrassledge/membership/zone_coordinator.hpp"
#include "eelgrassledge/output/metrics.hpp"
#include "eelgrassledge/peer/peer_network.hpp"
#include "eelgrassledge/runtime/event_log.hpp"
#include "eelgrassledge/runtime/wakeup_thread.hpp"

namespace eelgrassledge {

/// How an entry reaches brokers.
struct entry_hooks {
    std::function<void(const instance_id& broker, sub_request)> send;
    std::function<void(const instance_id& broker, const upstream_id&, sub_request_id)> withdraw;
    std::function<void(fingerprint, std::uint32_t strikes)> on_suspect;
};

/// Runs the queries of this entry: one decision object for each service, each under its own lock, joined
/// to the brokers, the timers and the callers that wait.
class entry_runtime {
  public:
    using reply = std::function<void(const search_answer&)>;

    entry_runtime(entry_hooks hooks, wakeup_thread& timers, metrics& counters, event_log log);

    /// Applies a document, the assignments of all zones and the suspects known.
    auto configure(const document& doc, const std::map<zone_id, assignment>& assignments,
                   const std::vector<suspect_report>& suspects) -> void;

    /// Starts a query; `done` is called once, perhaps before this returns.
    auto submit(search_request request, reply done) -> void;

    auto on_message(const broker_message& message) -> void;
    auto on_broker_lost(const instance_id& broker) -> void;

    [[nodiscard]] auto running() const -> std::size_t;

    /// Brokers that should be asked for loads, over all services.
    [[nodiscard]] auto brokers_to_ask() const -> std::set<instance_id>;

    /// Records loads learned outside of answers, such as holdings of upstreams that have not answered yet.
    auto record_loads(const std::vector<upstream_load>& loads) -> void;

  private:
    struct service_shard;

    [[nodiscard]] auto find(const service_id& name) const -> std::shared_ptr<service_shard>;
    [[nodiscard]] auto all() const -> std::vector<std::shared_ptr<service_shard>>;
    auto run(const std::shared_ptr<service_shard>& shard, entry_actions actions) -> void;
    auto arm(const std::shared_ptr<service_shard>& shard) -> void;
    template <class Event>
    auto handle(const std::shared_ptr<service_shard>& shard, Event event) -> void;
    auto finish(const std::shared_ptr<service_shard>& shard, const reply_action& done) -> void;
    auto count_note(const service_shard& shard, const note_action& note) -> void;

    entry_hooks hooks_;
    wakeup_thread& timers_;
    metrics& metrics_;
    event_log log_;
    std::atomic<std::uint64_t> next_number_{1};
    mutable std::shared_mutex lock_;
    std::map<service_id, std::shared_ptr<service_shard>> shards_;
    struct waiting_shard {
        std::mutex lock;
        std::map<sub_request_id, std::weak_ptr<service_shard>> service_by_sub;
    };
    std::array<waiting_shard, 16> waiting_;
};

}  // namespace eelgrassledge
