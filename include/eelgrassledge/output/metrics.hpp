#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// One label of a metric.
struct metric_label {
    std::string name;
    std::string value;
};

/// Counters, gauges and latency histograms of one process, printed in the Prometheus text format.
///
/// Thread-safe. Series are distributed over stripes by the hash of their name; each stripe has its own lock.
class metrics {
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    auto operator=(const metrics&) -> metrics& = delete;

    /// Adds to a counter. Counters start at zero.
    auto count(const std::string& name, const std::vector<metric_label>& labels, std::uint64_t by = 1)
        -> void;

    /// Sets a gauge.
    auto set(const std::string& name, const std::vector<metric_label>& labels, double value) -> void;

    /// Adds a sample to a latency histogram. It is exported in seconds.
    auto observe(const std::string& name, const std::vector<metric_label>& labels, duration sample) -> void;

    /// Value of a counter; zero if it does not exist.
    [[nodiscard]] auto counter(const std::string& name, const std::vector<metric_label>& labels) const
        -> std::uint64_t;

    /// Returns all series in the Prometheus text format.
    [[nodiscard]] auto text() const -> std::string;

  private:
    struct stripe;
    [[nodiscard]] auto stripe_of(const std::string& name) const -> stripe&;

    std::vector<std::unique_ptr<stripe>> stripes_;
};

}  // namespace eelgrassledge
