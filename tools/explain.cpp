#include "explain.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace eelgrassledge::tools {

namespace {

using nlohmann::ordered_json;

/// One log line of the request.
struct request_event {
    std::int64_t at_unix_us = 0;
    ordered_json line;
};

auto belongs_to(const ordered_json& line, const std::string& request) -> bool {
    auto id = line.find("request_id");
    return id != line.end() && id->is_string() && id->get_ref<const std::string&>() == request;
}

auto read_events(const std::string& path, const std::string& request, std::vector<request_event>& events)
    -> bool {
    std::ifstream file{path};
    if (!file) {
        return false;
    }
    for (std::string text; std::getline(file, text);) {
        // Skips most lines of other requests without parsing them, because parsing is slow.
        if (text.find(request) == std::string::npos) {
            continue;
        }
        // A platform may prefix a line with its own time and the process name.
        auto begin = text.find('{');
        auto line = ordered_json::parse(begin == std::string::npos ? "" : text.substr(begin), nullptr, false);
        if (line.is_object() && belongs_to(line, request)) {
            events.push_back({line.value("at_unix_us", std::int64_t{0}), std::move(line)});
        }
    }
    return true;
}

auto to_text(const request_event& s, std::int64_t first_us) -> std::string {
    constexpr double US_PER_MS = 1000;
    auto text = fmt::format("{:9.1f} ms  {}  {}", static_cast<double>(s.at_unix_us - first_us) / US_PER_MS,
                            s.line.value("instance", "?"), s.line.value("event", "?"));
    for (const auto& [name, value] : s.line.items()) {
        auto is_heading = name == "at_unix_us" || name == "level" || name == "instance" || name == "event" ||
                          name == "request_id";
        auto shown = value.is_string() ? value.get<std::string>() : value.dump();
        if (!is_heading && !shown.empty()) {
            text += fmt::format("  {}={}", name, shown);
        }
    }
    return text + "\n";
}

}  // namespace

auto explain_request(const std::string& request, const std::vector<std::string>& files)
    -> result<std::string> {
    std::vector<request_event> events;
    for (const auto& path : files) {
        if (!read_events(path, request, events)) {
            return fail(result_code::bad_option, "log file \"" + path + "\" cannot be read");
        }
    }
    if (events.empty()) {
        return fail(result_code::not_found, "no log line has request id \"" + request + "\"");
    }
    std::stable_sort(events.begin(), events.end(), [](const request_event& a, const request_event& b) {
        return a.at_unix_us < b.at_unix_us;
    });
    std::string text;
    for (const auto& s : events) {
        text += to_text(s, events.front().at_unix_us);
    }
    return text;
}

}  // namespace eelgrassledge::tools
