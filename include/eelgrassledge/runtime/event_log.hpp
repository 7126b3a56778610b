#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/config/settings.hpp"

namespace eelgrassledge {

/// A named value of a log line.
struct log_field {
    std::string name;
    std::string value;
};

/// Function that writes one structured log line. The daemons write JSON lines to standard output; tests
/// collect the lines in a list.
using event_log =
    std::function<void(log_level level, std::string_view event, const std::vector<log_field>& fields)>;

}  // namespace eelgrassledge
