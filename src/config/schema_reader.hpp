#pragma once

#include <capnp/dynamic.h>
#include <capnp/schema.h>

#include <string>
#include <vector>

#include "eelgrassledge/config/ini_reader.hpp"

namespace eelgrassledge {

/// Fills one message from one INI section by the struct's schema and its annotations.
///
/// Every key of the section must be a field of the struct; text is converted to the field's type and
/// checked against its range. The faults found are appended to `faults`; fields with a fault keep their
/// default. The field `name`, where there is one, takes the section's name.
auto read_section(const ini_section& section, capnp::DynamicStruct::Builder target,
                  std::vector<ini_fault>& faults) -> void;

/// Name of a schema field as it stands in an INI text: `coldRatePerS` becomes `cold_rate_per_s`.
[[nodiscard]] auto ini_key(std::string_view field_name) -> std::string;

}  // namespace eelgrassledge
