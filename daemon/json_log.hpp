#pragma once

#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Builds a log that writes one JSON object for each line to standard error, from the given level up.
[[nodiscard]] auto make_json_log(const std::string& instance, log_level lowest) -> event_log;

}  // namespace eelgrassledge
