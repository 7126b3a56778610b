#pragma once

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <unordered_map>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/suspicion.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// The suspicion of each fingerprint, as far as this daemon knows. Safe to use from several threads. Constant
/// time, except for `forget_before`, which takes linear time.
class suspect_table {
  public:
    /// Changes the suspicion of a fingerprint by a function of what is known, and gives the result. `now` is
    /// when the change came about.
    template <class Change>
    auto change(fingerprint print, time_point now, Change change) -> suspicion {
        std::scoped_lock guard{lock_};
        auto& known = entries_[print];
        known.state = change(known.state);
        known.changed = std::max(known.changed, now);
        return known.state;
    }

    /// Drops what has not changed since a time.
    auto forget_before(time_point oldest) -> void {
        std::scoped_lock guard{lock_};
        std::erase_if(entries_, [&](const auto& item) { return item.second.changed < oldest; });
    }

    [[nodiscard]] auto strikes(fingerprint print) const -> std::uint32_t {
        std::scoped_lock guard{lock_};
        auto found = entries_.find(print);
        return found == entries_.end() ? 0 : found->second.state.strikes;
    }

  private:
    struct entry {
        suspicion state;
        time_point changed{};
    };
    mutable std::mutex lock_;
    std::unordered_map<fingerprint, entry> entries_;
};

}  // namespace eelgrassledge
