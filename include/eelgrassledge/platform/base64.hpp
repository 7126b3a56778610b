#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace eelgrassledge {

/// Encodes as base64 (RFC 4648) with padding.
[[nodiscard]] auto to_base64(std::string_view bytes) -> std::string;

/// Decodes base64; returns nothing if the text contains invalid characters.
[[nodiscard]] auto from_base64(std::string_view text) -> std::optional<std::string>;

}  // namespace eelgrassledge
