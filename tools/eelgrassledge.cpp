// Command line for operators and callers.

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "daemon_client.hpp"
#include "eelgrassledge/config/document.hpp"
#include "eelgrassledge/config/text_file.hpp"
#include "explain.hpp"

namespace {

using namespace eelgrassledge;
using namespace eelgrassledge::tools;
using nlohmann::json;

enum exit_code : int {
    DONE = 0,
    REFUSED = 1,
    BAD_OPTION = 2,
    BAD_DOCUMENT = 3,
    CONFLICT = 4,
    UNREACHABLE = 5,
    PARTIAL = 6,
};

/// Times a change of one key is made again after another change won the race.
constexpr int PLACEMENT_TRIES = 5;

struct command {
    std::vector<std::string> words;
    const cxxopts::ParseResult& options;
    daemon_client client;
    bool as_json = false;

    [[nodiscard]] auto word(std::size_t i) const -> std::string {
        return i < words.size() ? words[i] : std::string{};
    }
};

auto usage() -> std::string {
    return "Commands:\n"
           "  search                      run one search (--service, --query, --key)\n"
           "  config check FILE           check a document without a daemon; lists every fault\n"
           "  config show                 print the document in force\n"
           "  config put FILE             propose a document (--based-on, default: the revision in force)\n"
           "  config diff FILE            compare a document with the one in force\n"
           "  zone out|in NAME            take an availability zone out, or back in\n"
           "  instance out|in NAME        take an instance out, or back in\n"
           "  status                      revision in force, zones, instances, upstreams, brokers\n"
           "  metrics                     counters of one daemon\n"
           "  explain REQUEST_ID FILE...  the story of a request from log files of several processes\n"
           "Exit codes: 0 done, 1 refused, 2 command line, 3 document has faults, 4 conflict,\n"
           "  5 daemon unreachable, 6 the answer is partial.\n";
}

auto make_options() -> cxxopts::Options {
    cxxopts::Options options{"eelgrassledge",
                             "Operators' and callers' command line of the eelgrassledge query tier."};
    options.positional_help("COMMAND [ARGUMENTS]");
    options.add_options()("daemon", "HTTP addresses of daemons, IP:PORT[,IP:PORT...]",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:8080"))(
        "token", "administration token (or EELGRASSLEDGE_TOKEN)",
        cxxopts::value<std::string>()->default_value(""))("key", "caller's key (or EELGRASSLEDGE_KEY)",
                                                          cxxopts::value<std::string>()->default_value(""))(
        "json", "print JSON for scripts")("author", "name noted with a change",
                                          cxxopts::value<std::string>()->default_value("operator"))(
        "based-on", "revision on which a change was made", cxxopts::value<std::uint64_t>())(
        "service", "service to search", cxxopts::value<std::string>()->default_value(""))(
        "query", "text to search for", cxxopts::value<std::string>()->default_value(""))(
        "request-id", "id echoed by the answer", cxxopts::value<std::string>()->default_value(""))(
        "lane", "ordinary or priority", cxxopts::value<std::string>()->default_value("ordinary"))(
        "prefer", "time or coverage; default: as the service says", cxxopts::value<std::string>())(
        "deadline-ms", "milliseconds; default: as the service says", cxxopts::value<std::uint32_t>())(
        "limit", "most hits wanted", cxxopts::value<std::uint32_t>()->default_value("10"))(
        "non-idempotent", "run at most once")("h,help", "print this help and exit")(
        "words", "", cxxopts::value<std::vector<std::string>>()->default_value({}));
    options.parse_positional({"words"});
    return options;
}

auto exit_code_of(const error& failure) -> int {
    switch (failure.code) {
        case result_code::daemon_unreachable:
        case result_code::bad_reply:
            return UNREACHABLE;
        case result_code::bad_option:
            return BAD_OPTION;
        case result_code::invalid_document:
            return BAD_DOCUMENT;
        case result_code::revision_conflict:
            return CONFLICT;
        default:
            return REFUSED;
    }
}

auto report(const error& failure) -> int {
    std::cerr << fmt::format("error {} {}: {}\n", static_cast<int>(failure.code), describe(failure.code).name,
                             failure.message);
    return exit_code_of(failure);
}

auto bad_option(const std::string& message) -> int {
    return report({result_code::bad_option, message});
}

// ---- search ----

auto search_body(const command& c) -> json {
    auto request = c.options["request-id"].as<std::string>();
    json body{{"request_id", request.empty() ? make_change_id() : request},
              {"service", c.options["service"].as<std::string>()},
              {"query", c.options["query"].as<std::string>()},
              {"lane", c.options["lane"].as<std::string>()},
              {"limit", c.options["limit"].as<std::uint32_t>()},
              {"idempotent", c.options.count("non-idempotent") == 0}};
    if (c.options.count("prefer") > 0) {
        body["prefer"] = c.options["prefer"].as<std::string>();
    }
    if (c.options.count("deadline-ms") > 0) {
        body["deadline_ms"] = c.options["deadline-ms"].as<std::uint32_t>();
    }
    return body;
}

auto print_answer(const json& answer) -> void {
    const auto& coverage = answer["coverage"];
    std::cout << fmt::format("{}: {}, snapshot {}, shards {}/{}\n", answer.value("request_id", ""),
                             coverage.value("complete", false) ? "complete" : "PARTIAL",
                             answer.value("snapshot", std::uint64_t{0}), coverage.value("shards_answered", 0),
                             coverage.value("shards_total", 0));
    for (const auto& missing : coverage["missing"]) {
        std::cout << "  missing " << missing.get<std::string>() << "\n";
    }
    for (const auto& hit : answer["hits"]) {
        std::cout << fmt::format("  {:.4f} {} {}\n", hit.value("score", 0.0), hit.value("record", ""),
                                 hit.value("body", ""));
    }
}

auto run_search(const command& c) -> int {
    auto reply = c.client.call("POST", "/search", search_body(c));
    if (!reply) {
        return report(reply.error());
    }
    if (!reply->body.is_object()) {
        return report({result_code::bad_reply, reply->address + ": not a JSON object"});
    }
    const auto& body = reply->body;
    if (c.as_json) {
        std::cout << body.dump() << "\n";
    } else if (body.contains("coverage")) {
        print_answer(body);
    } else {
        std::cout << fmt::format("refused: {} {} ({}) {}\n", body.value("code", 0), body.value("reason", ""),
                                 body.value("state", ""), body.value("message", ""));
    }
    if (body.value("code", 1) != 0) {
        return REFUSED;
    }
    return body["coverage"].value("complete", false) ? DONE : PARTIAL;
}

// ---- config ----

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

// ---- placements ----

auto knows(const std::string& text, const std::string& kind, const std::string& name) -> bool {
    auto sections = split_ini(text).sections;
    return kind == "instance" ||
           std::ranges::any_of(sections, [&](const auto& s) { return s.kind == kind && s.name == name; });
}

/// Changes one key on the newest revision. Another operator's change of other keys is kept; the change is
/// simply made again on top of it.
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
        if (!knows(page->text, kind, name)) {
            return report({result_code::not_found, "the document has no " + kind + " " + name});
        }
        auto text = set_document_key(page->text, kind + " " + name, "state", state);
        auto reply = c.client.put_document(text, page->revision, c.options["author"].as<std::string>(),
                                           make_change_id());
        if (!reply) {
            return report(reply.error());
        }
        if (reply->status != 409 || i + 1 == PLACEMENT_TRIES) {
            return finish_change(c, *reply);
        }
    }
}

// ---- status ----

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

auto run_metrics(const command& c) -> int {
    auto reply = c.client.call("GET", "/metrics", {});
    if (!reply) {
        return report(reply.error());
    }
    std::cout << reply->text;
    return DONE;
}

auto run_explain(const command& c) -> int {
    constexpr std::size_t FEWEST_WORDS = 3;
    if (c.words.size() < FEWEST_WORDS) {
        return bad_option("explain: expected REQUEST_ID FILE...");
    }
    auto story = explain_request(c.word(1), {c.words.begin() + 2, c.words.end()});
    if (!story) {
        return report(story.error());
    }
    std::cout << *story;
    return DONE;
}

auto run(const command& c) -> int {
    auto verb = c.word(0);
    if (verb == "search") {
        return run_search(c);
    }
    if (verb == "config") {
        return run_config(c);
    }
    if (verb == "zone" || verb == "instance") {
        return run_placement(c, verb);
    }
    if (verb == "status") {
        return run_status(c);
    }
    if (verb == "explain") {
        return run_explain(c);
    }
    if (verb == "metrics") {
        return run_metrics(c);
    }
    return bad_option(verb.empty() ? "a command is missing; see --help"
                                   : verb + ": not a command; see --help");
}

auto option_or_environment(const cxxopts::ParseResult& parsed, const char* option, const char* variable)
    -> std::string {
    auto value = parsed[option].as<std::string>();
    const auto* from_environment = std::getenv(variable);
    return value.empty() && from_environment != nullptr ? from_environment : value;
}

}  // namespace

auto main(int argc, char** argv) -> int {
    auto options = make_options();
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\n" << usage();
            return DONE;
        }
        auto addresses = split_addresses(parsed["daemon"].as<std::string>());
        if (!std::ranges::all_of(addresses, [](const auto& a) { return is_address(a); })) {
            return bad_option("--daemon: expected IP:PORT[,IP:PORT...]");
        }
        daemon_client client{addresses, option_or_environment(parsed, "token", "EELGRASSLEDGE_TOKEN"),
                             option_or_environment(parsed, "key", "EELGRASSLEDGE_KEY")};
        return run(
            {parsed["words"].as<std::vector<std::string>>(), parsed, client, parsed.count("json") > 0});
    } catch (const cxxopts::exceptions::exception& e) {
        return bad_option(e.what());
    } catch (const nlohmann::json::exception& e) {
        return report({result_code::bad_reply, e.what()});
    }
}
