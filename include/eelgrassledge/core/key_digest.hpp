#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "eelgrassledge/core/strong_type.hpp"

namespace eelgrassledge {

/// SHA-256 digest of an API key. Keys themselves are not kept.
using key_digest = strong_type<struct key_digest_tag, std::array<std::uint8_t, 32>>;

/// Digest of an API key.
[[nodiscard]] auto digest_of(std::string_view key) -> key_digest;

}  // namespace eelgrassledge
