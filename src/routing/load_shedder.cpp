#include "eelgrassledge/routing/load_shedder.hpp"

#include <algorithm>
#include <chrono>

namespace eelgrassledge {

namespace {

/// An overload signal multiplies the share by the factor; a query in time adds the step. While the share is
/// near one, one failure in about ten queries keeps it constant.
constexpr double DECREASE_FACTOR = 0.9;
constexpr double INCREASE_STEP = 0.01;

/// Increase of the share per second without queries.
constexpr double IDLE_INCREASE_PER_S = 0.05;

/// Lower bound of the share: admits enough queries to detect that the load has decreased.
constexpr double MIN_SHARE = 0.2;

/// Share below which the load counts as high; two or three overload signals within a short time lead to it.
constexpr double SHEDDING_THRESHOLD = 0.9;

/// Additional wait of a refused caller if no queries are admitted.
constexpr duration MAX_EXTRA_WAIT = seconds{1};

/// Smallest factor by which jitter shortens the additional wait.
constexpr double MIN_JITTER = 0.5;

/// Factor of the additional wait for the most urgent queries.
constexpr double URGENT_WAIT_FACTOR = 0.5;

/// Factor of the admitted share for the most urgent queries.
constexpr double URGENT_ADMISSION_FACTOR = 2;

}  // namespace

auto load_shedder::admitted_share(time_point now) const -> double {
    auto idle_s = std::chrono::duration<double>(now - changed_).count();
    return std::min(1.0, share_ + IDLE_INCREASE_PER_S * std::max(0.0, idle_s));
}

auto load_shedder::finished(load_signal signal, time_point now) -> void {
    if (signal == load_signal::unclear) {
        return;
    }
    auto share = admitted_share(now);
    share_ = signal == load_signal::overloaded ? std::max(MIN_SHARE, share * DECREASE_FACTOR)
                                               : share + INCREASE_STEP;
    share_ = std::min(1.0, share_);
    changed_ = now;
}

auto load_shedder::is_shedding(time_point now) const -> bool {
    return admitted_share(now) < SHEDDING_THRESHOLD;
}

auto load_shedder::admits(double urgency, double sample, time_point now) const -> bool {
    auto share = admitted_share(now) * (1 + urgency * (URGENT_ADMISSION_FACTOR - 1));
    return sample < share;
}

auto load_shedder::extra_wait(double urgency, double sample, time_point now) const -> duration {
    auto jitter = MIN_JITTER + (1 - MIN_JITTER) * sample;
    auto factor = (1 - admitted_share(now)) * jitter * (1 - urgency * (1 - URGENT_WAIT_FACTOR));
    return std::chrono::duration_cast<duration>(MAX_EXTRA_WAIT * factor);
}

}  // namespace eelgrassledge
