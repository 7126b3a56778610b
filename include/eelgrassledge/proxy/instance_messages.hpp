#pragma once

#include <string>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/routing/instance_directory.hpp"

namespace eelgrassledge {

/// Serialises a record to the JSON text that instances exchange.
[[nodiscard]] auto encode_instance(const instance_record& record) -> std::string;

/// Parses a record. Returns `bad_answer`, with the cause, if the text is not JSON, or if a field is missing,
/// has the wrong type or is out of range.
[[nodiscard]] auto decode_instance(const instance_id& id, const std::string& text) -> result<instance_record>;

}  // namespace eelgrassledge
