#include "eelgrassledge/proxy/store_replica.hpp"

#include <catch2/catch.hpp>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

auto put(const char* key, const char* value, std::int64_t revision) -> store_event {
    return {key, value, mod_revision{revision}};
}

auto at_revision(std::int64_t revision, std::int64_t era = 0) -> store_position {
    return {store_era{era}, mod_revision{revision}};
}

auto removal(const char* key, std::int64_t revision) -> store_event {
    return {key, std::nullopt, mod_revision{revision}};
}

}  // namespace

TEST_CASE("replica of the store") {
    store_replica replica;
    CHECK_FALSE(replica.after(at_revision(0), at_ms(0)));
    REQUIRE(replica.apply(put("a", "1", 8)));
    REQUIRE(replica.apply(put("b", "1", 9)));
    CHECK(replica.apply_listing({"a", "b"}, mod_revision{10}).empty());
    replica.confirm(at_ms(0));

    SECTION("returns the changes after a revision, with their age") {
        REQUIRE(replica.apply(put("a", "2", 12)));
        REQUIRE(replica.apply(removal("b", 13)));
        replica.advance(mod_revision{15});
        auto answer = replica.after(at_revision(12), at_ms(40));
        REQUIRE(answer);
        CHECK_FALSE(answer->changes.is_listing);
        CHECK(answer->changes.current == mod_revision{15});
        CHECK(answer->age == milliseconds{40});
        REQUIRE(answer->changes.events.size() == 1);
        CHECK(answer->changes.events[0].key == "b");
        CHECK_FALSE(answer->changes.events[0].value);
        CHECK(replica.after(at_revision(10), at_ms(0))->changes.events.size() == 2);
        CHECK(replica.after(at_revision(15), at_ms(0))->changes.events.empty());
    }
    SECTION("rejects changes older than the known state, from any source") {
        CHECK_FALSE(replica.apply(put("a", "0", 7)));
        REQUIRE(replica.apply(removal("a", 12)));
        CHECK_FALSE(replica.apply(put("a", "1", 8)));
        CHECK(replica.apply_listing({"b"}, mod_revision{11}).empty());
        REQUIRE(replica.apply(put("c", "1", 14)));
        CHECK(replica.apply_listing({"b"}, mod_revision{13}).empty());
        CHECK(replica.apply(put("a", "3", 15)));
        CHECK_FALSE(replica.apply(put("unknown", "older than the first listing", 9)));
    }
    SECTION("removes the keys that a later listing lacks") {
        CHECK(replica.apply_listing({"a"}, mod_revision{20}) == std::vector<std::string>{"b"});
        auto answer = replica.after(at_revision(10), at_ms(0));
        REQUIRE(answer->changes.events.size() == 1);
        CHECK_FALSE(answer->changes.events[0].value);
    }
    SECTION("answers with a listing for a revision before its first one") {
        auto answer = replica.after(at_revision(9), at_ms(0));
        REQUIRE(answer);
        CHECK(answer->changes.is_listing);
        CHECK(answer->changes.events.size() == 2);
    }
    SECTION("drops the oldest removals, and answers with a listing where they would be needed") {
        for (std::int64_t r = 11; r < 10'000; r += 2) {
            auto key = "k" + std::to_string(r);
            REQUIRE(replica.apply(put(key.c_str(), "v", r)));
            REQUIRE(replica.apply(removal(key.c_str(), r + 1)));
        }
        CHECK(replica.after(at_revision(10), at_ms(0))->changes.is_listing);
        CHECK(replica.after(at_revision(10), at_ms(0))->changes.events.size() == 2);
        CHECK_FALSE(replica.after(at_revision(9000), at_ms(0))->changes.is_listing);
    }
    SECTION("an answer is unchanged by encoding and decoding") {
        REQUIRE(replica.apply(removal("b", 13)));
        replica.advance(mod_revision{13});
        auto answer = *replica.after(at_revision(10), at_ms(7));
        answer.recent_outage = true;
        auto read = decode_feed_answer(encode_feed_answer(answer));
        REQUIRE(read);
        REQUIRE(read->changes.events.size() == 1);
        CHECK_FALSE(read->changes.events[0].value);
        CHECK(read->changes.events[0].revision == mod_revision{13});
        CHECK(read->age == milliseconds{7});
        CHECK(read->recent_outage);
        CHECK(decode_feed_answer(encode_feed_answer(*replica.after({}, at_ms(0))))->changes.is_listing);
        CHECK_FALSE(decode_feed_answer("no message"));
    }
}

// Guards against a replica that keeps the lost state of a store that was restored from a copy, since its
// revisions are higher, or that goes back to it by an answer that arrives late.
TEST_CASE("replica of a store that was restored from a copy") {
    store_replica replica;
    const store_era first{3};
    const store_era second{4};
    REQUIRE(replica.apply_era(first, {{"a", "1", mod_revision{8}}, {"b", "1", mod_revision{9}}},
                              mod_revision{10}));
    REQUIRE(replica.apply({"a", "2", mod_revision{20}}, first));
    REQUIRE(replica.apply({"c", "1", mod_revision{21}}, first));
    replica.advance(mod_revision{30});

    SECTION("does not mix eras before a listing of the new one is complete") {
        CHECK_FALSE(replica.apply({"a", "3", mod_revision{40}}, second));
        CHECK(replica.current() == at_revision(30, 3));
        CHECK_FALSE(replica.has_changes_after(at_revision(5, 4)));
        auto answer = replica.after(at_revision(5, 4), at_ms(0));
        REQUIRE(answer);
        CHECK(answer->changes.era == first);
    }
    SECTION("takes lower revisions of the new era, and keys that it lacks as removed") {
        auto changes = replica.apply_era(second, {{"a", "1", mod_revision{8}}, {"d", "1", mod_revision{11}}},
                                         mod_revision{12});
        REQUIRE(changes);
        REQUIRE(changes->listed.size() == 2);
        CHECK(changes->listed[0].previous == "2");
        CHECK_FALSE(changes->listed[1].previous);
        CHECK(changes->removed == std::vector<std::string>{"b", "c"});
        CHECK(replica.current() == at_revision(12, 4));
        CHECK(replica.revision_of("a") == mod_revision{8});
        CHECK(replica.apply({"a", "3", mod_revision{13}}, second));

        // Late answers of the previous era.
        CHECK_FALSE(replica.apply({"a", "2", mod_revision{20}}, first));
        CHECK_FALSE(replica.apply({"b", std::nullopt, mod_revision{35}}, first));
        CHECK_FALSE(replica.apply_era(first, {{"z", "1", mod_revision{50}}}, mod_revision{50}));
        CHECK_FALSE(replica.apply_era(second, {{"z", "1", mod_revision{50}}}, mod_revision{50}));
        CHECK(replica.revision_of("a") == mod_revision{13});
        CHECK(replica.revision_of("z") == mod_revision{});

        // An instance that is in the previous era gets all, although its revision is higher.
        CHECK(replica.has_changes_after(at_revision(30, 3)));
        auto answer = replica.after(at_revision(30, 3), at_ms(0));
        REQUIRE(answer);
        CHECK(answer->changes.is_listing);
        CHECK(answer->changes.events.size() == 2);
        auto read = decode_feed_answer(encode_feed_answer(*answer));
        REQUIRE(read);
        CHECK(read->changes.era == second);
    }
}
