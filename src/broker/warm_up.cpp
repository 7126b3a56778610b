#include "eelgrassledge/broker/warm_up.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassledge {

namespace {

/// Fraction of the declared rate that is used, so that network jitter does not exceed the declared rate at
/// the upstream.
constexpr double RATE_MARGIN = 0.9;
/// Factor on the rate for each sub-request that the upstream sheds.
constexpr double SHED_RATE_FACTOR = 0.5;
/// Factor by which each answer raises the lowered rate again.
constexpr double ANSWER_RECOVERY_FACTOR = 1.05;
/// Smallest fraction to which shedding lowers the permitted rate.
constexpr double MIN_RATE_FACTOR = 0.1;

}  // namespace

warm_up_ramp::warm_up_ramp(warm_up_limits limits) : limits_(limits) {}

auto warm_up_ramp::rate_per_s() const -> double {
    if (warmth_ == warmth::warm) {
        return limits_.warm_rate_per_s;
    }
    auto completed = warmth_ == warmth::cold && state_ ? state_->completed : 0;
    auto progress = std::min(1.0, static_cast<double>(completed) / static_cast<double>(limits_.requests));
    auto declared = limits_.cold_rate_per_s + (limits_.warm_rate_per_s - limits_.cold_rate_per_s) * progress;
    return declared * RATE_MARGIN * rate_factor_;
}

auto warm_up_ramp::concurrency(std::uint32_t slots) const -> std::uint32_t {
    if (warmth_ == warmth::warm) {
        return slots;
    }
    if (warmth_ == warmth::unknown) {
        return 1;
    }
    auto share = rate_per_s() / limits_.warm_rate_per_s;
    return std::clamp(static_cast<std::uint32_t>(std::ceil(share * slots)), 1U, slots);
}

auto warm_up_ramp::may_send(time_point now, std::uint32_t running, std::uint32_t slots) const -> bool {
    if (running >= concurrency(slots)) {
        return false;
    }
    return !next_send_time(now).has_value();
}

auto warm_up_ramp::next_send_time(time_point now) const -> std::optional<time_point> {
    if (warmth_ == warmth::warm || !last_sent_) {
        return std::nullopt;
    }
    auto spacing = duration{static_cast<duration::rep>(std::ceil(1e6 / rate_per_s()))};
    auto next = *last_sent_ + spacing;
    return next > now ? std::optional{next} : std::nullopt;
}

auto warm_up_ramp::sent(time_point now) -> void {
    last_sent_ = now;
}

auto warm_up_ramp::answered(start_id start) -> void {
    if (!state_ || state_->start != start) {
        restart(start);
        return;
    }
    if (warmth_ == warmth::unknown) {
        warmth_ = state_->warm ? warmth::warm : warmth::cold;
    }
    ++state_->completed;
    rate_factor_ = std::min(1.0, rate_factor_ * ANSWER_RECOVERY_FACTOR);
    if (warmth_ == warmth::cold && state_->completed >= limits_.requests && rate_factor_ >= 1.0) {
        warmth_ = warmth::warm;
        state_->warm = true;
    }
}

auto warm_up_ramp::connection_failed() -> void {
    warmth_ = warmth::unknown;
}

auto warm_up_ramp::request_shed(time_point now) -> void {
    if (warmth_ != warmth::cold) {
        return;
    }
    rate_factor_ = std::max(MIN_RATE_FACTOR, rate_factor_ * SHED_RATE_FACTOR);
    last_sent_ = now;
}

auto warm_up_ramp::inherit(const warm_up_state& state) -> void {
    state_ = state;
    warmth_ = warmth::unknown;
}

auto warm_up_ramp::state() const -> std::optional<warm_up_state> {
    return state_;
}

auto warm_up_ramp::restart(start_id start) -> void {
    state_ = warm_up_state{start, 1, false};
    warmth_ = warmth::cold;
    rate_factor_ = 1.0;
}

}  // namespace eelgrassledge
