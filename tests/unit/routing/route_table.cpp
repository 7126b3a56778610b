#include "eelgrassledge/routing/route_table.hpp"

#include <catch2/catch.hpp>

using namespace eelgrassledge;

namespace {

auto make_table() -> route_table {
    route_table_content content;
    content.version = config_version{3};
    auto add = [&](const char* name, const char* host, const char* prefix) {
        route r;
        r.name = name;
        r.host = host;
        r.path_prefix = prefix;
        content.routes.push_back(r);
    };
    add("root", "a.example", "/");
    add("short", "a.example", "/x/");
    add("long", "a.example", "/x/y/");
    add("other", "b.example", "/x/");
    auto add_gather = [&](const char* name, const char* shard, std::uint32_t rank) {
        add(name, "c.example", (std::string{"/"} + name + "/").c_str());
        content.routes.back().rank = rank;
        content.routes.back().gather = gather_rule{{service_id{shard}}, 3, 1};
    };
    add_gather("first", "p0", 1);
    add_gather("second", "p0", 2);
    add_gather("alone", "q0", 0);
    content.services.push_back({service_id{"s"}, "/health", 26, 0});
    return route_table{std::move(content)};
}

auto name_of(const route* r) -> std::string {
    return r == nullptr ? "none" : r->name;
}

}  // namespace

TEST_CASE("route table") {
    auto table = make_table();
    SECTION("finds the route with the longest matching path prefix") {
        CHECK(name_of(table.find("a.example", "/x/y/z")) == "long");
        CHECK(name_of(table.find("a.example", "/x/y/")) == "long");
        CHECK(name_of(table.find("a.example", "/x/y")) == "short");
        CHECK(name_of(table.find("a.example", "/xy/z")) == "root");
    }
    SECTION("ignores the port and the case of the host") {
        CHECK(name_of(table.find("B.Example:8080", "/x/1")) == "other");
        CHECK(name_of(table.find("b.example", "/y/1")) == "none");
        CHECK(name_of(table.find("c.example", "/x/1")) == "none");
    }
    SECTION("ignores slashes in the query string") {
        CHECK(name_of(table.find("a.example", "/x?q=/y/z")) == "root");
        CHECK(name_of(table.find("a.example", "")) == "none");
    }
    SECTION("determines which of the routes over the same shards is urgent") {
        CHECK(table.urgency(*table.find("c.example", "/first/"), nullptr) == 1);
        CHECK(table.urgency(*table.find("c.example", "/second/"), nullptr) == 0);
        CHECK(table.urgency(*table.find("c.example", "/alone/"), nullptr) == 0);
        CHECK(table.urgency(*table.find("a.example", "/x/"), nullptr) == 0);
    }
    SECTION("returns the rule of a service") {
        REQUIRE(table.service(service_id{"s"}) != nullptr);
        CHECK(table.service(service_id{"s"})->max_connections == 26);
        CHECK(table.service(service_id{"t"}) == nullptr);
    }
}

namespace {

auto make_team(const std::string& name, std::uint32_t priority, const std::vector<std::string>& keys)
    -> team {
    team made;
    made.name = team_id{name};
    made.priority = priority;
    for (const auto& key : keys) {
        made.keys.push_back(digest_of(key));
    }
    return made;
}

}  // namespace

TEST_CASE("digests of keys are SHA-256") {
    // Test vector of FIPS 180-4 for "abc".
    CHECK(digest_of("abc").value().front() == 0xba);
    CHECK(digest_of("abc").value().back() == 0xad);
}

// Guards against requests that are ordered by their route before their team.
TEST_CASE("teams of a route table") {
    route_table_content content;
    route urgent;
    urgent.path_prefix = "/urgent/";
    urgent.gather = gather_rule{{service_id{"s"}}, 1, 1};
    auto ordinary = urgent;
    ordinary.path_prefix = "/ordinary/";
    ordinary.rank = 1;
    content.routes = {urgent, ordinary};
    content.teams = {make_team("first", 0, {"k1", "k2"}), make_team("second", 3, {"k3"}),
                     make_team("none", 3, {})};
    route_table table{content};
    CHECK(table.has_teams());
    CHECK(table.team_of(digest_of("k2"))->name == team_id{"first"});
    CHECK(table.team_of(digest_of("k3"))->name == team_id{"second"});
    CHECK(table.team_of(digest_of("k4")) == nullptr);
    CHECK(table.team_named(team_id{"none"}) != nullptr);
    CHECK(table.team_named(team_id{"other"}) == nullptr);
    const auto* first = table.team_named(team_id{"first"});
    const auto* second = table.team_named(team_id{"second"});
    const auto& routes = table.routes();
    CHECK(table.urgency(routes[0], first) == 1);
    CHECK(table.urgency(routes[0], first) > table.urgency(routes[1], first));
    CHECK(table.urgency(routes[1], first) > table.urgency(routes[0], second));
    CHECK(table.urgency(routes[1], second) == 0);
}
