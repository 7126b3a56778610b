#include "eelgrassledge/broker/warm_up.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassledge {

namespace {

/// Part of the declared rate that is used, so that jitter on the way does not pass the declared rate.
constexpr double RATE_MARGIN = 0.9;
/// Factor on the rate for each sign of strain.
constexpr double STRAIN_BACKOFF = 0.5;
/// Growth of the damped rate for each good answer.
constexpr double STRAIN_RECOVERY = 1.05;
/// Smallest share of the permitted rate that remains under strain.
constexpr double MIN_DAMPING = 0.1;

}  // namespace

warm_up_ramp::warm_up_ramp(warm_up_limits limits) : limits_(limits) {}

auto warm_up_ramp::rate_per_s() const -> double {
    if (warmth_ == warmth::warm) {
        return limits_.warm_rate_per_s;
    }
    auto completed = warmth_ == warmth::cold && known_ ? known_->completed : 0;
    auto progress = std::min(1.0, static_cast<double>(completed) / static_cast<double>(limits_.requests));
    auto declared = limits_.cold_rate_per_s + (limits_.warm_rate_per_s - limits_.cold_rate_per_s) * progress;
    return declared * RATE_MARGIN * damping_;
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
    if (!known_ || known_->start != start) {
        restart(start);
        return;
    }
    if (warmth_ == warmth::unknown) {
        warmth_ = known_->warm ? warmth::warm : warmth::cold;
    }
    ++known_->completed;
    damping_ = std::min(1.0, damping_ * STRAIN_RECOVERY);
    if (warmth_ == warmth::cold && known_->completed >= limits_.requests && damping_ >= 1.0) {
        warmth_ = warmth::warm;
        known_->warm = true;
    }
}

auto warm_up_ramp::connection_failed() -> void {
    warmth_ = warmth::unknown;
}

auto warm_up_ramp::strained(time_point now) -> void {
    if (warmth_ != warmth::cold) {
        return;
    }
    damping_ = std::max(MIN_DAMPING, damping_ * STRAIN_BACKOFF);
    last_sent_ = now;
}

auto warm_up_ramp::inherit(const warm_up_state& state) -> void {
    known_ = state;
    warmth_ = warmth::unknown;
}

auto warm_up_ramp::state() const -> std::optional<warm_up_state> {
    return known_;
}

auto warm_up_ramp::restart(start_id start) -> void {
    known_ = warm_up_state{start, 1, false};
    warmth_ = warmth::cold;
    damping_ = 1.0;
}

}  // namespace eelgrassledge
