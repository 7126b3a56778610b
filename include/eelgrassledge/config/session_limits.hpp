#pragma once

#include <cstddef>
#include <cstdint>

namespace eelgrassledge {

/// Limits on the sessions of one listening address.
struct session_limits {
    std::size_t bytes = 0;        ///< What all sessions of the address may hold together.
    std::size_t connections = 0;  ///< Sessions that may be open at the same time.
};

/// Memory that is left for the process itself: 16 MiB after the start, and as much for running queries and
/// for buffers that the allocator keeps.
constexpr std::uint32_t PROCESS_MEMORY_MB = 32;
/// Descriptors that are left for files, wake-ups, the store and the listeners.
constexpr std::uint32_t KEPT_DESCRIPTORS = 200;

/// Limits of the address for callers: two thirds of the memory, half of the descriptors.
[[nodiscard]] constexpr auto caller_limits(std::uint32_t memory_mb, std::uint32_t max_fds) -> session_limits {
    return {(std::size_t{memory_mb - PROCESS_MEMORY_MB} << 20U) / 3 * 2, (max_fds - KEPT_DESCRIPTORS) / 2};
}

/// Limits of the address for other daemons: one third of the memory, a quarter of the descriptors. The
/// other quarter remains for connections to upstreams and other daemons.
[[nodiscard]] constexpr auto peer_limits(std::uint32_t memory_mb, std::uint32_t max_fds) -> session_limits {
    return {(std::size_t{memory_mb - PROCESS_MEMORY_MB} << 20U) / 3, (max_fds - KEPT_DESCRIPTORS) / 4};
}

}  // namespace eelgrassledge
