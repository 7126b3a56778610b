#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Calls functions at given times on one thread. Each slot has at most one time; arming it with an
/// earlier time moves it forward, with a later one does nothing.
class wakeup_thread {
  public:
    using slot = std::uint64_t;

    wakeup_thread();
    ~wakeup_thread();
    wakeup_thread(const wakeup_thread&) = delete;
    auto operator=(const wakeup_thread&) -> wakeup_thread& = delete;

    /// Registers a function to be called at a slot's times.
    auto add(std::function<void()> on_time) -> slot;

    /// Calls the slot's function at a time or, when that has passed, soon.
    auto arm(slot which, time_point at) -> void;

    auto stop() -> void;

  private:
    auto run() -> void;

    std::mutex lock_;
    std::condition_variable changed_;
    std::map<slot, std::function<void()>> functions_;
    std::map<slot, time_point> due_;
    std::set<std::pair<time_point, slot>> order_;
    slot next_ = 1;
    bool stopping_ = false;
    std::thread worker_;
};

}  // namespace eelgrassledge
