#pragma once

#include <cstddef>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Number of instances that share a limit. A rise takes effect at once and a fall only after a delay, so that
/// instances whose entries are missing for a short time keep their share.
class instance_population {
  public:
    /// Records the present number of instances; zero counts as one.
    auto observe(std::size_t count, time_point now) -> void;
    [[nodiscard]] auto count() const -> std::size_t { return count_; }

  private:
    std::size_t count_ = 1;
    time_point held_until_{};
};

/// Limits on the requests that all instances together send to a cold upstream.
struct shared_warm_up_limits {
    /// Share of the declared rate that all instances together use; the rest is a reserve for an instance that
    /// just started.
    double used_share = 0.8;
};

/// Token bucket with this instance's share of the rate that one cold upstream can run. Constant time.
class warm_up_share {
  public:
    /// `phase`, from zero to one, is the initial number of tokens; different phases spread the first requests
    /// of the instances over time.
    explicit warm_up_share(double phase) : tokens_(phase) {}

    /// Takes one token if there is one; tokens are refilled at `rate_per_s`, this instance's share.
    auto take(double rate_per_s, time_point now) -> bool;

  private:
    double tokens_;
    time_point refilled_{};
    bool started_ = false;
};

}  // namespace eelgrassledge
