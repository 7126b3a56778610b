#pragma once

#include <string>
#include <vector>

#include "eelgrassledge/core/time.hpp"
#include "eelgrassledge/proxy/watched_store.hpp"
#include "eelgrassledge/routing/crash_suspects.hpp"

namespace eelgrassledge {

/// Changes that one instance passes on to another, with what they are worth.
struct feed_answer {
    store_events changes;
    /// Time since the sender last knew that it had heard of every change.
    duration age{};
    /// Whether the sender had trouble with the store lately, so that entries may have lapsed with it.
    bool recent_outage = false;
    /// Strikes that the sender knows and that may not stand in the store.
    std::vector<strike> strikes;
};

/// Bytes of an answer, and back; `bad_answer` for bytes of another form.
[[nodiscard]] auto encode_feed_answer(const feed_answer& answer) -> std::string;
[[nodiscard]] auto decode_feed_answer(const std::string& bytes) -> result<feed_answer>;

/// Bytes of strikes, and back; `bad_answer` for bytes of another form.
[[nodiscard]] auto encode_strikes(const std::vector<strike>& strikes) -> std::string;
[[nodiscard]] auto decode_strikes(const std::string& bytes) -> result<std::vector<strike>>;

}  // namespace eelgrassledge
