#include "eelgrassledge/routing/load_shedder.hpp"

#include <algorithm>
#include <chrono>

namespace eelgrassledge {

namespace {

/// The share is multiplied by this at a sign of overload, and grows by the step with a query in time. While
/// the share is near one, one failure in about ten queries keeps it where it is.
constexpr double FALL = 0.9;
constexpr double RISE = 0.01;

/// Growth of the share in a second without any query.
constexpr double RISE_PER_S = 0.05;

/// Smallest share: enough queries to notice that the load has gone.
constexpr double SMALLEST_SHARE = 0.2;

/// Share below which the load counts as high: two or three signs within a short time.
constexpr double CALM_SHARE = 0.9;

/// Wait of a refused caller beyond the usual one if nothing is admitted.
constexpr duration LONGEST_WAIT = seconds{1};

/// Smallest part of the wait that the spread leaves.
constexpr double LEAST_SPREAD = 0.5;

/// Part of the wait that an urgent caller is asked for.
constexpr double URGENT_WAIT = 0.5;

/// Urgent queries are admitted at this multiple of the share.
constexpr double URGENT_FACTOR = 2;

}  // namespace

auto load_shedder::admitted_share(time_point now) const -> double {
    auto idle_s = std::chrono::duration<double>(now - changed_).count();
    return std::min(1.0, share_ + RISE_PER_S * std::max(0.0, idle_s));
}

auto load_shedder::finished(load_sign sign, time_point now) -> void {
    if (sign == load_sign::unclear) {
        return;
    }
    auto share = admitted_share(now);
    share_ = sign == load_sign::overloaded ? std::max(SMALLEST_SHARE, share * FALL) : share + RISE;
    share_ = std::min(1.0, share_);
    changed_ = now;
}

auto load_shedder::is_shedding(time_point now) const -> bool {
    return admitted_share(now) < CALM_SHARE;
}

auto load_shedder::admits(bool urgent, double point, time_point now) const -> bool {
    auto share = admitted_share(now) * (urgent ? URGENT_FACTOR : 1);
    return point < share;
}

auto load_shedder::extra_wait(bool urgent, double point, time_point now) const -> duration {
    auto spread = LEAST_SPREAD + (1 - LEAST_SPREAD) * point;
    auto part = (1 - admitted_share(now)) * spread * (urgent ? URGENT_WAIT : 1);
    return std::chrono::duration_cast<duration>(LONGEST_WAIT * part);
}

}  // namespace eelgrassledge
