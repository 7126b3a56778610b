#pragma once

#include <algorithm>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Rate limiter: tokens are refilled at a constant rate up to `burst` and taken one at a time. All operations
/// take constant time.
class token_bucket {
  public:
    token_bucket(double rate_per_s, double burst) : rate_per_s_(rate_per_s), burst_(burst), tokens_(burst) {}

    /// Takes one token. Returns false if none is available.
    auto take(time_point now) -> bool {
        auto elapsed = std::chrono::duration<double>(now - last_refill_).count();
        tokens_ = std::min(burst_, tokens_ + std::max(0.0, elapsed) * rate_per_s_);
        last_refill_ = now;
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
    time_point last_refill_{};
};

/// Limits extra sub-requests (hedges and retries) to a share of the regular ones. All operations take
/// constant time.
class extra_load_budget {
  public:
    explicit extra_load_budget(double share) : share_(share) {}

    auto configure(double share) -> void { share_ = share; }

    /// Records a regular sub-request, which adds `share` tokens.
    auto record_sub_request() -> void { tokens_ = std::min(MAX_TOKENS, tokens_ + share_); }

    /// Takes the token for one extra sub-request. Returns false if none is available.
    auto take() -> bool {
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

  private:
    /// Largest number of extra sub-requests that may be sent in one burst after a period without any.
    static constexpr double MAX_TOKENS = 20;

    double share_;
    double tokens_ = 1;
};

}  // namespace eelgrassledge
