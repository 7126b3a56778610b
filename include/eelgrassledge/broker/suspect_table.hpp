#pragma once

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <unordered_map>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/suspicion.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// This daemon's record of the suspicion (strikes and withdrawals) of each fingerprint. Safe to use from
/// several threads. All operations take constant time, except `forget_before`, which takes linear time.
class suspect_table {
  public:
    /// Replaces the suspicion of a fingerprint by `change` of the current one and returns the result. A
    /// fingerprint without a record has no strikes. `now` is the time of the change.
    template <class Change>
    auto change(fingerprint print, time_point now, Change change) -> suspicion {
        std::scoped_lock guard{lock_};
        auto& record = entries_[print];
        record.state = change(record.state);
        record.changed = std::max(record.changed, now);
        return record.state;
    }

    /// Removes the records whose last change is before `oldest`.
    auto forget_before(time_point oldest) -> void {
        std::scoped_lock guard{lock_};
        std::erase_if(entries_, [&](const auto& item) { return item.second.changed < oldest; });
    }

    /// Strikes of a fingerprint; 0 if there is no record of it.
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
