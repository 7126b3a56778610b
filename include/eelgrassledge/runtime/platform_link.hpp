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

/// The membership decisions of this daemon, guarded by one lock.
struct shared_coordinator {
    std::mutex lock;
    zone_coordinator decisions;
};

/// Runs the store operations that the membership decisions ask for, the watch and the instance list. Only
/// the zone's reporter watches and lists. Each of the three has a thread, so that a slow store delays
/// nothing else.
class platform_link {
  public:
    platform_link(std::vector<std::string> addresses, shared_coordinator& coordinator, metrics& counters,
                  event_log log);
    ~platform_link();
    platform_link(const platform_link&) = delete;
    auto operator=(const platform_link&) -> platform_link& = delete;

    /// The store, for operators' changes and claims; its calls are counted.
    [[nodiscard]] auto platform_store() const -> const store& { return store_; }

    auto stop() -> void;

  private:
    auto run_store_ops() -> void;
    auto run_watch() -> void;
    auto run_instance_list() -> void;
    auto perform(const store_op& op) -> result<store_reply>;
    auto read_instance_list() -> void;
    auto pause(duration length) -> void;
    [[nodiscard]] auto is_reporter() -> bool;
    [[nodiscard]] auto reporter_key() -> std::string;
    [[nodiscard]] auto lease_time() -> seconds;

    std::vector<std::string> addresses_;
    shared_coordinator& coordinator_;
    metrics& metrics_;
    event_log log_;
    store store_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

}  // namespace eelgrassledge
