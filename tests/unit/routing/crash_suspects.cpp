#include "eelgrassledge/routing/crash_suspects.hpp"

#include <catch2/catch.hpp>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

TEST_CASE("requests that crash upstreams") {
    auto no_clock = [] { return std::int64_t{0}; };
    crash_suspects suspects{no_clock};
    std::vector<strike> found;
    suspects.on_strike([&](const strike& one) { found.push_back(one); });
    fingerprint poison{1};
    auto send = [&](const char* attempt, const char* at) {
        return suspect_send{poison, request_id{attempt}, service_id{"s"}, upstream_id{at}, 0};
    };
    auto crash = [&](const char* attempt, const char* at, std::int64_t ms) {
        suspects.connection_broke(send(attempt, at), at_ms(ms));
        suspects.crashed(upstream_id{at}, at_ms(ms + 1));
    };
    SECTION("are refused from their second attempt on, however many upstreams the first one crashed") {
        crash("r1", "u1", 0);
        crash("r1", "u2", 0);
        CHECK_FALSE(suspects.is_refused(poison, at_ms(10)));
        crash("r2", "u3", 20);
        CHECK(suspects.is_refused(poison, at_ms(30)));
        CHECK(found.size() == 3);
    }
    SECTION("are refused from their second attempt on although the first one crashed very many upstreams") {
        for (int i = 0; i < 200; ++i) {
            crash("r1", ("u" + std::to_string(i)).c_str(), 0);
        }
        CHECK(found.size() <= 8);
        CHECK_FALSE(suspects.is_refused(poison, at_ms(10)));
        crash("r2", "v", 20);
        CHECK(suspects.is_refused(poison, at_ms(30)));
    }
    SECTION("are not refused for two attempts that were running when one upstream crashed") {
        suspects.connection_broke(send("r1", "u1"), at_ms(0));
        suspects.connection_broke(send("r2", "u1"), at_ms(0));
        suspects.crashed(upstream_id{"u1"}, at_ms(1));
        CHECK(found.size() == 2);
        CHECK_FALSE(suspects.is_refused(poison, at_ms(10)));
    }
    SECTION("are not suspected for a broken connection to an upstream that did not crash") {
        suspects.connection_broke(send("r1", "u1"), at_ms(0));
        suspects.sweep(at_ms(31'000));
        suspects.crashed(upstream_id{"u1"}, at_ms(31'001));
        CHECK(found.empty());
    }
    SECTION("are suspected when an entry lapses as late as during a store outage") {
        suspects.connection_broke(send("r1", "u1"), at_ms(0));
        suspects.sweep(at_ms(20'000));
        suspects.crashed(upstream_id{"u1"}, at_ms(20'001));
        CHECK(found.size() == 1);
    }
    // Guards against a crash that is not counted because its upstream was forgotten during a store outage.
    SECTION("are suspected when another incarnation starts after the crashed one was forgotten") {
        suspects.connection_broke(send("r1", "u1"), at_ms(0));
        suspects.abandoned(send("r2", "u2"), at_ms(0));
        suspects.started(upstream_id{"u1"}, 0, at_ms(4000));
        CHECK(found.empty());
        suspects.started(upstream_id{"u1"}, 4000, at_ms(4000));
        suspects.started(upstream_id{"u2"}, 4000, at_ms(4000));
        CHECK(found.size() == 2);
        CHECK(suspects.is_refused(poison, at_ms(4001)));
    }
    SECTION("are suspected when abandoned shortly before an unresponsive upstream is found to have crashed") {
        suspects.abandoned(send("r1", "u1"), at_ms(0));
        suspects.abandoned(send("r2", "u2"), at_ms(0));
        suspects.sweep(at_ms(5000));
        suspects.crashed(upstream_id{"u1"}, at_ms(5001));
        suspects.sweep(at_ms(7000));
        suspects.crashed(upstream_id{"u2"}, at_ms(7001));
        CHECK(found.size() == 1);
    }
    SECTION("are cleared by a success at the service whose upstreams they crashed, not at another service") {
        crash("r1", "u1", 0);
        crash("r2", "u2", 0);
        suspects.succeeded(poison, service_id{"other"});
        CHECK(suspects.is_refused(poison, at_ms(10)));
        suspects.succeeded(poison, service_id{"s"});
        CHECK_FALSE(suspects.is_refused(poison, at_ms(10)));
    }
    SECTION("that crash some upstreams of a service and not others stay refused after the third crash") {
        crash("r1", "u1", 0);
        suspects.succeeded(poison, service_id{"s"});
        crash("r2", "u2", 10);
        suspects.succeeded(poison, service_id{"s"});
        CHECK_FALSE(suspects.is_refused(poison, at_ms(20)));
        crash("r3", "u3", 30);
        CHECK(suspects.is_refused(poison, at_ms(40)));
        suspects.succeeded(poison, service_id{"s"});
        CHECK(suspects.is_refused(poison, at_ms(500'000)));
    }
    SECTION("are refused although another upstream answers before each crash is confirmed") {
        for (const auto* at : {"u1", "u2", "u3"}) {
            suspects.connection_broke(send(at, at), at_ms(0));
            suspects.succeeded(poison, service_id{"s"});
            suspects.crashed(upstream_id{at}, at_ms(100));
        }
        REQUIRE(found.size() == 3);
        CHECK(found[0].withdrawn);
        CHECK(suspects.is_refused(poison, at_ms(200)));
    }
    SECTION("are not refused when successes far outnumber the crashes") {
        for (const auto* at : {"u1", "u2", "u3", "u4"}) {
            crash(at, at, 0);
            for (int i = 0; i < 20; ++i) {
                suspects.succeeded(poison, service_id{"s"});
            }
        }
        CHECK_FALSE(suspects.is_refused(poison, at_ms(10)));
    }
    SECTION("are admitted again a minute after two crashes, and refused much longer after a third") {
        crash("r1", "u1", 0);
        crash("r2", "u2", 0);
        CHECK(suspects.is_refused(poison, at_ms(59'000)));
        CHECK_FALSE(suspects.is_refused(poison, at_ms(61'000)));
        crash("r3", "u3", 61'000);
        CHECK(suspects.is_refused(poison, at_ms(600'000)));
    }
    SECTION("are refused for strikes of several instances, and the same crash counts once") {
        crash("r1", "u1", 0);
        CHECK_FALSE(suspects.add_strike(found[0], {}, at_ms(5)));
        CHECK_FALSE(suspects.is_refused(poison, at_ms(10)));
        crash_suspects other{no_clock};
        std::vector<strike> elsewhere;
        other.on_strike([&](const strike& one) { elsewhere.push_back(one); });
        other.connection_broke(send("r2", "u2"), at_ms(0));
        other.crashed(upstream_id{"u2"}, at_ms(1));
        REQUIRE(elsewhere.size() == 1);
        CHECK(suspects.repeated_strikes(poison).empty());
        CHECK(suspects.add_strike(elsewhere[0], {}, at_ms(5)));
        CHECK(suspects.repeated_strikes(poison).size() == 2);
        CHECK(suspects.is_refused(poison, at_ms(10)));
        CHECK_FALSE(suspects.is_refused(poison, at_ms(700'000)));
        CHECK_FALSE(other.add_strike(found[0], seconds{601}, at_ms(5)));
    }
}
