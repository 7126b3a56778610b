#include <catch2/catch.hpp>

#include "cluster.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

TEST_CASE("a search through separate processes", "[path]") {
    cluster c{{}};
    REQUIRE(c.wait_until_serving());

    auto whole = c.search_text(3, "label-desk", "rye");
    CHECK(whole.status == 200);
    CHECK(whole.body["coverage"]["complete"] == true);
    CHECK(whole.body["coverage"]["shards_answered"] == 4);
    CHECK(whole.body["hits"].size() == 12);
    CHECK(whole.body["snapshot"] == 1);
    CHECK(whole.body["request_id"] == "rye");

    SECTION("refuses bad input with error codes and continues to serve") {
        auto code = [&](const json& body, const std::string& key = "caller-key") {
            return c.search(0, body, key).body.value("code", 0);
        };
        json good{{"request_id", "r"}, {"service", "label-desk"}, {"query", "rye"}};
        auto with = [&](const char* field, const json& value) {
            auto body = good;
            body[field] = value;
            return body;
        };
        CHECK(code("{ not json") == 101);
        CHECK(code(json::array()) == 101);
        CHECK(code(with("limit", -1)) == 101);
        CHECK(code(with("limit", 1e300)) == 101);
        CHECK(code(with("query", "")) == 101);
        CHECK(code(with("unknown", 1)) == 101);
        CHECK(code(with("request_id", std::string(129, 'x'))) == 101);
        CHECK(code(with("deadline_ms", 0)) == 104);
        CHECK(code(with("deadline_ms", 4'000'000'000U)) == 104);
        CHECK(code(with("service", "none")) == 103);
        CHECK(code(good, "wrong") == 105);
        CHECK(code(with("query", std::string(100'000, 'x'))) == 102);
        auto oversized = call("POST", c.daemons[0].http, "/search", std::string(3'000'000, 'x'));
        CHECK(oversized.status != 200);
        CHECK(call("GET", c.daemons[0].http, "/admin/status", {}).body.value("code", 0) == 303);
        CHECK(call("GET", c.daemons[0].http, "/nowhere", {}).body.value("code", 0) == 117);
        CHECK(call("GET", c.daemons[0].http, "/healthz", {}).status == 200);
        CHECK(c.metric(0, "eelgrassledge_refusals_total{reason=\"unknown_caller\"}") == 1);
        CHECK(c.is_complete(0, "after bad input"));
    }
    SECTION("returns a partial answer that names a lost shard, and a complete one after the shard returns") {
        c.find("label-desk-2-0").process->signal(SIGKILL);
        c.find("label-desk-2-1").process->signal(SIGKILL);
        auto partial = c.search_text(1, "label-desk", "partial?");
        CHECK(partial.status == 200);
        CHECK(partial.body["state"] == "partial");
        CHECK(partial.body["coverage"]["missing"] == json::array({"shard-2"}));
        CHECK(partial.body["coverage"]["shards_answered"] == 3);
        CHECK(partial.body["hits"].size() == 9);
        c.start_searcher(c.find("label-desk-2-0"));
        CHECK(eventually(seconds{10}, [&] { return c.is_complete(1, "whole again?"); }));
    }
    SECTION(
        "rejects answers of searchers that answer for another shard, swap answers or report a false "
        "state") {
        auto& liar = c.find("label-desk-0-0");
        CHECK(c.control(liar, {{"wrong_shard", true}, {"lie", {{"start_id", "x"}, {"holdings", 5}}}}));
        auto& crossed = c.find("label-desk-1-0");
        CHECK(c.control(crossed, {{"cross_answers", true}}));
        for (int i = 0; i < 20; ++i) {
            auto answer = c.search_text(0, "label-desk", "hostile " + std::to_string(i));
            std::set<std::string> records;
            for (const auto& hit : answer.body["hits"]) {
                CHECK(records.insert(hit["record"]).second);
                CHECK(hit["body"] == "hostile " + std::to_string(i) + "@1");
            }
            CHECK(records.size() == answer.body["coverage"]["shards_answered"].get<std::size_t>() * 3);
        }
    }
}

TEST_CASE("a daemon with bad settings exits with an error code and names the expected values", "[path]") {
    auto log = "/tmp/eelgrassledge-test-settings." + std::to_string(::getpid());
    auto binary = std::string{EELGRASSLEDGE_BUILD_DIR} + "/daemon/eelgrassledged";
    {
        child_process daemon{{binary, "--set", "instance=e", "--set", "log_level=loud"}, log};
        CHECK(daemon.wait_for_end(seconds{10}) == 3);
    }
    CHECK(read_text(log).find("[daemon] log_level: 'loud' is not one of") != std::string::npos);
    CHECK(read_text(log).find("[daemon] peer_address: is required") != std::string::npos);
    {
        child_process daemon{{binary, "--no-such-option"}, log};
        CHECK(daemon.wait_for_end(seconds{10}) == 2);
    }
    std::remove(log.c_str());
}
