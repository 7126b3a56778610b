#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "eelgrassledge/membership/zone_coordinator.hpp"
#include "eelgrassledge/output/metrics.hpp"
#include "eelgrassledge/platform/store.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// The membership state machine of this daemon and the lock that guards it.
struct shared_coordinator {
    std::mutex lock;
    zone_coordinator decisions;
};

/// Runs the store operations requested by the membership state machine, watches the shared keys and polls the
/// instance list. Only the zone's reporter, the member that holds the zone's lease in the store, watches and
/// polls. Each of the three tasks has its own thread, so that a slow store does not delay the others.
class platform_link {
  public:
    platform_link(std::vector<std::string> addresses, shared_coordinator& coordinator, metrics& counters,
                  event_log log);
    ~platform_link();
    platform_link(const platform_link&) = delete;
    auto operator=(const platform_link&) -> platform_link& = delete;

    /// The store, for claims and operators' changes of the document; its calls are counted in the metrics.
    [[nodiscard]] auto platform_store() const -> const store& { return store_; }

    /// Stops and joins the threads.
    auto stop() -> void;

  private:
    /// Loops of the three threads.
    auto run_store_ops() -> void;
    auto run_watch() -> void;
    auto run_instance_list() -> void;
    /// Runs one store operation and blocks until its reply.
    auto perform(const store_op& op) -> result<store_reply>;
    /// Reads the instance list from the first address that returns a valid one.
    auto read_instance_list() -> void;
    /// Sleeps for a time, or until `stop` is called.
    auto pause(duration length) -> void;
    [[nodiscard]] auto is_reporter() -> bool;
    /// Key in the store that holds the reporter of this zone.
    [[nodiscard]] auto reporter_key() -> std::string;
    /// Time to live of the reporter's lease.
    [[nodiscard]] auto lease_ttl_seconds() -> seconds;

    std::vector<std::string> addresses_;
    shared_coordinator& coordinator_;
    metrics& metrics_;
    event_log log_;
    store store_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

}  // namespace eelgrassledge
