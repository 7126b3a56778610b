#include "eelgrassledge/config/document.hpp"

#include <capnp/message.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <sstream>

#include "document.capnp.h"
#include "schema_reader.hpp"

namespace eelgrassledge {

namespace {

using fault_list = std::vector<ini_fault>;

auto to_placement(wire::Placement p) -> placement {
    return p == wire::Placement::OUT ? placement::out : placement::in;
}

auto text_of(capnp::Text::Reader text) -> std::string {
    return {text.cStr(), text.size()};
}

template <class Section>
auto read_message(const ini_section& section, fault_list& faults, capnp::MallocMessageBuilder& message) ->
    typename Section::Reader {
    auto root = message.initRoot<Section>();
    read_section(section, capnp::toDynamic(root), faults);
    return root.asReader();
}

auto add_zone(const ini_section& section, document& doc, fault_list& faults) -> void {
    capnp::MallocMessageBuilder message;
    auto zone = read_message<wire::ZoneSection>(section, faults, message);
    doc.zones[zone_id{section.name}] = to_placement(zone.getState());
}

auto add_instance(const ini_section& section, document& doc, fault_list& faults) -> void {
    capnp::MallocMessageBuilder message;
    auto instance = read_message<wire::InstanceSection>(section, faults, message);
    doc.instances[instance_id{section.name}] = to_placement(instance.getState());
}

auto add_caller(const ini_section& section, document& doc, fault_list& faults) -> void {
    capnp::MallocMessageBuilder message;
    auto caller = read_message<wire::CallerSection>(section, faults, message);
    auto highest = caller.getLane() == wire::Lane::PRIORITY ? lane::priority : lane::ordinary;
    doc.callers.push_back(
        {caller_id{section.name}, text_of(caller.getKeySha256()), highest, caller.getPriorityRatePerS()});
}

auto add_operator(const ini_section& section, document& doc, fault_list& faults) -> void {
    capnp::MallocMessageBuilder message;
    auto from = read_message<wire::OperatorSection>(section, faults, message);
    doc.operators.push_back({section.name, text_of(from.getTokenSha256())});
}

auto add_service(const ini_section& section, document& doc, fault_list& faults) -> void {
    capnp::MallocMessageBuilder message;
    auto from = read_message<wire::ServiceSection>(section, faults, message);
    service_spec service;
    service.name = service_id{section.name};
    service.slots = from.getSlots();
    service.connections = from.getConnections();
    service.deadline = milliseconds{from.getDeadlineMs()};
    service.max_deadline = milliseconds{from.getMaxDeadlineMs()};
    service.prefer = from.getPrefer() == wire::Preference::COVERAGE ? preference::coverage : preference::time;
    service.hedge_percent = from.getHedgePercent();
    service.priority_slots = from.getPrioritySlots();
    service.cold_rate_per_s = from.getColdRatePerS();
    service.warm_rate_per_s = from.getWarmRatePerS();
    service.queue_limit = from.getQueueLimit();
    service.canary = from.getCanary();
    service.warm_up_requests = from.getWarmUpRequests();
    if (service.deadline > service.max_deadline) {
        faults.push_back({"service " + section.name, "deadline_ms", "is greater than max_deadline_ms"});
    }
    if (service.priority_slots > service.slots) {
        faults.push_back({"service " + section.name, "priority_slots", "is greater than slots"});
    }
    if (service.connections < service.slots) {
        faults.push_back({"service " + section.name, "connections", "is less than slots"});
    }
    if (service.cold_rate_per_s > service.warm_rate_per_s) {
        faults.push_back({"service " + section.name, "cold_rate_per_s", "is greater than warm_rate_per_s"});
    }
    doc.services[service.name] = service;
}

auto add_upstream(const ini_section& section, document& doc, fault_list& faults) -> void {
    capnp::MallocMessageBuilder message;
    auto from = read_message<wire::UpstreamSection>(section, faults, message);
    upstream_spec upstream{upstream_id{section.name}, service_id{text_of(from.getService())},
                           zone_id{text_of(from.getZone())}, text_of(from.getAddress())};
    doc.upstreams[upstream.name] = upstream;
}

auto add_section(const ini_section& section, document& doc, fault_list& faults) -> void {
    if (section.kind == "zone") {
        add_zone(section, doc, faults);
    } else if (section.kind == "instance") {
        add_instance(section, doc, faults);
    } else if (section.kind == "caller") {
        add_caller(section, doc, faults);
    } else if (section.kind == "operator") {
        add_operator(section, doc, faults);
    } else if (section.kind == "service") {
        add_service(section, doc, faults);
    } else if (section.kind == "upstream") {
        add_upstream(section, doc, faults);
    } else {
        faults.push_back(
            {section.kind, "",
             "is not a known kind of section (zone, instance, caller, operator, service, upstream)"});
    }
}

auto check_references(const document& doc, fault_list& faults) -> void {
    std::map<std::string, std::string> name_by_address;
    for (const auto& [name, upstream] : doc.upstreams) {
        auto header = "upstream " + name.value();
        if (!upstream.service.value().empty() && !doc.services.contains(upstream.service)) {
            faults.push_back({header, "service", fmt::format("no [service {}]", upstream.service.value())});
        }
        if (!upstream.zone.value().empty() && !doc.zones.contains(upstream.zone)) {
            faults.push_back({header, "zone", fmt::format("no [zone {}]", upstream.zone.value())});
        }
        auto [other, inserted] = name_by_address.emplace(upstream.address, name.value());
        if (!inserted && !upstream.address.empty()) {
            faults.push_back(
                {header, "address", fmt::format("is also the address of upstream {}", other->second)});
        }
    }
}

auto check_unique_keys(const document& doc, fault_list& faults) -> void {
    std::set<std::string> keys;
    for (const auto& caller : doc.callers) {
        if (!caller.key_sha256.empty() && !keys.insert(caller.key_sha256).second) {
            faults.push_back(
                {"caller " + caller.name.value(), "key_sha256", "is also the key of another caller"});
        }
    }
}

/// Values by section header and key. The header with an empty key marks the section itself as present.
auto values_by_key(std::string_view text) -> std::map<std::pair<std::string, std::string>, std::string> {
    std::map<std::pair<std::string, std::string>, std::string> values;
    for (const auto& section : split_ini(text).sections) {
        auto header = section.name.empty() ? section.kind : section.kind + " " + section.name;
        values[{header, ""}] = "present";
        for (const auto& entry : section.entries) {
            values[{header, entry.key}] = entry.value;
        }
    }
    return values;
}

}  // namespace

auto document::zone_is_in(const zone_id& zone) const -> bool {
    auto found = zones.find(zone);
    return found != zones.end() && found->second == placement::in;
}

auto document::instance_is_in(const instance_id& instance) const -> bool {
    auto found = instances.find(instance);
    return found == instances.end() || found->second == placement::in;
}

auto parse_document(std::string_view text) -> tl::expected<document, std::vector<ini_fault>> {
    auto source = split_ini(text);
    auto faults = source.faults;
    document doc;
    for (const auto& section : source.sections) {
        add_section(section, doc, faults);
    }
    check_references(doc, faults);
    check_unique_keys(doc, faults);
    if (doc.zones.empty()) {
        faults.push_back({"", "", "has no [zone NAME]"});
    }
    if (!faults.empty()) {
        return tl::unexpected{faults};
    }
    return doc;
}

auto compare_documents(std::string_view before, std::string_view after) -> std::vector<document_difference> {
    auto old_values = values_by_key(before);
    auto new_values = values_by_key(after);
    std::vector<document_difference> differences;
    for (const auto& [section_and_key, value] : old_values) {
        auto found = new_values.find(section_and_key);
        auto new_value = found == new_values.end() ? std::string{} : found->second;
        if (new_value != value) {
            differences.push_back({section_and_key.first, section_and_key.second, value, new_value});
        }
    }
    for (const auto& [section_and_key, value] : new_values) {
        if (!old_values.contains(section_and_key)) {
            differences.push_back({section_and_key.first, section_and_key.second, "", value});
        }
    }
    return differences;
}

auto to_string(const std::vector<document_difference>& differences) -> std::string {
    std::string lines;
    for (const auto& difference : differences) {
        lines += fmt::format("[{}] {}: {} -> {}\n", difference.section,
                             difference.key.empty() ? "section" : difference.key,
                             difference.before.empty() ? "(absent)" : difference.before,
                             difference.after.empty() ? "(absent)" : difference.after);
    }
    return lines;
}

auto set_document_key(std::string_view text, std::string_view section, std::string_view key,
                      std::string_view value) -> std::string {
    std::istringstream lines{std::string{text}};
    auto header = fmt::format("[{}]", section);
    auto assignment = fmt::format("{} = {}\n", key, value);
    std::string out;
    bool in_section = false;
    bool written = false;
    for (std::string line; std::getline(lines, line);) {
        auto begin = line.find_first_not_of(" \t");
        auto body = begin == std::string::npos ? std::string{} : line.substr(begin);
        if (body.starts_with('[')) {
            in_section = body.starts_with(header);
            out += line + "\n";
            if (in_section && !written) {
                out += assignment;
                written = true;
            }
            continue;
        }
        auto name_end = body.find_first_of(" \t=:");
        if (in_section && name_end != std::string::npos && body.substr(0, name_end) == key) {
            continue;
        }
        out += line + "\n";
    }
    if (!written) {
        out += fmt::format("\n{}\n{}", header, assignment);
    }
    return out;
}

}  // namespace eelgrassledge
