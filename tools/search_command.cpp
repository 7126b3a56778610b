// The `search` command.

#include <fmt/format.h>

#include <iostream>

#include "command.hpp"

namespace eelgrassledge::tools {

namespace {

using nlohmann::json;

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

}  // namespace

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

}  // namespace eelgrassledge::tools
