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

/// Callbacks of an entry.
struct entry_hooks {
    /// Sends a sub-request to a broker.
    std::function<void(const instance_id& broker, sub_request)> send;
    /// Cancels a sub-request at a broker.
    std::function<void(const instance_id& broker, const upstream_id&, sub_request_id)> withdraw;
    /// An answer reported strikes of a fingerprint: upstreams that vanished while they ran it.
    std::function<void(fingerprint, std::uint32_t strikes)> on_suspect;
};

/// Runs the queries of this entry. Keeps one `entry_service` for each service, each under its own lock, and
/// connects it to the brokers, the timers and the waiting callers.
class entry_runtime {
  public:
    /// Callback that passes an answer to the caller.
    using reply = std::function<void(const search_answer&)>;

    entry_runtime(entry_hooks hooks, wakeup_thread& timers, metrics& counters, event_log log);

    /// Applies a document, the assignments of all zones and the known suspect requests. Services that the
    /// document no longer lists are removed.
    auto configure(const document& doc, const std::map<zone_id, assignment>& assignments,
                   const std::vector<suspect_report>& suspects) -> void;

    /// Starts a query; `done` is called exactly once, possibly before this returns.
    auto submit(search_request request, reply done) -> void;

    /// Handles an answer or a notice from a broker. Messages for unknown sub-requests are ignored.
    auto on_message(const broker_message& message) -> void;
    /// Handles the loss of the connection to a broker.
    auto on_broker_lost(const instance_id& broker) -> void;

    /// Number of queries that are running.
    [[nodiscard]] auto running() const -> std::size_t;

    /// Brokers from which loads should be requested, over all services.
    [[nodiscard]] auto brokers_to_ask() const -> std::set<instance_id>;

    /// Records loads that were not received with an answer, such as the holdings of upstreams that have not
    /// answered yet.
    auto record_loads(const std::vector<upstream_load>& loads) -> void;

  private:
    struct service_state;

    [[nodiscard]] auto find(const service_id& name) const -> std::shared_ptr<service_state>;
    [[nodiscard]] auto all_services() const -> std::vector<std::shared_ptr<service_state>>;
    /// Performs the actions that an event returned. Called without the lock of the service.
    auto run(const std::shared_ptr<service_state>& service, entry_actions actions) -> void;
    /// Arms the timer of a service for its next wake-up.
    auto arm_timer(const std::shared_ptr<service_state>& service) -> void;
    /// Runs one event under the lock of the service and the resulting actions outside it.
    template <class Event>
    auto handle(const std::shared_ptr<service_state>& service, Event event) -> void;
    /// Counts and logs the answer of a query and passes it to the caller.
    auto finish(const std::shared_ptr<service_state>& service, const reply_action& done) -> void;
    /// Counts and logs a sub-request beyond the first or a change in the course of a query.
    auto record_extra_work(const service_state& service, const note_action& note) -> void;

    entry_hooks hooks_;
    wakeup_thread& timers_;
    metrics& metrics_;
    event_log log_;
    std::atomic<std::uint64_t> next_number_{1};
    mutable std::shared_mutex lock_;
    std::map<service_id, std::shared_ptr<service_state>> services_;
    /// Part of the map from sub-requests to services; several parts reduce contention for the lock.
    struct sub_request_stripe {
        std::mutex lock;
        std::map<sub_request_id, std::weak_ptr<service_state>> service_by_sub_request;
    };
    std::array<sub_request_stripe, 16> stripes_;
};

}  // namespace eelgrassledge
