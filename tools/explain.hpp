#pragma once

#include <string>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"

namespace eelgrassledge::tools {

/// Collects the events of one request from the log files of several processes. The text has one line for each
/// log line whose `request_id` is that of the request, sorted by time, with the fields in the order in which
/// they were logged. Times are in milliseconds since the first of these events.
///
/// Lines without a JSON object are skipped. Errors: `not_found` if no log line has this request id,
/// `bad_option` if a file cannot be read. Complexity: linear in the size of the files.
[[nodiscard]] auto explain_request(const std::string& request, const std::vector<std::string>& files)
    -> result<std::string>;

}  // namespace eelgrassledge::tools
