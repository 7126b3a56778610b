#pragma once

#include <string>

#include "eelgrassledge/core/result_code.hpp"

namespace eelgrassledge {

/// Reads a whole file. Returns an error with `error_code` and a message with the path if the file cannot be
/// opened.
[[nodiscard]] auto read_text_file(const std::string& path, result_code error_code) -> result<std::string>;

}  // namespace eelgrassledge
