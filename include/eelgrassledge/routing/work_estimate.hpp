#pragma once

#include <string>
#include <unordered_map>

namespace eelgrassledge {

/// Cost of a sub-request of which nothing is known, in milliseconds: that of a short query.
inline constexpr double UNKNOWN_COST_MS = 10;

/// Learns what one sub-request of each route costs an upstream of ordinary speed, in milliseconds of work.
///
/// Load: routes over the same upstreams whose sub-requests cost very different amounts of work. An average
/// over all of them makes an upstream with two long sub-requests look like one with two short ones, and an
/// upstream that ran long ones look slow for short ones.
///
/// The latency of an answer is divided by the slowness of its upstream, so that slow and busy upstreams do
/// not make a route look expensive. A wrong cost changes only the order in which upstreams are preferred, and
/// a moving average corrects it.
///
/// Not synchronized. Constant time; bounded in the number of routes.
class work_estimate {
  public:
    /// Records an answer after `latency_ms` from an upstream that takes `slowness` times the usual time.
    auto learn(const std::string& route_name, double latency_ms, double slowness) -> void;

    /// Cost of one sub-request of a route.
    [[nodiscard]] auto cost_ms(const std::string& route_name) const -> double;

  private:
    struct estimate {
        double cost_ms = UNKNOWN_COST_MS;
        double samples = 0;
    };
    std::unordered_map<std::string, estimate> routes_;
};

}  // namespace eelgrassledge
