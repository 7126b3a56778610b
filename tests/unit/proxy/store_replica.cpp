#include "eelgrassledge/proxy/store_replica.hpp"

#include <catch2/catch.hpp>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

auto put(const char* key, const char* value, std::int64_t revision) -> store_event {
    return {key, value, mod_revision{revision}};
}

auto removal(const char* key, std::int64_t revision) -> store_event {
    return {key, std::nullopt, mod_revision{revision}};
}

}  // namespace

TEST_CASE("replica of the store") {
    store_replica replica;
    CHECK_FALSE(replica.after(mod_revision{0}, at_ms(0)));
    REQUIRE(replica.take(put("a", "1", 8)));
    REQUIRE(replica.take(put("b", "1", 9)));
    CHECK(replica.take_listing({"a", "b"}, mod_revision{10}).empty());
    replica.confirm(at_ms(0));

    SECTION("gives what is newer than a revision, with the age of the knowledge") {
        REQUIRE(replica.take(put("a", "2", 12)));
        REQUIRE(replica.take(removal("b", 13)));
        replica.advance(mod_revision{15});
        auto news = replica.after(mod_revision{12}, at_ms(40));
        REQUIRE(news);
        CHECK_FALSE(news->changes.is_listing);
        CHECK(news->changes.current == mod_revision{15});
        CHECK(news->age == milliseconds{40});
        REQUIRE(news->changes.events.size() == 1);
        CHECK(news->changes.events[0].key == "b");
        CHECK_FALSE(news->changes.events[0].value);
        CHECK(replica.after(mod_revision{10}, at_ms(0))->changes.events.size() == 2);
        CHECK(replica.after(mod_revision{15}, at_ms(0))->changes.events.empty());
    }
    SECTION("never goes back, whichever source says so") {
        CHECK_FALSE(replica.take(put("a", "0", 7)));
        REQUIRE(replica.take(removal("a", 12)));
        CHECK_FALSE(replica.take(put("a", "1", 8)));
        CHECK(replica.take_listing({"b"}, mod_revision{11}).empty());
        REQUIRE(replica.take(put("c", "1", 14)));
        CHECK(replica.take_listing({"b"}, mod_revision{13}).empty());
        CHECK(replica.take(put("a", "3", 15)));
        CHECK_FALSE(replica.take(put("unknown", "older than the first listing", 9)));
    }
    SECTION("learns from a later listing what is gone") {
        CHECK(replica.take_listing({"a"}, mod_revision{20}) == std::vector<std::string>{"b"});
        auto news = replica.after(mod_revision{10}, at_ms(0));
        REQUIRE(news->changes.events.size() == 1);
        CHECK_FALSE(news->changes.events[0].value);
    }
    SECTION("answers with a listing for a revision before its own") {
        auto news = replica.after(mod_revision{9}, at_ms(0));
        REQUIRE(news);
        CHECK(news->changes.is_listing);
        CHECK(news->changes.events.size() == 2);
    }
    SECTION("forgets the oldest removals, and answers those with a listing that need them") {
        for (std::int64_t r = 11; r < 10'000; r += 2) {
            auto key = "k" + std::to_string(r);
            REQUIRE(replica.take(put(key.c_str(), "v", r)));
            REQUIRE(replica.take(removal(key.c_str(), r + 1)));
        }
        CHECK(replica.after(mod_revision{10}, at_ms(0))->changes.is_listing);
        CHECK(replica.after(mod_revision{10}, at_ms(0))->changes.events.size() == 2);
        CHECK_FALSE(replica.after(mod_revision{9000}, at_ms(0))->changes.is_listing);
    }
    SECTION("passes through its encoding") {
        REQUIRE(replica.take(removal("b", 13)));
        replica.advance(mod_revision{13});
        auto news = *replica.after(mod_revision{10}, at_ms(7));
        news.recent_outage = true;
        auto read = decode_feed_answer(encode_feed_answer(news));
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
