#pragma once

#include <capnp/dynamic.h>
#include <capnp/schema.h>

#include <string>
#include <vector>

#include "eelgrassledge/config/ini_reader.hpp"

namespace eelgrassledge {

/// Fills a Cap'n Proto struct from an INI section, driven by the struct's schema and its annotations.
///
/// Every key of the section must be a field of the struct; text is converted to the field's type and
/// checked against its range. Faults are appended to `faults`; fields with a fault keep their default. The
/// field `name`, if the struct has one, is set to the section's name.
auto read_section(const ini_section& section, capnp::DynamicStruct::Builder target,
                  std::vector<ini_fault>& faults) -> void;

/// Key in an INI text for a schema field: `coldRatePerS` becomes `cold_rate_per_s`.
[[nodiscard]] auto ini_key(std::string_view field_name) -> std::string;

}  // namespace eelgrassledge
