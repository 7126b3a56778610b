#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/config/settings.hpp"

namespace eelgrassledge {

/// One named value of a log line.
struct log_field {
    std::string name;
    std::string value;
};

/// Writes one structured line: level, event and fields. The daemons fill it with JSON lines on standard
/// output; tests fill it with a list.
using event_log =
    std::function<void(log_level level, std::string_view event, const std::vector<log_field>& fields)>;

}  // namespace eelgrassledge
