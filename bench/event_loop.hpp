#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge::bench {

/// Event queue in virtual time. The clock starts at 1 s and advances only in `run_until`.
class event_loop {
  public:
    using event = std::function<void()>;

    /// The current virtual time.
    [[nodiscard]] auto now() const -> time_point { return now_; }

    /// Schedules the event `delay` after the current virtual time.
    auto after(duration delay, event callback) -> void { at(now_ + delay, std::move(callback)); }

    /// Schedules the event at the given virtual time; a time in the past means now.
    auto at(time_point when, event callback) -> void {
        events_.push({std::max(when, now_), next_sequence_++, std::move(callback)});
    }

    /// Runs the events due up to and including `end`, then sets the clock to `end`.
    /// Events of the same time run in the order in which they were scheduled.
    auto run_until(time_point end) -> void {
        while (!events_.empty() && events_.top().when <= end) {
            auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.callback();
        }
        now_ = end;
    }

  private:
    struct pending {
        time_point when;
        std::uint64_t sequence;
        event callback;
        /// Inverted, because std::priority_queue returns the greatest element first.
        auto operator<(const pending& other) const -> bool {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };
    std::priority_queue<pending> events_;
    std::uint64_t next_sequence_ = 0;
    time_point now_{seconds{1}};
};

}  // namespace eelgrassledge::bench
