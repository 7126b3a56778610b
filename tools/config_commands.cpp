// Commands that read or change the configuration document.

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

#include "command.hpp"
#include "eelgrassledge/config/document.hpp"
#include "eelgrassledge/config/text_file.hpp"

namespace eelgrassledge::tools {

namespace {

using nlohmann::json;

/// Attempts to change one key, including the first, when other changes are accepted in between.
constexpr int MAX_PLACEMENT_ATTEMPTS = 5;

auto print_faults(const std::vector<ini_fault>& faults, bool as_json) -> void {
    if (!as_json) {
        std::cout << to_string(faults);
        return;
    }
    json list = json::array();
    for (const auto& fault : faults) {
        list.push_back({{"section", fault.section}, {"key", fault.key}, {"reason", fault.reason}});
    }
    std::cout << json{{"faults", list}}.dump() << "\n";
}

auto run_config_check(const command& c) -> int {
    auto text = read_text_file(c.word(2), result_code::bad_option);
    if (!text) {
        return report(text.error());
    }
    auto parsed = parse_document(*text);
    if (!parsed) {
        print_faults(parsed.error(), c.as_json);
        return BAD_DOCUMENT;
    }
    auto summary = json{{"faults", json::array()},
                        {"zones", parsed->zones.size()},
                        {"services", parsed->services.size()},
                        {"upstreams", parsed->upstreams.size()},
                        {"callers", parsed->callers.size()}};
    std::cout << (c.as_json ? summary.dump()
                            : fmt::format("valid: {} zones, {} services, {} upstreams, {} callers",
                                          parsed->zones.size(), parsed->services.size(),
                                          parsed->upstreams.size(), parsed->callers.size()))
              << "\n";
    return DONE;
}

auto run_config_show(const command& c) -> int {
    auto page = c.client.read_document();
    if (!page) {
        return report(page.error());
    }
    if (c.as_json) {
        std::cout << json{{"revision", page->revision}, {"author", page->author}, {"text", page->text}}.dump()
                  << "\n";
    } else {
        std::cout << fmt::format("; revision {} by {}\n{}", page->revision, page->author, page->text);
    }
    return DONE;
}

auto print_refused_change(const json& body) -> void {
    std::cerr << fmt::format("error {} {}: {}\n", body.value("code", 0), body.value("reason", ""),
                             body.value("message", ""));
    for (const auto& d : body.value("differences", json::array())) {
        std::cerr << fmt::format("  [{}] {}: current {}, proposed {}\n", d.value("section", ""),
                                 d.value("key", ""), d.value("current", ""), d.value("proposed", ""));
    }
}

auto finish_change(const command& c, const daemon_reply& reply) -> int {
    if (!reply.body.is_object()) {
        return report({result_code::bad_reply, reply.address + ": not a JSON object"});
    }
    if (c.as_json) {
        std::cout << reply.body.dump() << "\n";
    } else if (reply.status == 200) {
        std::cout << fmt::format("accepted as revision {}\n", reply.body.value("revision", std::uint64_t{0}));
    } else {
        print_refused_change(reply.body);
    }
    return reply.status == 200
               ? DONE
               : exit_code_of({to_result_code(reply.body.value("code", std::uint16_t{0})), ""});
}

auto run_config_put(const command& c) -> int {
    auto text = read_text_file(c.word(2), result_code::bad_option);
    if (!text) {
        return report(text.error());
    }
    std::uint64_t based_on = 0;
    if (c.options.count("based-on") > 0) {
        based_on = c.options["based-on"].as<std::uint64_t>();
    } else {
        auto page = c.client.read_document();
        if (!page) {
            return report(page.error());
        }
        based_on = page->revision;
    }
    auto reply =
        c.client.put_document(*text, based_on, c.options["author"].as<std::string>(), make_change_id());
    return reply ? finish_change(c, *reply) : report(reply.error());
}

auto run_config_diff(const command& c) -> int {
    auto text = read_text_file(c.word(2), result_code::bad_option);
    auto page = c.client.read_document();
    if (!text || !page) {
        return report(text ? page.error() : text.error());
    }
    auto differences = compare_documents(page->text, *text);
    if (!c.as_json) {
        std::cout << to_string(differences);
        return DONE;
    }
    json list = json::array();
    for (const auto& d : differences) {
        list.push_back(
            {{"section", d.section}, {"key", d.key}, {"current", d.before}, {"proposed", d.after}});
    }
    std::cout << json{{"revision", page->revision}, {"differences", list}}.dump() << "\n";
    return DONE;
}

/// Whether the document has the zone `name`. Instances need no section of their own, so any name is accepted.
auto can_set_state(const std::string& text, const std::string& kind, const std::string& name) -> bool {
    auto sections = split_ini(text).sections;
    return kind == "instance" ||
           std::ranges::any_of(sections, [&](const auto& s) { return s.kind == kind && s.name == name; });
}

}  // namespace

auto run_config(const command& c) -> int {
    auto verb = c.word(1);
    if (verb == "show") {
        return run_config_show(c);
    }
    if ((verb == "check" || verb == "put" || verb == "diff") && c.word(2).empty()) {
        return bad_option("config " + verb + ": FILE is missing");
    }
    if (verb == "check") {
        return run_config_check(c);
    }
    if (verb == "put") {
        return run_config_put(c);
    }
    if (verb == "diff") {
        return run_config_diff(c);
    }
    return bad_option("config: expected check, show, put or diff");
}

// The key is changed on the newest revision. If another operator's change was accepted in between, the change
// is applied again to the newer revision, so that the other operator's changes of other keys are kept.
auto run_placement(const command& c, const std::string& kind) -> int {
    auto state = c.word(1);
    auto name = c.word(2);
    if ((state != "in" && state != "out") || name.empty()) {
        return bad_option(kind + ": expected out NAME or in NAME");
    }
    for (int i = 0;; ++i) {
        auto page = c.client.read_document();
        if (!page) {
            return report(page.error());
        }
        if (!can_set_state(page->text, kind, name)) {
            return report({result_code::not_found, "the document has no " + kind + " " + name});
        }
        auto text = set_document_key(page->text, kind + " " + name, "state", state);
        auto reply = c.client.put_document(text, page->revision, c.options["author"].as<std::string>(),
                                           make_change_id());
        if (!reply) {
            return report(reply.error());
        }
        if (reply->status != 409 || i + 1 == MAX_PLACEMENT_ATTEMPTS) {
            return finish_change(c, *reply);
        }
    }
}

}  // namespace eelgrassledge::tools
