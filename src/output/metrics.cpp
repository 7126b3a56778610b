#include "eelgrassledge/output/metrics.hpp"

#include <fmt/format.h>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <functional>

namespace eelgrassledge {

namespace {

constexpr std::size_t STRIPES = 8;

/// Upper bounds of the latency buckets, in seconds.
const std::vector<double> LATENCY_BOUNDS{0.0,  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02,
                                         0.03, 0.05,   0.075, 0.1,   0.15,  0.2,  0.3,
                                         0.38, 0.5,    0.75,  1.0,   2.0,   5.0,  10.0};

using latency_axis = boost::histogram::axis::variable<double>;
using latency_histogram = decltype(boost::histogram::make_histogram(latency_axis(LATENCY_BOUNDS)));

struct latency_series {
    latency_histogram buckets = boost::histogram::make_histogram(latency_axis(LATENCY_BOUNDS));
    double sum_s = 0;
};

/// Value of a label in the text format, in which quotes and backslashes are escaped.
auto escaped(const std::string& value) -> std::string {
    std::string text;
    for (auto c : value) {
        text += c == '"' || c == '\\' ? std::string{'\\', c} : c == '\n' ? "\\n" : std::string{c};
    }
    return text;
}

auto label_text(const std::vector<metric_label>& labels) -> std::string {
    std::string text;
    for (const auto& label : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.name, escaped(label.value));
    }
    return text;
}

auto in_braces(const std::string& labels) -> std::string {
    return labels.empty() ? labels : "{" + labels + "}";
}

auto histogram_text(const std::string& name, const std::string& labels, const latency_series& series)
    -> std::string {
    std::string text;
    auto separator = labels.empty() ? "" : ",";
    const auto& axis = series.buckets.axis(0);
    double total = 0;
    for (int i = -1; i < axis.size(); ++i) {
        total += series.buckets.at(i);
        if (i >= 0) {
            text += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, separator, axis.value(i + 1),
                                total);
        }
    }
    total += series.buckets.at(axis.size());
    text += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, total);
    text += fmt::format("{}_sum{} {}\n{}_count{} {}\n", name, in_braces(labels), series.sum_s, name,
                        in_braces(labels), total);
    return text;
}

}  // namespace

struct metrics::stripe {
    using key = std::pair<std::string, std::string>;

    mutable std::mutex lock;
    std::map<key, std::uint64_t> counters;
    std::map<key, double> gauges;
    std::map<key, latency_series> latencies;
};

metrics::metrics() {
    for (std::size_t i = 0; i < STRIPES; ++i) {
        stripes_.push_back(std::make_unique<stripe>());
    }
}

metrics::~metrics() = default;

auto metrics::stripe_of(const std::string& name) const -> stripe& {
    return *stripes_[std::hash<std::string>{}(name) % STRIPES];
}

auto metrics::count(const std::string& name, const std::vector<metric_label>& labels, std::uint64_t by)
    -> void {
    auto& target = stripe_of(name);
    std::scoped_lock guard{target.lock};
    target.counters[{name, label_text(labels)}] += by;
}

auto metrics::set(const std::string& name, const std::vector<metric_label>& labels, double value) -> void {
    auto& target = stripe_of(name);
    std::scoped_lock guard{target.lock};
    target.gauges[{name, label_text(labels)}] = value;
}

auto metrics::observe(const std::string& name, const std::vector<metric_label>& labels, duration sample)
    -> void {
    auto& target = stripe_of(name);
    auto sample_s = std::chrono::duration<double>(sample).count();
    std::scoped_lock guard{target.lock};
    auto& series = target.latencies[{name, label_text(labels)}];
    series.buckets(sample_s);
    series.sum_s += sample_s;
}

auto metrics::counter(const std::string& name, const std::vector<metric_label>& labels) const
    -> std::uint64_t {
    auto& target = stripe_of(name);
    std::scoped_lock guard{target.lock};
    auto found = target.counters.find({name, label_text(labels)});
    return found == target.counters.end() ? 0 : found->second;
}

auto metrics::text() const -> std::string {
    std::string text;
    for (const auto& target : stripes_) {
        std::scoped_lock guard{target->lock};
        for (const auto& [series, value] : target->counters) {
            text += fmt::format("{}{} {}\n", series.first, in_braces(series.second), value);
        }
        for (const auto& [series, value] : target->gauges) {
            text += fmt::format("{}{} {}\n", series.first, in_braces(series.second), value);
        }
        for (const auto& [series, value] : target->latencies) {
            text += histogram_text(series.first, series.second, value);
        }
    }
    return text;
}

}  // namespace eelgrassledge
