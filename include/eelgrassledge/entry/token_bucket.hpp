#pragma once

#include <algorithm>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Tokens that accrue with time up to a burst and are taken one by one. Constant time.
class token_bucket {
  public:
    token_bucket(double rate_per_s, double burst) : rate_per_s_(rate_per_s), burst_(burst), tokens_(burst) {}

    /// Takes one token if there is one.
    auto take(time_point now) -> bool {
        auto elapsed = std::chrono::duration<double>(now - refilled_).count();
        tokens_ = std::min(burst_, tokens_ + std::max(0.0, elapsed) * rate_per_s_);
        refilled_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

  private:
    double rate_per_s_;
    double burst_;
    double tokens_;
    time_point refilled_{};
};

/// Allowance of extra sub-requests as a share of those sent. Constant time.
class extra_load_budget {
  public:
    explicit extra_load_budget(double share) : share_(share) {}

    auto configure(double share) -> void { share_ = share; }

    /// Records a sub-request that is not extra.
    auto earned() -> void { tokens_ = std::min(CAP, tokens_ + share_); }

    /// Takes the allowance for one extra sub-request if there is one.
    auto take() -> bool {
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

  private:
    /// Largest number of extra sub-requests that may follow a quiet time at once.
    static constexpr double CAP = 20;

    double share_;
    double tokens_ = 1;
};

}  // namespace eelgrassledge
