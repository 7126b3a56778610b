#include "eelgrassledge/routing/stop_schedule.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Fractions of the grace period at which the last answer is sent and at which the process exits.
constexpr double LAST_ANSWER_FRACTION = 0.86;
constexpr double LAST_EXIT_FRACTION = 0.92;

/// Time that a request must have left, in latency objectives of its route. An idempotent request can be
/// answered in part, or repeated by its caller; the outcome of any other one would stay unknown, so it needs
/// time even for an upstream that is much slower than the objective.
constexpr int IDEMPOTENT_OBJECTIVES = 2;
constexpr int AT_MOST_ONCE_OBJECTIVES = 4;

auto fraction_of(duration whole, double fraction) -> duration {
    return std::chrono::duration_cast<duration>(whole * fraction);
}

}  // namespace

stop_schedule::stop_schedule(time_point started, duration grace)
    : last_answer_(started + fraction_of(grace, LAST_ANSWER_FRACTION)),
      last_exit_(started + fraction_of(grace, LAST_EXIT_FRACTION)) {}

auto stop_schedule::admits(const route& r, time_point caller_deadline, time_point now) const -> bool {
    auto objectives = r.repeat == repeat_policy::idempotent ? IDEMPOTENT_OBJECTIVES : AT_MOST_ONCE_OBJECTIVES;
    auto end = std::min(now + objectives * r.latency_objective, caller_deadline);
    if (r.timeout.count() > 0) {
        end = std::min(end, now + r.timeout);
    }
    return end <= last_answer_;
}

}  // namespace eelgrassledge
