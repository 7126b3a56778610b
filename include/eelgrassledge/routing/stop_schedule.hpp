#pragma once

#include "eelgrassledge/routing/route_table.hpp"

namespace eelgrassledge {

/// Times of one graceful shutdown, and which requests the instance still takes during it.
///
/// Load pattern: callers keep sending while the instance stops, over connections that they hold open and
/// through a load balancer that has not noticed the stop or has few other instances to choose from. A request
/// that cannot end within the grace period is refused before any of it runs, since the caller can send it to
/// another instance; cutting it later would leave its outcome unknown.
class stop_schedule {
  public:
    /// `grace` is the time from the request to stop until the process is killed.
    stop_schedule(time_point started, duration grace);

    /// When every request that was taken must have been answered.
    [[nodiscard]] auto last_answer() const -> time_point { return last_answer_; }

    /// When the process must exit. After `last_answer`, so that the last answers reach their callers.
    [[nodiscard]] auto last_exit() const -> time_point { return last_exit_; }

    /// Whether a request that arrives now can be expected to end before `last_answer`. The caller waits until
    /// `caller_deadline`.
    [[nodiscard]] auto admits(const route& r, time_point caller_deadline, time_point now) const -> bool;

  private:
    time_point last_answer_;
    time_point last_exit_;
};

}  // namespace eelgrassledge
