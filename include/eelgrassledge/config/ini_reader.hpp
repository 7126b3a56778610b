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

/// One section of an INI text, such as `[zone sofia-1]`: its kind is the first word of the header and
/// its name the rest.
struct ini_section {
    std::string kind;
    std::string name;
    std::vector<ini_entry> entries;
};

/// One thing wrong with an INI text.
struct ini_fault {
    std::string section;
    std::string key;
    std::string reason;

    friend auto operator==(const ini_fault&, const ini_fault&) -> bool = default;
};

/// Sections of an INI text in their order, with every fault of form found on the way.
struct ini_text {
    std::vector<ini_section> sections;
    std::vector<ini_fault> faults;
};

/// Splits an INI text into sections. Never throws; text that is not INI gives faults. A section that
/// stands twice, a key that stands twice in its section and a key before the first section are faults.
/// Complexity: linear in the text, times the keys of one section.
///
/// Example: `split_ini("[zone a]\nstate = in\n").sections[0].name == "a"`.
[[nodiscard]] auto split_ini(std::string_view text) -> ini_text;

/// Joins the faults into lines `[section] key: reason`.
[[nodiscard]] auto to_string(const std::vector<ini_fault>& faults) -> std::string;

/// Whether the text is an IPv4 number and a port, such as `127.0.0.1:8080`.
[[nodiscard]] auto is_address(std::string_view text) -> bool;

/// Splits a comma-separated list of addresses, without blanks. An empty text gives an empty list.
[[nodiscard]] auto split_addresses(std::string_view text) -> std::vector<std::string>;

}  // namespace eelgrassledge
