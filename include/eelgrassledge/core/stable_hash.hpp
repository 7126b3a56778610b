#pragma once

#include <cstdint>
#include <string_view>

namespace eelgrassledge {

/// 64-bit FNV-1a hash, for choices on which processes of different builds must agree: unlike `std::hash` it
/// is the same for all compilers and standard libraries.
[[nodiscard]] constexpr auto stable_hash(std::string_view text) -> std::uint64_t {
    std::uint64_t state = 0xcbf29ce484222325U;
    for (auto c : text) {
        state = (state ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
    return state;
}

}  // namespace eelgrassledge
