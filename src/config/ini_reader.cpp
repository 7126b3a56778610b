#include "eelgrassledge/config/ini_reader.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <mutex>
#include <sstream>
#include <unordered_map>
#include <unordered_set>

namespace eelgrassledge {

namespace {

constexpr int MAX_LINE_BYTES = 4096;

/// The sections and faults found so far, with the index of each section by its key.
struct parse_state {
    ini_text text;
    std::unordered_map<std::string, std::size_t> index_by_key;
};

auto key_of(const ini_section& section) -> std::string {
    return section.kind + " " + section.name;
}

/// Returns the section with the same kind and name, which is added if there is none.
auto find_or_add_section(parse_state& state, ini_section section) -> ini_section& {
    auto [entry, inserted] = state.index_by_key.emplace(key_of(section), state.text.sections.size());
    if (inserted) {
        state.text.sections.push_back(std::move(section));
    }
    return state.text.sections[entry->second];
}

auto split_header(const std::string& header) -> ini_section {
    auto blank = header.find(' ');
    if (blank == std::string::npos) {
        return {header, "", {}};
    }
    auto name_begin = header.find_first_not_of(' ', blank);
    return {header.substr(0, blank), name_begin == std::string::npos ? "" : header.substr(name_begin), {}};
}

auto on_ini_entry(void* user, const char* header, const char* key, const char* value) -> int {
    auto& state = *static_cast<parse_state*>(user);
    if (*header == '\0') {
        state.text.faults.push_back({"", key, "stands before the first section"});
        return 1;
    }
    auto& target = find_or_add_section(state, split_header(header));
    auto same_key = [key](const ini_entry& e) { return e.key == key; };
    if (std::ranges::any_of(target.entries, same_key)) {
        state.text.faults.push_back({header, key, "stands twice in this section"});
        return 1;
    }
    target.entries.push_back({key, value});
    return 1;
}

auto trimmed(std::string_view line) -> std::string_view {
    auto begin = line.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) {
        return {};
    }
    return line.substr(begin, line.find_last_not_of(" \t\r") - begin + 1);
}

// Adds sections without keys, which the parser does not report, and reports repeated headers as faults.
auto add_empty_sections(std::string_view source, parse_state& state) -> void {
    std::istringstream lines{std::string{source}};
    std::unordered_set<std::string> seen;
    for (std::string line; std::getline(lines, line);) {
        auto body = trimmed(line);
        auto end = body.find(']');
        if (body.empty() || body.front() != '[' || end == std::string_view::npos) {
            continue;
        }
        auto header = std::string{body.substr(1, end - 1)};
        if (!seen.insert(header).second) {
            state.text.faults.push_back({header, "", "this section stands twice"});
            continue;
        }
        find_or_add_section(state, split_header(header));
    }
}

}  // namespace

auto split_ini(std::string_view source) -> ini_text {
    parse_state state;
    auto& text = state.text;
    if (source.find('\0') != std::string_view::npos) {
        text.faults.push_back({"", "", "contains a zero byte"});
        return text;
    }
    static std::once_flag parser_configured;
    std::call_once(parser_configured, [] {
        ini_use_stack = false;
        ini_max_line = MAX_LINE_BYTES;
        ini_allow_multiline = false;
    });
    auto bad_line = ini_parse_string(std::string{source}.c_str(), on_ini_entry, &state);
    if (bad_line != 0) {
        auto reason = bad_line > 0 ? fmt::format("line {}: expected [kind name] or key = value", bad_line)
                                   : std::string{"out of memory"};
        text.faults.push_back({"", "", reason});
    }
    add_empty_sections(source, state);
    return text;
}

auto to_string(const std::vector<ini_fault>& faults) -> std::string {
    std::string lines;
    for (const auto& fault : faults) {
        lines += fmt::format("[{}] {}{}{}\n", fault.section, fault.key, fault.key.empty() ? "" : ": ",
                             fault.reason);
    }
    return lines;
}

auto is_address(std::string_view text) -> bool {
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    in_addr address{};
    if (inet_pton(AF_INET, std::string{text.substr(0, colon)}.c_str(), &address) != 1) {
        return false;
    }
    auto port_text = text.substr(colon + 1);
    unsigned port = 0;
    auto [end, failure] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    return failure == std::errc{} && end == port_text.data() + port_text.size() && port > 0 && port <= 65535;
}

auto split_addresses(std::string_view text) -> std::vector<std::string> {
    std::vector<std::string> addresses;
    while (!text.empty()) {
        auto comma = text.find(',');
        auto item = trimmed(text.substr(0, comma));
        if (!item.empty()) {
            addresses.emplace_back(item);
        }
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return addresses;
}

}  // namespace eelgrassledge
