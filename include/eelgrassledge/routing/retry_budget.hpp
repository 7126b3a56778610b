#pragma once

#include <array>
#include <cstdint>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Limits of the extra sub-requests to a service: those beyond the first of each request, such as retries and
/// hedges.
struct retry_budget_limits {
    /// Extra sub-requests per request within a window.
    double ratio = 0.1;
    /// Extra sub-requests that this instance may send within a window regardless of the number of requests.
    double allowance = 1;
    /// Length of the sliding window.
    duration window = seconds{10};
};

/// Limits the extra sub-requests of one instance to one service over a sliding window.
///
/// Each instance sends at most the ratio times its own requests, so the sum over all instances keeps the
/// ratio without communication between them, also during a network partition. All operations take constant
/// time.
class retry_budget {
  public:
    /// Records a request for the service.
    auto earned(time_point now) -> void;

    /// Reserves one extra sub-request; returns whether the budget allows it.
    auto take(const retry_budget_limits& limits, time_point now) -> bool;

    /// Number of extra sub-requests within the window.
    [[nodiscard]] auto spent(const retry_budget_limits& limits, time_point now) -> double;

  private:
    static constexpr std::size_t SLOTS = 12;

    /// Counts for one part of the window.
    struct slot {
        /// Index of the time span since the epoch of the clock; -1 if unused.
        std::int64_t number = -1;
        double requests = 0;
        double extras = 0;
    };
    /// The slot of the time `now`, cleared if it was last used for an earlier span.
    auto slot_at(const retry_budget_limits& limits, time_point now) -> slot&;
    [[nodiscard]] static auto number_of(const retry_budget_limits& limits, time_point now) -> std::int64_t;

    std::array<slot, SLOTS> slots_{};
    /// Window of the latest `take`.
    duration last_window_ = seconds{10};
};

}  // namespace eelgrassledge
