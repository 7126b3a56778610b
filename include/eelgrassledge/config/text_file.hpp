#pragma once

#include <string>

#include "eelgrassledge/core/result_code.hpp"

namespace eelgrassledge {

/// Reads a whole file. A file that cannot be read gives an error with this code that names the path.
[[nodiscard]] auto read_text_file(const std::string& path, result_code when_unreadable)
    -> result<std::string>;

}  // namespace eelgrassledge
