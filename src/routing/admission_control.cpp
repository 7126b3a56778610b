#include "eelgrassledge/routing/admission_control.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace eelgrassledge {

namespace {

/// Time constant of the average of sub-requests in flight, in seconds.
constexpr double AVERAGING_S = 1;

/// Sub-requests in flight for each slot above which upstreams count as busy. More than one, since the time in
/// flight contains the way to the upstream and back.
constexpr double BUSY = 1.2;

/// Largest expected share of the time left with which a query is admitted: of queries that are not urgent,
/// and the addition for the most urgent ones. The slowest needed part of many takes up to twice the expected
/// time.
constexpr double ADMITTED_SHARE = 0.5;
constexpr double URGENT_ADDITION = 0.2;

/// Factor of the expected excess in the wait: about half of the queries are refused while queues shorten.
constexpr int WAIT_FACTOR = 2;
/// Longest wait for queues to shorten, and the additional wait over which retries are spread.
constexpr duration MAX_WAIT = seconds{1};
constexpr duration SPREAD = milliseconds{500};

/// How long a refusal makes another one likely: the time in which the signs of load fade.
constexpr duration REFUSAL_MEMORY = seconds{2};

}  // namespace

auto to_string(const query_load& load) -> std::string {
    return fmt::format("expected_ms={:.1f} left_ms={:.1f} in_flight_per_slot={:.2f}",
                       to_milliseconds(load.expected), to_milliseconds(load.left), load.in_flight_per_slot);
}

auto admission_control::in_flight(time_point now) const -> double {
    auto age_s = std::chrono::duration<double>(now - changed_).count();
    return busy_s_ * std::exp(-std::max(0.0, age_s) / AVERAGING_S) / AVERAGING_S;
}

auto admission_control::ended(duration in_flight_for, time_point now) -> void {
    busy_s_ = in_flight(now) * AVERAGING_S + std::chrono::duration<double>(in_flight_for).count();
    changed_ = now;
}

auto admission_control::was_refused_recently(time_point now) const -> bool {
    return refused_at_ && now - *refused_at_ < REFUSAL_MEMORY;
}

auto admission_control::admits(const query_load& load, double urgency) -> bool {
    auto share = ADMITTED_SHARE + urgency * URGENT_ADDITION;
    return load.in_flight_per_slot <= BUSY ||
           to_milliseconds(load.expected) <= share * to_milliseconds(load.left);
}

auto admission_control::wait(const query_load& load, double sample) -> duration {
    auto excess = load.expected - std::chrono::duration_cast<duration>(ADMITTED_SHARE * load.left);
    auto spread = std::chrono::duration_cast<duration>(sample * SPREAD);
    return std::clamp<duration>(WAIT_FACTOR * excess, duration{}, MAX_WAIT) + spread;
}

}  // namespace eelgrassledge
