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

auto member_of(const json& from) -> member_info {
    member_info member;
    member.instance = instance_id{from.at("instance").get<std::string>()};
    member.zone = zone_id{from.at("zone").get<std::string>()};
    member.http_address = from.at("http_address").get<std::string>();
    member.peer_address = from.at("peer_address").get<std::string>();
    member.broker = from.at("broker").get<bool>();
    member.leaving = from.at("leaving").get<bool>();
    return member;
}

/// Runs a conversion that throws on unexpected input and turns the failure into an empty result.
template <class Convert>
auto convert(std::string_view text, Convert conversion)
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
    return convert(text, member_of);
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
    return convert(text, [](const json& from) {
        assignment value;
        value.zone = zone_id{from.at("zone").get<std::string>()};
        value.number = epoch{from.at("epoch").get<std::uint64_t>()};
        value.reporter = instance_id{from.at("reporter").get<std::string>()};
        value.change_id = from.at("change_id").get<std::string>();
        for (const auto& member : from.at("members")) {
            value.members.push_back(member_of(member));
        }
        for (const auto& [upstream, owner] : from.at("owners").items()) {
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
    auto value = convert(text, [](const json& from) {
        document_version version;
        version.number = revision{from.at("revision").get<std::uint64_t>()};
        version.change_id = from.at("change_id").get<std::string>();
        version.author = from.at("author").get<std::string>();
        version.text = from.at("text").get<std::string>();
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
