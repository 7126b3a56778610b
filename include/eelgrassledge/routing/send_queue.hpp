#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// What decides the order of the requests that wait for a connection to an upstream.
struct queued_send {
    /// Priority of the route; zero is the most urgent.
    std::uint32_t rank = 0;
    /// Last moment at which it can be sent to be answered within the latency objective; a later answer is
    /// worth little to the caller.
    time_point useful_until = time_point::max();
};

/// Index of the request to send next; `queue` is in order of arrival and not empty.
///
/// Load pattern: more requests than an upstream can run, for longer than the latency objective. Served in
/// order of arrival, the queue would consist of requests that are late already, and each new one would become
/// late behind them. Requests that can still be in time therefore go first, by rank and then by arrival; the
/// late ones are sent when no other waits.
[[nodiscard]] auto next_to_send(const std::vector<queued_send>& queue, time_point now) -> std::size_t;

}  // namespace eelgrassledge
