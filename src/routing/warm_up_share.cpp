#include "eelgrassledge/routing/warm_up_share.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// How long a fall of the number of instances is ignored: longer than a lease and a store outage.
constexpr duration FALL_DELAY = seconds{30};

}  // namespace

auto instance_population::observe(std::size_t count, time_point now) -> void {
    count = std::max<std::size_t>(count, 1);
    if (count >= count_) {
        count_ = count;
        held_until_ = now + FALL_DELAY;
    } else if (now >= held_until_) {
        count_ = count;
    }
}

auto warm_up_share::take(double rate_per_s, time_point now) -> bool {
    if (started_) {
        auto elapsed_s = std::chrono::duration<double>(now - refilled_).count();
        tokens_ = std::min(1.0, tokens_ + std::max(0.0, elapsed_s) * rate_per_s);
    }
    started_ = true;
    refilled_ = now;
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

}  // namespace eelgrassledge
