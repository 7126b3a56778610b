#include "eelgrassledge/routing/stop_schedule.hpp"

#include <catch2/catch.hpp>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

constexpr duration GRACE = seconds{6};

auto make_route(repeat_policy repeat) -> route {
    route r;
    r.repeat = repeat;
    r.latency_objective = milliseconds{600};
    r.timeout = milliseconds{5000};
    return r;
}

}  // namespace

TEST_CASE("requests that arrive during a planned stop") {
    stop_schedule schedule{at_ms(0), GRACE};
    SECTION("end within the grace period, whenever they arrive (report of a planned stop in calm)") {
        // Callers send on connections that they hold open, until the process exits. Each request takes four
        // times its objective, which is longer than any request of a calm day.
        auto once = make_route(repeat_policy::at_most_once);
        std::size_t taken = 0;
        for (std::int64_t ms = 0; at_ms(ms) < schedule.last_exit(); ms += 20) {
            if (schedule.admits(once, at_ms(ms + 6000), at_ms(ms))) {
                ++taken;
                CHECK(at_ms(ms) + 4 * once.latency_objective <= schedule.last_answer());
            }
        }
        // The balancer notices the stop after up to 2.3 s; until then refusals would return here.
        CHECK(taken >= 2300 / 20);
    }
    SECTION("are taken for longer when they may be repeated") {
        CHECK(schedule.admits(make_route(repeat_policy::idempotent), at_ms(9000), at_ms(3900)));
        CHECK_FALSE(schedule.admits(make_route(repeat_policy::at_most_once), at_ms(9000), at_ms(3900)));
        CHECK_FALSE(schedule.admits(make_route(repeat_policy::idempotent), at_ms(9000), at_ms(4500)));
    }
    SECTION("are taken later when their caller or their route waits for a short time only") {
        auto once = make_route(repeat_policy::at_most_once);
        CHECK(schedule.admits(once, at_ms(5100), at_ms(4900)));
        once.timeout = milliseconds{200};
        CHECK(schedule.admits(once, at_ms(9000), at_ms(4900)));
    }
    SECTION("are answered before the process exits, and it exits before it is killed") {
        CHECK(schedule.last_answer() < schedule.last_exit());
        CHECK(schedule.last_exit() < at_ms(0) + GRACE);
    }
}

TEST_CASE("a query that runs when the instance stops") {
    routing_fixture f;
    routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
    auto started = query.start(at_ms(0));
    REQUIRE(started.sends.size() == 4);
    query.limit_deadline(at_ms(30));
    CHECK(query.next_wakeup() <= at_ms(30));
    SECTION("is answered with the parts that it has") {
        for (std::size_t i = 0; i < 3; ++i) {
            query.ended(started.sends[i].attempt, good_answer("sig" + std::to_string(i)), at_ms(20));
        }
        auto last = query.advance(at_ms(30));
        REQUIRE(last.answer);
        CHECK(last.answer->code == result_code::ok);
        CHECK(last.answer->missing_parts == 1);
    }
    SECTION("is answered as failed if it has too few, and not as not run") {
        auto last = query.advance(at_ms(30));
        REQUIRE(last.answer);
        CHECK(last.answer->code == result_code::upstream_timeout);
        CHECK(last.cancels.size() == 4);
    }
}
