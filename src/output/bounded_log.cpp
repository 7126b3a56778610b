#include "eelgrassledge/output/bounded_log.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace eelgrassledge {

namespace {

/// Maximum number of buffered bytes that are not written yet.
constexpr std::size_t MAX_BUFFER = std::size_t{256} << 10U;

/// Rate limit in lines per second. Warnings and errors have an additional reserve, so that a burst of
/// ordinary lines cannot cause them to be dropped.
constexpr std::uint32_t MAX_LINES_PER_S = 400;
constexpr std::uint32_t RESERVED_LINES_PER_S = 100;

auto append_quoted(std::string& out, std::string_view text) -> void {
    out += '"';
    for (auto c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            out += fmt::format("\\u{:04x}", static_cast<unsigned char>(c));
        } else {
            out += c;
        }
    }
    out += '"';
}

}  // namespace

bounded_log::bounded_log(int descriptor, std::string instance)
    : descriptor_(descriptor), instance_(std::move(instance)) {
    auto flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

auto bounded_log::within_limits(log_level level) -> bool {
    auto second = monotonic_now().time_since_epoch() / seconds{1};
    if (second != rate_second_) {
        rate_second_ = second;
        lines_in_second_ = 0;
    }
    auto is_urgent = level == log_level::warning || level == log_level::error;
    auto limit = is_urgent ? MAX_LINES_PER_S + RESERVED_LINES_PER_S : MAX_LINES_PER_S;
    return lines_in_second_ < limit && buffer_.size() < MAX_BUFFER;
}

auto bounded_log::write(log_level level, std::string_view event, const std::vector<log_field>& fields)
    -> void {
    if (!within_limits(level)) {
        ++unreported_drops_;
        ++dropped_total_;
        return;
    }
    if (unreported_drops_ > 0) {
        auto count = std::exchange(unreported_drops_, 0);
        append(log_level::warning, "log_lines_dropped", {{"count", std::to_string(count)}});
    }
    append(level, event, fields);
}

auto bounded_log::append(log_level level, std::string_view event, const std::vector<log_field>& fields)
    -> void {
    ++lines_in_second_;
    buffer_ +=
        fmt::format(R"({{"at_unix_us":{},"level":"{}","instance":)", wall_clock_now(), to_string(level));
    append_quoted(buffer_, instance_);
    buffer_ += ",\"event\":";
    append_quoted(buffer_, event);
    for (const auto& field : fields) {
        buffer_ += ',';
        append_quoted(buffer_, field.name);
        buffer_ += ':';
        append_quoted(buffer_, field.value);
    }
    buffer_ += "}\n";
}

auto bounded_log::flush() -> void {
    while (!buffer_.empty()) {
        auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

}  // namespace eelgrassledge
