#include "schema_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

#include "ini.capnp.h"

namespace eelgrassledge {

namespace {

/// Constraints of one field, read from the annotations of the schema.
struct field_limits {
    std::optional<std::int64_t> at_least;
    std::optional<std::int64_t> at_most;
    bool required = false;
    std::string expects;  ///< Format of a text, such as `address` or `sha256`; empty for any.
};

auto read_limits(capnp::StructSchema::Field field) -> field_limits {
    field_limits limits;
    for (auto annotation : field.getProto().getAnnotations()) {
        switch (annotation.getId()) {
            case 0x9c41e07ab35d8e12ULL:
                limits.at_least = annotation.getValue().getInt64();
                break;
            case 0xd8f2a6314c907be5ULL:
                limits.at_most = annotation.getValue().getInt64();
                break;
            case 0xe35b19c2f7a84d60ULL:
                limits.required = true;
                break;
            case 0x8a17f4d92c6e0b53ULL:
                limits.expects = annotation.getValue().getText().cStr();
                break;
            default:
                break;
        }
    }
    return limits;
}

auto is_name(std::string_view text) -> bool {
    auto is_allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= 128 && std::ranges::all_of(text, is_allowed);
}

auto is_sha256(std::string_view text) -> bool {
    auto is_hex_digit = [](unsigned char c) { return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f'); };
    return text.size() == 64 && std::ranges::all_of(text, is_hex_digit);
}

/// Why the text is not of the expected format; empty if it is.
auto text_fault(std::string_view text, std::string_view expects) -> std::optional<std::string> {
    if (expects == "name" && !is_name(text)) {
        return "expected a name of letters, digits, '-', '_' and '.'";
    }
    if (expects == "address" && !is_address(text)) {
        return "expected IP:PORT";
    }
    if (expects == "address list") {
        auto addresses = split_addresses(text);
        if (!std::ranges::all_of(addresses, [](const auto& a) { return is_address(a); })) {
            return "expected IP:PORT[, IP:PORT...]";
        }
    }
    auto expects_digest = expects == "sha256" || (expects == "sha256 or empty" && !text.empty());
    if (expects_digest && !is_sha256(text)) {
        return "expected a SHA-256 of 64 lower-case hexadecimal digits";
    }
    return std::nullopt;
}

// The set_* functions convert the text and set the field, or return the reason why the text is not valid.

auto set_number(capnp::StructSchema::Field field, const std::string& value, const field_limits& limits,
                capnp::DynamicStruct::Builder target) -> std::optional<std::string> {
    std::int64_t number = 0;
    auto [end, failure] = std::from_chars(value.data(), value.data() + value.size(), number);
    auto low = limits.at_least.value_or(0);
    auto high = limits.at_most.value_or(4294967295);
    if (failure != std::errc{} || end != value.data() + value.size() || number < low || number > high) {
        return fmt::format("'{}' is not a whole number from {} to {}", value, low, high);
    }
    target.set(field, number);
    return std::nullopt;
}

auto set_enumerant(capnp::StructSchema::Field field, const std::string& value,
                   capnp::DynamicStruct::Builder target) -> std::optional<std::string> {
    std::string names;
    for (auto enumerant : field.getType().asEnum().getEnumerants()) {
        auto name = std::string{enumerant.getProto().getName().cStr()};
        if (name == value) {
            target.set(field, capnp::DynamicEnum{enumerant});
            return std::nullopt;
        }
        names += names.empty() ? name : ", " + name;
    }
    return fmt::format("'{}' is not one of: {}", value, names);
}

auto set_bool(capnp::StructSchema::Field field, const std::string& value,
              capnp::DynamicStruct::Builder target) -> std::optional<std::string> {
    if (value != "true" && value != "false") {
        return fmt::format("'{}' is not true or false", value);
    }
    target.set(field, value == "true");
    return std::nullopt;
}

auto set_field(capnp::StructSchema::Field field, const std::string& value,
               capnp::DynamicStruct::Builder target) -> std::optional<std::string> {
    auto limits = read_limits(field);
    switch (field.getType().which()) {
        case capnp::schema::Type::UINT32:
            return set_number(field, value, limits, target);
        case capnp::schema::Type::ENUM:
            return set_enumerant(field, value, target);
        case capnp::schema::Type::BOOL:
            return set_bool(field, value, target);
        default:
            break;
    }
    if (auto fault = text_fault(value, limits.expects)) {
        return fault;
    }
    target.set(field, value.c_str());
    return std::nullopt;
}

auto header_of(const ini_section& section) -> std::string {
    return section.name.empty() ? section.kind : section.kind + " " + section.name;
}

}  // namespace

auto ini_key(std::string_view field_name) -> std::string {
    std::string key;
    for (unsigned char c : field_name) {
        if (std::isupper(c) != 0) {
            key += '_';
        }
        key += static_cast<char>(std::tolower(c));
    }
    return key;
}

auto read_section(const ini_section& section, capnp::DynamicStruct::Builder target,
                  std::vector<ini_fault>& faults) -> void {
    auto header = header_of(section);
    auto fields = target.getSchema().getFields();
    auto entries = section.entries;
    auto has_name_field = false;
    for (auto field : fields) {
        auto key = ini_key(field.getProto().getName().cStr());
        if (key == "name") {
            has_name_field = true;
            if (auto fault = set_field(field, section.name, target)) {
                faults.push_back({header, "", *fault});
            }
            continue;
        }
        auto entry = std::ranges::find_if(entries, [&](const auto& e) { return e.key == key; });
        if (entry == entries.end()) {
            if (read_limits(field).required) {
                faults.push_back({header, key, "is required"});
            }
            continue;
        }
        if (auto fault = set_field(field, entry->value, target)) {
            faults.push_back({header, key, *fault});
        }
        entries.erase(entry);
    }
    for (const auto& entry : entries) {
        faults.push_back({header, entry.key, "is not a known key of this section"});
    }
    if (!has_name_field && !section.name.empty()) {
        faults.push_back({header, "", "takes no name"});
    }
}

}  // namespace eelgrassledge
