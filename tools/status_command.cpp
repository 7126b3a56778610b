// The `status` command: the revision in force at each instance.

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

#include "command.hpp"

namespace eelgrassledge::tools {

namespace {

using nlohmann::json;

/// Reads the status pages of the zones' reporters. A reporter that returns no page within 2 s is left out.
auto reporter_pages(const command& c, const json& page) -> std::vector<json> {
    std::vector<json> pages;
    for (const auto& zone : page["zones"]) {
        for (const auto& member : zone["members"]) {
            if (member["instance"] != zone["reporter"]) {
                continue;
            }
            daemon_client reporter{
                {member.value("http_address", "")}, c.options["token"].as<std::string>(), ""};
            auto reply = reporter.call("GET", "/admin/status", {}, seconds{2});
            if (reply && reply->status == 200 && reply->body.is_object()) {
                pages.push_back(reply->body);
            }
        }
    }
    return pages;
}

auto print_status(const json& page, const std::vector<json>& reporters) -> void {
    auto newest = page.value("revision", std::uint64_t{0});
    std::size_t behind = 0;
    std::string lines;
    for (const auto& zone : page["zones"]) {
        lines += fmt::format("zone {}: {}, epoch {}, reporter {}, {} upstreams\n", zone.value("zone", ""),
                             zone.value("state", ""), zone.value("epoch", 0), zone.value("reporter", ""),
                             zone.value("upstreams", 0));
        auto source =
            std::ranges::find_if(reporters, [&](const json& r) { return r["zone"] == zone["zone"]; });
        if (source == reporters.end()) {
            lines += "  its reporter does not answer\n";
            ++behind;
            continue;
        }
        for (const auto& member : (*source)["members"]) {
            auto revision = member.value("revision", std::uint64_t{0});
            behind += revision < newest ? 1 : 0;
            lines += fmt::format("  instance {} {} revision {}{}\n", member.value("instance", ""),
                                 member.value("http_address", ""), revision,
                                 member.value("leaving", false) ? " leaving" : "");
        }
    }
    std::cout << fmt::format("revision {} in force {}\n{}", newest,
                             behind == 0 ? "everywhere" : fmt::format("not everywhere ({} behind)", behind),
                             lines);
}

}  // namespace

auto run_status(const command& c) -> int {
    auto reply = c.client.call("GET", "/admin/status", {});
    if (!reply) {
        return report(reply.error());
    }
    if (reply->status != 200 || !reply->body.is_object()) {
        return report({result_code::forbidden, reply->text});
    }
    auto reporters = reporter_pages(c, reply->body);
    if (c.as_json) {
        std::cout << json{{"daemon", reply->body}, {"reporters", reporters}}.dump() << "\n";
    } else {
        print_status(reply->body, reporters);
    }
    return DONE;
}

}  // namespace eelgrassledge::tools
