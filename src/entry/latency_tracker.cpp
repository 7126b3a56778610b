#include "eelgrassledge/entry/latency_tracker.hpp"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>

namespace eelgrassledge {

namespace {

constexpr int BUCKETS = 140;
/// Range of the histogram; values outside it are counted in the first or last bucket.
constexpr double SMALLEST_US = 50;
constexpr double LARGEST_US = 60e6;
/// Number of samples after which all counts are halved.
constexpr std::size_t DECAY_INTERVAL_SAMPLES = 2000;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto axis() -> const log_axis& {
    static const log_axis buckets{BUCKETS, SMALLEST_US, LARGEST_US};
    return buckets;
}

auto bucket_of(double us) -> std::size_t {
    return static_cast<std::size_t>(std::clamp(axis().index(us), 0, BUCKETS - 1));
}

}  // namespace

latency_tracker::latency_tracker() : counts_(BUCKETS, 0.0) {}

auto latency_tracker::add(duration latency) -> void {
    auto us = static_cast<double>(std::max<duration::rep>(latency.count(), 1));
    counts_[bucket_of(us)] += 1;
    weight_ += 1;
    sum_us_ += us;
    ++total_samples_;
    if (++samples_since_decay_ >= DECAY_INTERVAL_SAMPLES) {
        decay();
    }
}

auto latency_tracker::decay() -> void {
    samples_since_decay_ = 0;
    for (auto& count : counts_) {
        count /= 2;
    }
    weight_ /= 2;
    sum_us_ /= 2;
}

auto latency_tracker::quantile(double share) const -> duration {
    if (weight_ <= 0) {
        return duration{0};
    }
    auto target_weight = share * weight_;
    double cumulative = 0;
    for (int i = 0; i < BUCKETS; ++i) {
        cumulative += counts_[static_cast<std::size_t>(i)];
        if (cumulative >= target_weight) {
            return duration{static_cast<duration::rep>(axis().value(i + 1))};
        }
    }
    return duration{static_cast<duration::rep>(LARGEST_US)};
}

auto latency_tracker::mean() const -> duration {
    return weight_ > 0 ? duration{static_cast<duration::rep>(sum_us_ / weight_)} : duration{0};
}

}  // namespace eelgrassledge
