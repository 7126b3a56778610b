#include <nlohmann/json.hpp>

#include "eelgrassledge/membership/assignment.hpp"

namespace eelgrassledge {

namespace {

using nlohmann::json;

auto member_to_json(const member_info& member) -> json {
    return {{"instance", member.instance.value()},
            {"zone", member.zone.value()},
            {"http_address", member.http_address},
            {"peer_address", member.peer_address},
            {"broker", member.broker},
            {"leaving", member.leaving}};
}

auto member_from(const json& object) -> member_info {
    member_info member;
    member.instance = instance_id{object.at("instance").get<std::string>()};
    member.zone = zone_id{object.at("zone").get<std::string>()};
    member.http_address = object.at("http_address").get<std::string>();
    member.peer_address = object.at("peer_address").get<std::string>();
    member.broker = object.at("broker").get<bool>();
    member.leaving = object.at("leaving").get<bool>();
    return member;
}

/// Parses `text` as JSON and converts it; returns `nullopt` if either step throws `json::exception`.
template <class Convert>
auto parse_and_convert(std::string_view text, Convert conversion)
    -> std::optional<decltype(conversion(std::declval<const json&>()))> {
    try {
        return conversion(json::parse(text));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}  // namespace

auto to_json(const member_info& value) -> std::string {
    return member_to_json(value).dump();
}

auto member_from_json(std::string_view text) -> std::optional<member_info> {
    return parse_and_convert(text, member_from);
}

auto to_json(const assignment& value) -> std::string {
    json members = json::array();
    for (const auto& member : value.members) {
        members.push_back(member_to_json(member));
    }
    json owners = json::object();
    for (const auto& [upstream, owner] : value.owners) {
        owners[upstream.value()] = owner.value();
    }
    json out{{"zone", value.zone.value()},
             {"epoch", value.number.value()},
             {"reporter", value.reporter.value()},
             {"change_id", value.change_id},
             {"members", members},
             {"owners", owners}};
    return out.dump();
}

auto assignment_from_json(std::string_view text) -> std::optional<assignment> {
    return parse_and_convert(text, [](const json& object) {
        assignment value;
        value.zone = zone_id{object.at("zone").get<std::string>()};
        value.number = epoch{object.at("epoch").get<std::uint64_t>()};
        value.reporter = instance_id{object.at("reporter").get<std::string>()};
        value.change_id = object.at("change_id").get<std::string>();
        for (const auto& member : object.at("members")) {
            value.members.push_back(member_from(member));
        }
        for (const auto& [upstream, owner] : object.at("owners").items()) {
            value.owners[upstream_id{upstream}] = instance_id{owner.get<std::string>()};
        }
        return value;
    });
}

auto to_json(const document_version& value) -> std::string {
    json out{{"revision", value.number.value()},
             {"change_id", value.change_id},
             {"author", value.author},
             {"text", value.text}};
    return out.dump();
}

auto document_version_from_json(std::string_view text) -> std::optional<document_version> {
    auto value = parse_and_convert(text, [](const json& object) {
        document_version version;
        version.number = revision{object.at("revision").get<std::uint64_t>()};
        version.change_id = object.at("change_id").get<std::string>();
        version.author = object.at("author").get<std::string>();
        version.text = object.at("text").get<std::string>();
        return version;
    });
    if (!value) {
        return std::nullopt;
    }
    auto parsed = parse_document(value->text);
    if (!parsed) {
        return std::nullopt;
    }
    value->parsed = std::make_shared<const document>(std::move(*parsed));
    return value;
}

}  // namespace eelgrassledge
