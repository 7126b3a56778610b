#include "eelgrassledge/runtime/wakeup_thread.hpp"

namespace eelgrassledge {

wakeup_thread::wakeup_thread() : worker_([this] { run(); }) {}

wakeup_thread::~wakeup_thread() {
    stop();
}

auto wakeup_thread::add(std::function<void()> callback) -> slot {
    std::scoped_lock guard{lock_};
    auto id = next_slot_++;
    callbacks_[id] = std::move(callback);
    return id;
}

auto wakeup_thread::arm(slot timer, time_point at) -> void {
    {
        std::scoped_lock guard{lock_};
        auto armed = due_.find(timer);
        if (armed != due_.end()) {
            if (armed->second <= at) {
                return;
            }
            by_time_.erase({armed->second, timer});
        }
        due_[timer] = at;
        by_time_.insert({at, timer});
        if (by_time_.begin()->second != timer) {
            return;
        }
    }
    changed_.notify_one();
}

auto wakeup_thread::run() -> void {
    std::unique_lock guard{lock_};
    while (!stopping_) {
        if (by_time_.empty()) {
            changed_.wait(guard);
            continue;
        }
        auto [at, timer] = *by_time_.begin();
        auto remaining = at - monotonic_now();
        if (remaining > duration{0}) {
            changed_.wait_for(guard, remaining);
            continue;
        }
        by_time_.erase(by_time_.begin());
        due_.erase(timer);
        auto& callback = callbacks_.at(timer);
        guard.unlock();
        callback();
        guard.lock();
    }
}

auto wakeup_thread::stop() -> void {
    {
        std::scoped_lock guard{lock_};
        stopping_ = true;
    }
    changed_.notify_one();
    if (worker_.joinable()) {
        worker_.join();
    }
}

}  // namespace eelgrassledge
