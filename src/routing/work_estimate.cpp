#include "eelgrassledge/routing/work_estimate.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Weight of a sample once many are known. Small, since a cost changes slowly and single sub-requests vary.
constexpr double SAMPLE_WEIGHT = 0.01;

/// A sample counts as at most this multiple of the cost so far: a pause of an upstream says nothing about the
/// route.
constexpr double LARGEST_FACTOR = 3;

constexpr double SMALLEST_COST_MS = 0.1;

/// Most routes with a cost of their own. Routes that were removed from the configuration stay until then.
constexpr std::size_t MAX_ROUTES = 1024;

}  // namespace

auto work_estimate::learn(const std::string& route_name, double latency_ms, double slowness) -> void {
    if (routes_.size() >= MAX_ROUTES && !routes_.contains(route_name)) {
        routes_.clear();
    }
    auto& of = routes_[route_name];
    of.samples += 1;
    auto weight = std::max(SAMPLE_WEIGHT, 1 / of.samples);
    auto sample = latency_ms / std::max(slowness, SMALLEST_COST_MS);
    if (of.samples > 1) {
        sample = std::min(sample, LARGEST_FACTOR * of.cost_ms);
    }
    of.cost_ms = std::max(SMALLEST_COST_MS, of.cost_ms + weight * (sample - of.cost_ms));
}

auto work_estimate::cost_ms(const std::string& route_name) const -> double {
    auto found = routes_.find(route_name);
    return found == routes_.end() ? UNKNOWN_COST_MS : found->second.cost_ms;
}

}  // namespace eelgrassledge
