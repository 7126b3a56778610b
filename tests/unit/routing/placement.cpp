#include <catch2/catch.hpp>

#include "eelgrassledge/proxy/instance_messages.hpp"
#include "eelgrassledge/routing/gather_placement.hpp"
#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

auto make_instance(const char* id, const char* zone, double capacity) -> instance_record {
    return {instance_id{id}, zone_id{zone}, "127.0.0.1:2", capacity};
}

}  // namespace

TEST_CASE("placement of a query over shards") {
    routing_fixture f{8};
    // Half of the shards have replicas in zones a and b, the other half only in b.
    for (int i = 4; i < 8; ++i) {
        f.state.upstreams().find(upstream_id{"s" + std::to_string(i) + "a"})->leave(at_ms(0));
    }
    const auto& gather = *f.table->find("desk.example", "/gather/1")->gather;
    instance_directory instances{make_instance("me", "a", 0.25)};
    gather_placement placement{f.state};

    SECTION("makes no groups without other instances") {
        CHECK(placement.plan(gather, instances, at_ms(1)).empty());
    }
    SECTION("assigns the shards that are only in the other zone to an instance there") {
        instances.update(make_instance("far", "b", 0.25));
        auto groups = placement.plan(gather, instances, at_ms(1));
        REQUIRE(groups.size() == 1);
        CHECK(groups[0].runner.id == instance_id{"far"});
        CHECK(groups[0].shards == std::vector<std::size_t>{4, 5, 6, 7});
    }
    SECTION("assigns the shards of this zone to a larger instance of this zone") {
        instances.update(make_instance("large", "a", 1));
        auto groups = placement.plan(gather, instances, at_ms(1));
        REQUIRE(groups.size() == 1);
        CHECK(groups[0].runner.id == instance_id{"large"});
        CHECK(groups[0].shards == std::vector<std::size_t>{0, 1, 2, 3});
    }
    SECTION("skips an instance that did not answer until a pause has elapsed") {
        instances.update(make_instance("far", "b", 0.25));
        instances.failed(instance_id{"far"}, at_ms(1));
        CHECK(placement.plan(gather, instances, at_ms(2)).empty());
        CHECK(placement.plan(gather, instances, at_ms(600)).size() == 1);
    }
    SECTION("assigns nothing to an evacuated zone") {
        instances.update(make_instance("far", "b", 0.25));
        f.state.upstreams().evacuate(zone_id{"b"});
        CHECK(placement.plan(gather, instances, at_ms(1)).empty());
    }
}

TEST_CASE("an instance record is decoded as encoded, and invalid text is rejected") {
    auto record = make_instance("x", "zone-1", 0.5);
    auto read = decode_instance(record.id, encode_instance(record));
    REQUIRE(read);
    CHECK(read->zone == record.zone);
    CHECK(read->peer_address == record.peer_address);
    CHECK(read->capacity == record.capacity);
    for (const auto* bad : {"", "[]", "{}", R"({"zone":1,"peer_address":"x","capacity":1})"}) {
        CHECK_FALSE(decode_instance(record.id, bad));
    }
}
