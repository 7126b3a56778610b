#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge::bench {

/// Runs events in the order of their virtual times.
class event_loop {
  public:
    using event = std::function<void()>;

    [[nodiscard]] auto now() const -> time_point { return now_; }

    auto after(duration delay, event what) -> void { at(now_ + delay, std::move(what)); }

    auto at(time_point when, event what) -> void {
        events_.push({std::max(when, now_), next_sequence_++, std::move(what)});
    }

    /// Runs until no event is left or the time is reached.
    auto run_until(time_point end) -> void {
        while (!events_.empty() && events_.top().when <= end) {
            auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.what();
        }
        now_ = end;
    }

  private:
    struct pending {
        time_point when;
        std::uint64_t sequence;
        event what;
        auto operator<(const pending& other) const -> bool {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };
    std::priority_queue<pending> events_;
    std::uint64_t next_sequence_ = 0;
    time_point now_{seconds{1}};
};

}  // namespace eelgrassledge::bench
