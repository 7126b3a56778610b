#include "eelgrassledge/runtime/wakeup_thread.hpp"

namespace eelgrassledge {

wakeup_thread::wakeup_thread() : worker_([this] { run(); }) {}

wakeup_thread::~wakeup_thread() {
    stop();
}

auto wakeup_thread::add(std::function<void()> on_time) -> slot {
    std::scoped_lock guard{lock_};
    auto id = next_++;
    functions_[id] = std::move(on_time);
    return id;
}

auto wakeup_thread::arm(slot which, time_point at) -> void {
    {
        std::scoped_lock guard{lock_};
        auto known = due_.find(which);
        if (known != due_.end()) {
            if (known->second <= at) {
                return;
            }
            order_.erase({known->second, which});
        }
        due_[which] = at;
        order_.insert({at, which});
        if (order_.begin()->second != which) {
            return;
        }
    }
    changed_.notify_one();
}

auto wakeup_thread::run() -> void {
    std::unique_lock guard{lock_};
    while (!stopping_) {
        if (order_.empty()) {
            changed_.wait(guard);
            continue;
        }
        auto [at, which] = *order_.begin();
        auto left = at - monotonic_now();
        if (left > duration{0}) {
            changed_.wait_for(guard, left);
            continue;
        }
        order_.erase(order_.begin());
        due_.erase(which);
        auto& function = functions_.at(which);
        guard.unlock();
        function();
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
