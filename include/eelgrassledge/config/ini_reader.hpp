#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace eelgrassledge {

/// One `key = value` line of an INI text.
struct ini_entry {
    std::string key;
    std::string value;
};

/// One section of an INI text, such as `[zone sofia-1]`. The kind is the first word of the header, the name
/// is the rest.
struct ini_section {
    std::string kind;
    std::string name;
    std::vector<ini_entry> entries;
};

/// One error in an INI text or in the settings or document that it contains.
struct ini_fault {
    std::string section;
    std::string key;
    std::string reason;

    friend auto operator==(const ini_fault&, const ini_fault&) -> bool = default;
};

/// Sections of an INI text in their order, with all syntax errors.
struct ini_text {
    std::vector<ini_section> sections;
    std::vector<ini_fault> faults;
};

/// Splits an INI text into sections. Never throws; text that is not INI is reported as faults. So are a
/// repeated section, a key repeated within its section and a key before the first section. Complexity: length
/// of the text times the number of keys in one section.
///
/// Example: `split_ini("[zone a]\nstate = in\n").sections[0].name == "a"`.
[[nodiscard]] auto split_ini(std::string_view text) -> ini_text;

/// Formats faults as lines `[section] key: reason`.
[[nodiscard]] auto to_string(const std::vector<ini_fault>& faults) -> std::string;

/// Whether the text is an IPv4 address and a port, such as `127.0.0.1:8080`.
[[nodiscard]] auto is_address(std::string_view text) -> bool;

/// Splits a comma-separated list of addresses and trims blanks. Returns an empty list for an empty text.
[[nodiscard]] auto split_addresses(std::string_view text) -> std::vector<std::string>;

}  // namespace eelgrassledge
