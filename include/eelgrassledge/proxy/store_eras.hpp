#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "eelgrassledge/proxy/watched_store.hpp"

namespace eelgrassledge {

/// Relation of an answer's era to the newest era known.
enum class era_order : std::uint8_t {
    older,  ///< The answer describes a store that has since been restored from a copy.
    same,
    newer,  ///< The store was restored from a copy since the last answer.
};

/// The newest era of the store known to this process, over all its sources of answers. Decides which answers
/// are outdated, and reports each rise once.
///
/// Addresses answers that overtake each other, on two connections or through other instances, while the store
/// is restored from a copy. Not synchronized.
class store_eras {
  public:
    using observer = std::function<void(store_era from, store_era to)>;

    /// Adds a hook that is called when the era rises, before `seen` returns. Not called for the first era:
    /// nothing is known from an earlier one.
    auto on_rise(observer hook) -> void { observers_.push_back(std::move(hook)); }

    /// Records the era of an answer; to be called before the answer is used.
    auto seen(store_era era) -> era_order {
        if (!newest_) {
            newest_ = era;
            return era_order::same;
        }
        if (era <= *newest_) {
            return era < *newest_ ? era_order::older : era_order::same;
        }
        auto previous = std::exchange(*newest_, era);
        for (const auto& hook : observers_) {
            hook(previous, era);
        }
        return era_order::newer;
    }

    /// Zero before the first answer.
    [[nodiscard]] auto newest() const -> store_era { return newest_.value_or(store_era{}); }

  private:
    std::optional<store_era> newest_;
    std::vector<observer> observers_;
};

}  // namespace eelgrassledge
