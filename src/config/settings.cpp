#include "eelgrassledge/config/settings.hpp"

#include <capnp/message.h>

#include <algorithm>

#include "schema_reader.hpp"
#include "settings.capnp.h"

namespace eelgrassledge {

namespace {

auto apply_overrides(ini_section& section, const std::vector<ini_entry>& overrides) -> void {
    for (const auto& override_entry : overrides) {
        auto found =
            std::ranges::find_if(section.entries, [&](const auto& e) { return e.key == override_entry.key; });
        if (found == section.entries.end()) {
            section.entries.push_back(override_entry);
        } else {
            found->value = override_entry.value;
        }
    }
}

auto convert(wire::DaemonSettings::Reader from) -> daemon_settings {
    daemon_settings to;
    to.instance = instance_id{from.getInstance().cStr()};
    to.zone = zone_id{from.getZone().cStr()};
    to.http_address = from.getHttpAddress().cStr();
    to.peer_address = from.getPeerAddress().cStr();
    to.platform_addresses = split_addresses(from.getPlatformAddress().cStr());
    to.seed_peers = split_addresses(from.getSeedPeers().cStr());
    to.level = static_cast<log_level>(from.getLogLevel());
    to.entry = from.getEntry();
    to.broker = from.getBroker();
    to.max_body_bytes = from.getMaxBodyBytes();
    to.stop_grace = milliseconds{from.getStopGraceMs()};
    to.lease_ttl = seconds{from.getLeaseTtlS()};
    to.admin_token_sha256 = from.getAdminTokenSha256().cStr();
    to.memory_mb = from.getMemoryMb();
    to.max_fds = from.getMaxFds();
    return to;
}

}  // namespace

auto to_string(log_level level) -> std::string_view {
    switch (level) {
        case log_level::debug:
            return "debug";
        case log_level::info:
            return "info";
        case log_level::warning:
            return "warning";
        case log_level::error:
            return "error";
    }
    return "error";
}

auto parse_settings(std::string_view text, const std::vector<ini_entry>& overrides)
    -> tl::expected<daemon_settings, std::vector<ini_fault>> {
    auto source = split_ini(text);
    auto faults = source.faults;
    ini_section daemon{"daemon", "", {}};
    for (const auto& section : source.sections) {
        if (section.kind == "daemon" && section.name.empty()) {
            daemon = section;
        } else {
            faults.push_back({section.kind, "", "is not a known section (expected [daemon])"});
        }
    }
    apply_overrides(daemon, overrides);
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::DaemonSettings>();
    read_section(daemon, capnp::toDynamic(root), faults);
    auto settings = convert(root.asReader());
    if (faults.empty() && settings.platform_addresses.empty()) {
        faults.push_back({"daemon", "platform_address", "lists no address"});
    }
    if (!faults.empty()) {
        return tl::unexpected{faults};
    }
    return settings;
}

}  // namespace eelgrassledge
