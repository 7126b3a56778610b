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
/// Safe to use from several threads: series are spread over shards by name, each under its own lock.
class metrics {
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    auto operator=(const metrics&) -> metrics& = delete;

    /// Adds to a counter, which begins at zero.
    auto count(const std::string& name, const std::vector<metric_label>& labels, std::uint64_t by = 1)
        -> void;

    /// Sets a gauge.
    auto set(const std::string& name, const std::vector<metric_label>& labels, double value) -> void;

    /// Adds a sample to a histogram of latencies in seconds.
    auto observe(const std::string& name, const std::vector<metric_label>& labels, duration sample) -> void;

    /// Value of a counter; zero when it was never counted.
    [[nodiscard]] auto counter(const std::string& name, const std::vector<metric_label>& labels) const
        -> std::uint64_t;

    /// All series in the Prometheus text format.
    [[nodiscard]] auto text() const -> std::string;

  private:
    struct shard;
    [[nodiscard]] auto shard_of(const std::string& name) const -> shard&;

    std::vector<std::unique_ptr<shard>> shards_;
};

}  // namespace eelgrassledge
