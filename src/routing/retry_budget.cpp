#include "eelgrassledge/routing/retry_budget.hpp"

namespace eelgrassledge {

namespace {

/// Number of slots per window. Extras are summed over one slot more than this, so that any span of a window's
/// length is covered; requests are summed over one slot fewer than extras.
constexpr std::int64_t SLOTS_IN_WINDOW = 10;

}  // namespace

auto retry_budget::number_of(const retry_budget_limits& limits, time_point now) -> std::int64_t {
    return now.time_since_epoch() / (limits.window / SLOTS_IN_WINDOW);
}

auto retry_budget::slot_at(const retry_budget_limits& limits, time_point now) -> slot& {
    auto number = number_of(limits, now);
    auto& s = slots_.at(static_cast<std::size_t>(number) % SLOTS);
    if (s.number != number) {
        s = slot{number, 0, 0};
    }
    return s;
}

auto retry_budget::earned(time_point now) -> void {
    slot_at({.window = last_window_}, now).requests += 1;
}

auto retry_budget::spent(const retry_budget_limits& limits, time_point now) -> double {
    auto newest = number_of(limits, now);
    double extras = 0;
    for (const auto& s : slots_) {
        if (s.number >= newest - SLOTS_IN_WINDOW && s.number <= newest) {
            extras += s.extras;
        }
    }
    return extras;
}

auto retry_budget::take(const retry_budget_limits& limits, time_point now) -> bool {
    last_window_ = limits.window;
    auto& current = slot_at(limits, now);
    auto newest = current.number;
    double requests = 0;
    for (const auto& s : slots_) {
        if (s.number > newest - SLOTS_IN_WINDOW && s.number <= newest) {
            requests += s.requests;
        }
    }
    if (spent(limits, now) + 1 > limits.ratio * requests + limits.allowance) {
        return false;
    }
    current.extras += 1;
    return true;
}

}  // namespace eelgrassledge
