#pragma once

#include <string>
#include <vector>

#include "eelgrassledge/core/time.hpp"
#include "eelgrassledge/proxy/watched_store.hpp"
#include "eelgrassledge/routing/crash_suspects.hpp"

namespace eelgrassledge {

/// Changes of the store that one instance passes on to another, with how recent and complete they are.
struct feed_answer {
    store_events changes;
    /// Time since the sender was last known to have received every change.
    duration age{};
    /// Whether the sender had a store outage recently, so that entries may have lapsed because of it.
    bool recent_outage = false;
    /// Strikes known to the sender that may not be present in the store.
    std::vector<strike> strikes;
};

/// Encodes an answer as a packed Cap'n Proto message. Ages are limited to 1,000,000 ms.
[[nodiscard]] auto encode_feed_answer(const feed_answer& answer) -> std::string;
/// Decodes an answer; `bad_answer` when the bytes are not such a message.
[[nodiscard]] auto decode_feed_answer(const std::string& bytes) -> result<feed_answer>;

/// Encodes strikes as a packed Cap'n Proto message.
[[nodiscard]] auto encode_strikes(const std::vector<strike>& strikes) -> std::string;
/// Decodes strikes; `bad_answer` when the bytes are not such a message.
[[nodiscard]] auto decode_strikes(const std::string& bytes) -> result<std::vector<strike>>;

}  // namespace eelgrassledge
