#include "eelgrassledge/routing/upstream.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassledge {

namespace {

/// Weight of the newest sample in the moving averages: a change dominates after about five samples.
constexpr double SAMPLE_WEIGHT = 0.2;

/// Half-life of an observation in seconds, so that an upstream that was slow or failed is tried again.
constexpr double HALF_LIFE_S = 3;

/// Surcharge for an upstream that always fails, in milliseconds: more than the wait in any queue.
constexpr double FAILURE_SURCHARGE_MS = 400;

/// Shortest and longest time for which new work avoids an upstream after a failed connection; a restart takes
/// seconds.
constexpr duration MIN_AVOIDANCE = milliseconds{300};
constexpr duration MAX_AVOIDANCE = milliseconds{2400};

/// Factor on the expected latency while an upstream is cold.
constexpr double COLD_FACTOR = 2;

/// Share of failures above which an upstream counts as degraded.
constexpr double DEGRADED_FAILURE_SHARE = 0.35;

}  // namespace

upstream::upstream(upstream_record record, time_point now) : observed_(now) {
    announce(std::move(record), now);
}

auto upstream::announce(upstream_record record, time_point now) -> void {
    record_ = std::move(record);
    cold_until_ = now + record_.warm_up_left;
}

auto upstream::leave(time_point last_send) -> void {
    if (!last_send_ || last_send < *last_send_) {
        last_send_ = last_send;
    }
}

auto upstream::said_leaving(time_point last_send) -> void {
    said_leaving_ = true;
    leave(last_send);
}

auto upstream::cancel_leave() -> void {
    if (!said_leaving_) {
        last_send_.reset();
    }
}

auto upstream::pause(duration wait, time_point now) -> void {
    paused_until_ = std::max(paused_until_, now + std::min(wait, MAX_PAUSE));
}

auto upstream::erase_in_flight(time_point sent) -> double {
    auto found = std::find_if(in_flight_.begin(), in_flight_.end(),
                              [&](const sub_request_in_flight& one) { return one.sent == sent; });
    if (found == in_flight_.end()) {
        return UNKNOWN_COST_MS;
    }
    auto cost_ms = found->cost_ms;
    in_flight_.erase(found);
    return cost_ms;
}

auto upstream::slowness(time_point now) const -> double {
    return decayed(slowness_, 1, now);
}

auto upstream::decayed(double value, double baseline, time_point now) const -> double {
    auto age_s = std::chrono::duration<double>(now - observed_).count();
    return baseline + (value - baseline) * std::exp2(-std::max(0.0, age_s) / HALF_LIFE_S);
}

auto upstream::answered(duration latency, bool healthy, time_point now) -> void {
    auto cost_ms = erase_in_flight(now - latency);
    last_answer_ = now;
    slowness_ = slowness(now);
    failure_share_ = decayed(failure_share_, 0, now);
    observed_ = now;
    if (healthy) {
        slowness_ += SAMPLE_WEIGHT * (to_milliseconds(latency) / cost_ms - slowness_);
    }
    failure_share_ += SAMPLE_WEIGHT * ((healthy ? 0.0 : 1.0) - failure_share_);
    overdue_until_ = {};
    avoid_until_ = {};
    avoid_for_ = {};
    needs_probe_ = false;
}

auto upstream::abandoned(duration elapsed, time_point now) -> void {
    auto cost_ms = erase_in_flight(now - elapsed);
    auto lasted = to_milliseconds(elapsed) / cost_ms;
    slowness_ = slowness(now);
    failure_share_ = decayed(failure_share_, 0, now);
    observed_ = now;
    if (lasted > slowness_) {
        slowness_ += SAMPLE_WEIGHT * (lasted - slowness_);
    }
}

auto upstream::connection_failed(duration elapsed, time_point now) -> void {
    erase_in_flight(now - elapsed);
    failure_share_ = decayed(failure_share_, 0, now);
    observed_ = now;
    failure_share_ += SAMPLE_WEIGHT * (1 - failure_share_);
    if (now < avoid_until_) {
        return;
    }
    avoid_for_ = std::clamp(2 * avoid_for_, MIN_AVOIDANCE, MAX_AVOIDANCE);
    avoid_until_ = now + avoid_for_;
    needs_probe_ = true;
}

auto upstream::overdue(time_point until) -> void {
    overdue_until_ = std::max(overdue_until_, until);
}

auto upstream::preference_at(time_point now) const -> preference {
    if (is_gone(now) || now < paused_until_) {
        return preference::never;
    }
    if (last_send_) {
        return preference::leaving;
    }
    auto probe_in_flight = needs_probe_ && !in_flight_.empty();
    if (now < overdue_until_ || now < avoid_until_ || probe_in_flight ||
        decayed(failure_share_, 0, now) > DEGRADED_FAILURE_SHARE) {
        return preference::degraded;
    }
    return preference::normal;
}

auto upstream::expected_ms(time_point now, double cost_ms) const -> double {
    auto slow = slowness(now);
    auto own = slow * cost_ms;
    double waiting = 0;
    for (const auto& one : in_flight_) {
        // One that is late may still take as long as expected at first.
        auto expected = slow * one.cost_ms;
        auto elapsed = to_milliseconds(now - one.sent);
        waiting += elapsed < expected ? expected - elapsed : expected;
    }
    if (!in_flight_.empty()) {
        auto elapsed = to_milliseconds(now - in_flight_.front().sent);
        own = elapsed > slow * in_flight_.front().cost_ms ? std::max(own, elapsed) : own;
    }
    auto latency = own + waiting / std::max<double>(1, record_.slots);
    if (is_cold(now)) {
        latency *= COLD_FACTOR;
    }
    return latency + decayed(failure_share_, 0, now) * FAILURE_SURCHARGE_MS;
}

}  // namespace eelgrassledge
