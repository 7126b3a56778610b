// Command-line tool for operators and callers.

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "command.hpp"
#include "eelgrassledge/config/ini_reader.hpp"
#include "explain.hpp"

namespace {

using namespace eelgrassledge;
using namespace eelgrassledge::tools;

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
           "  explain REQUEST_ID FILE...  the events of a request from log files of several processes\n"
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

auto run_metrics(const command& c) -> int {
    auto reply = c.client.call("GET", "/metrics", {});
    if (!reply) {
        return report(reply.error());
    }
    std::cout << reply->text;
    return DONE;
}

auto run_explain(const command& c) -> int {
    constexpr std::size_t MIN_WORDS = 3;
    if (c.words.size() < MIN_WORDS) {
        return bad_option("explain: expected REQUEST_ID FILE...");
    }
    auto events = explain_request(c.word(1), {c.words.begin() + 2, c.words.end()});
    if (!events) {
        return report(events.error());
    }
    std::cout << *events;
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
