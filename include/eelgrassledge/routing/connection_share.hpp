#pragma once

#include <cstddef>
#include <cstdint>

#include "eelgrassledge/routing/instance_directory.hpp"

namespace eelgrassledge {

/// Connections that this instance may have to one upstream, at least one.
///
/// Load pattern: hundreds of small instances and a few larger ones share the connections that an upstream
/// accepts. The larger ones send nearly all sub-requests, on behalf of the others; with equal shares each of
/// them would have a single connection, and its sub-requests would queue while the upstream has free slots.
/// The larger ones therefore share most of the connections, the others share the rest.
///
/// With `is_overloaded`, one connection is left, so that requests wait here, where they can still be moved or
/// given up, and not in the queue of the upstream.
///
/// `max_connections` is what the upstream accepts from all instances together, zero if unknown; `slots` is
/// how many requests it runs at once.
[[nodiscard]] auto connection_limit(std::uint32_t max_connections, std::uint32_t slots,
                                    const sender_counts& population, bool is_overloaded) -> std::size_t;

}  // namespace eelgrassledge
