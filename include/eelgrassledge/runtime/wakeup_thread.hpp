#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Runs callbacks at given times on one thread. Each slot holds a callback and at most one pending time;
/// arming it with an earlier time replaces the pending one, with a later time has no effect. The time is
/// cleared before the callback runs, so the callback may arm its slot again.
class wakeup_thread {
  public:
    using slot = std::uint64_t;

    wakeup_thread();
    ~wakeup_thread();
    wakeup_thread(const wakeup_thread&) = delete;
    auto operator=(const wakeup_thread&) -> wakeup_thread& = delete;

    /// Registers a callback and returns its slot.
    auto add(std::function<void()> callback) -> slot;

    /// Schedules the callback of a slot for a time; a time in the past means as soon as possible.
    auto arm(slot timer, time_point at) -> void;

    /// Stops and joins the thread. Pending callbacks are dropped.
    auto stop() -> void;

  private:
    auto run() -> void;

    std::mutex lock_;
    std::condition_variable changed_;  ///< Notified when the next time becomes earlier and on stop.
    std::map<slot, std::function<void()>> callbacks_;
    std::map<slot, time_point> due_;                 ///< Pending time of each armed slot.
    std::set<std::pair<time_point, slot>> by_time_;  ///< The pending times in order.
    slot next_slot_ = 1;
    bool stopping_ = false;
    std::thread worker_;
};

}  // namespace eelgrassledge
