#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>

#include "eelgrassledge/core/ids.hpp"

namespace eelgrassledge {

/// How many upstreams vanished while they ran each fingerprint, as far as this daemon knows. Safe to use from
/// several threads. Constant time.
class suspect_table {
  public:
    /// Sets the strikes of a fingerprint; zero forgets it.
    auto set(fingerprint print, std::uint32_t strikes) -> void {
        std::scoped_lock guard{lock_};
        if (strikes == 0) {
            strikes_.erase(print);
        } else {
            strikes_[print] = strikes;
        }
    }

    [[nodiscard]] auto strikes(fingerprint print) const -> std::uint32_t {
        std::scoped_lock guard{lock_};
        auto found = strikes_.find(print);
        return found == strikes_.end() ? 0 : found->second;
    }

  private:
    mutable std::mutex lock_;
    std::unordered_map<fingerprint, std::uint32_t> strikes_;
};

}  // namespace eelgrassledge
