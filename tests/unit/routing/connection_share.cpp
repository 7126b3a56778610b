#include "eelgrassledge/routing/connection_share.hpp"

#include <catch2/catch.hpp>

using namespace eelgrassledge;

TEST_CASE("connections of one instance to an upstream") {
    SECTION("are equal shares among equal instances") {
        CHECK(connection_limit(26, 2, {9, 9, true}, false) == 2);
        CHECK(connection_limit(110, 6, {9, 9, true}, false) == 10);
    }
    SECTION("let the larger instances use all slots where hundreds of smaller ones share an upstream") {
        // 18 larger instances send nearly all sub-requests; equal shares would be half a connection each.
        auto larger = connection_limit(175, 3, {295, 18, true}, false);
        CHECK(larger >= 3);
        CHECK(18 * larger <= 175);
        CHECK(connection_limit(175, 3, {295, 18, false}, false) == 1);
    }
    SECTION("are no more than the upstream can use soon") {
        CHECK(connection_limit(1000, 2, {2, 2, true}, false) == 4);
    }
    SECTION("are at least one, also with odd counts") {
        CHECK(connection_limit(0, 0, {0, 0, true}, false) == 1);
        CHECK(connection_limit(10, 1, {1, 5, true}, false) == 1);
    }
    SECTION("are one while queries are refused, so that requests wait here") {
        CHECK(connection_limit(110, 6, {9, 9, true}, true) == 1);
    }
}

TEST_CASE("instances that share the connections of upstreams") {
    instance_directory instances{{instance_id{"self"}, zone_id{"a"}, "127.0.0.1:1", 0.12}};
    auto add = [&](const std::string& id, const std::string& zone, double capacity) {
        instances.update({instance_id{id}, zone_id{zone}, "127.0.0.1:2", capacity});
    };
    CHECK(instances.senders().larger == 1);
    CHECK(instances.senders().is_larger);
    add("big-a", "a", 0.5);
    add("small-a", "a", 0.12);
    add("big-b", "b", 0.5);
    add("middle-b", "b", 0.25);
    add("small-b", "b", 0.12);
    auto counts = instances.senders();
    CHECK(counts.all == 6);
    CHECK(counts.larger == 3);
    CHECK_FALSE(counts.is_larger);
}
