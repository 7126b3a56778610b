// Whether a broker's refusal states truly that a sub-request has not run.

#include <catch2/catch.hpp>

#include "fake_broker.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

// Guards against refusals of sub-requests that the broker has sent before: the entry takes them for "not
// run".
TEST_CASE("a broker that refuses a sub-request after it had sent it says that it may have run") {
    broker_fixture b;
    b.make_warm();
    b.submit(1);
    b.now = at_ms(2);
    b.submit(2);
    SECTION("when it was preempted and the upstream leaves") {
        b.submit(3, lane::priority);
        b.finish(2, 1, result_code::cancelled);
        b.finish(3, 1, result_code::upstream_leaving);
    }
    SECTION("when it was preempted, sent again and refused by the upstream") {
        b.submit(3, lane::priority);
        b.finish(2, 1, result_code::cancelled);
        b.finish(3);
        b.finish(2, 1, result_code::upstream_shedding);
    }
    SECTION("when its connection was unresponsive and the upstream leaves") {
        b.now = at_ms(20);
        b.finish(1, 1, result_code::upstream_leaving);
        b.advance_to(140);
    }
    auto answer = b.answer_to(2);
    REQUIRE(answer);
    CHECK(describe(answer->code).state == run_state::not_run);
    CHECK(answer->earlier_send_may_have_run);
}

TEST_CASE("a broker that refuses a sub-request that has not run says so") {
    broker_fixture b;
    b.make_warm();
    b.submit(1);
    b.submit(2);
    b.submit(3);
    SECTION("when it was never sent") {
        b.finish(1, 1, result_code::upstream_leaving);
        CHECK_FALSE(b.answer_to(3).value().earlier_send_may_have_run);
    }
    SECTION("when the upstream refused it, also after another refusal of an earlier send") {
        b.finish(2, 1, result_code::upstream_shedding);
        CHECK_FALSE(b.answer_to(2).value().earlier_send_may_have_run);
        CHECK(b.answer_to(2)->code == result_code::upstream_shedding);
    }
}
