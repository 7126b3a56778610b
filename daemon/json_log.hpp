#pragma once

#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Builds a log that writes each event as one line with a JSON object to standard output. Events below the
/// level `lowest` are dropped.
[[nodiscard]] auto make_json_log(const std::string& instance, log_level lowest) -> event_log;

}  // namespace eelgrassledge
