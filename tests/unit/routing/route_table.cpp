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
        CHECK(table.is_urgent(*table.find("c.example", "/first/")));
        CHECK_FALSE(table.is_urgent(*table.find("c.example", "/second/")));
        CHECK_FALSE(table.is_urgent(*table.find("c.example", "/alone/")));
        CHECK_FALSE(table.is_urgent(*table.find("a.example", "/x/")));
    }
    SECTION("returns the rule of a service") {
        REQUIRE(table.service(service_id{"s"}) != nullptr);
        CHECK(table.service(service_id{"s"})->max_connections == 26);
        CHECK(table.service(service_id{"t"}) == nullptr);
    }
}
