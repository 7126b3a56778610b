#include "eelgrassledge/config/ini_reader.hpp"

#include <ini.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <mutex>
#include <sstream>

namespace eelgrassledge {

namespace {

constexpr int MAX_LINE_BYTES = 4096;

auto find_section(ini_text& text, const std::string& kind, const std::string& name) -> ini_section* {
    auto same = [&](const ini_section& s) { return s.kind == kind && s.name == name; };
    auto found = std::ranges::find_if(text.sections, same);
    return found == text.sections.end() ? nullptr : &*found;
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
    auto& text = *static_cast<ini_text*>(user);
    if (*header == '\0') {
        text.faults.push_back({"", key, "stands before the first section"});
        return 1;
    }
    auto section = split_header(header);
    auto* target = find_section(text, section.kind, section.name);
    if (target == nullptr) {
        text.sections.push_back(std::move(section));
        target = &text.sections.back();
    }
    auto same_key = [key](const ini_entry& e) { return e.key == key; };
    if (std::ranges::any_of(target->entries, same_key)) {
        text.faults.push_back({header, key, "stands twice in this section"});
        return 1;
    }
    target->entries.push_back({key, value});
    return 1;
}

auto trimmed(std::string_view line) -> std::string_view {
    auto begin = line.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) {
        return {};
    }
    return line.substr(begin, line.find_last_not_of(" \t\r") - begin + 1);
}

// Adds the sections that have no key, which the parser does not report, and notes repeated headers.
auto add_empty_sections(std::string_view source, ini_text& text) -> void {
    std::istringstream lines{std::string{source}};
    std::vector<std::string> seen;
    for (std::string line; std::getline(lines, line);) {
        auto body = trimmed(line);
        if (body.empty() || body.front() != '[') {
            continue;
        }
        auto end = body.find(']');
        if (end == std::string_view::npos) {
            continue;
        }
        auto header = std::string{body.substr(1, end - 1)};
        if (std::ranges::find(seen, header) != seen.end()) {
            text.faults.push_back({header, "", "this section stands twice"});
            continue;
        }
        seen.push_back(header);
        auto section = split_header(header);
        if (find_section(text, section.kind, section.name) == nullptr) {
            text.sections.push_back(std::move(section));
        }
    }
}

}  // namespace

auto split_ini(std::string_view source) -> ini_text {
    ini_text text;
    if (source.find('\0') != std::string_view::npos) {
        text.faults.push_back({"", "", "contains a zero byte"});
        return text;
    }
    static std::once_flag parser_limits;
    std::call_once(parser_limits, [] {
        ini_use_stack = false;
        ini_max_line = MAX_LINE_BYTES;
        ini_allow_multiline = false;
    });
    auto bad_line = ini_parse_string(std::string{source}.c_str(), on_ini_entry, &text);
    if (bad_line != 0) {
        auto reason = bad_line > 0 ? fmt::format("line {}: expected [kind name] or key = value", bad_line)
                                   : std::string{"out of memory"};
        text.faults.push_back({"", "", reason});
    }
    add_empty_sections(source, text);
    return text;
}

auto to_string(const std::vector<ini_fault>& faults) -> std::string {
    std::string lines;
    for (const auto& fault : faults) {
        lines += fmt::format("[{}] {}{}{}\n", fault.section, fault.key, fault.key.empty() ? "" : ": ", fault.reason);
    }
    return lines;
}

auto is_address(std::string_view text) -> bool {
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    in_addr number{};
    if (inet_pton(AF_INET, std::string{text.substr(0, colon)}.c_str(), &number) != 1) {
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
