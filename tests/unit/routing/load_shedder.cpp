#include "eelgrassledge/routing/load_shedder.hpp"

#include <catch2/catch.hpp>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

TEST_CASE("a load shedder") {
    load_shedder shedder;
    SECTION("admits all queries before an overload signal") {
        CHECK(shedder.admits(0, 0.999, at_ms(0)));
        shedder.finished(load_signal::in_time, at_ms(1));
        shedder.finished(load_signal::unclear, at_ms(2));
        CHECK(shedder.admitted_share(at_ms(2)) == 1);
    }
    SECTION("admits fewer queries with each overload signal, but always some, and more urgent ones") {
        for (int i = 0; i < 8; ++i) {
            shedder.finished(load_signal::overloaded, at_ms(i));
        }
        auto share = shedder.admitted_share(at_ms(8));
        CHECK(share < 0.5);
        CHECK_FALSE(shedder.admits(0, 0.5, at_ms(8)));
        CHECK(shedder.admits(1, 0.5, at_ms(8)));
        for (int i = 0; i < 100; ++i) {
            shedder.finished(load_signal::overloaded, at_ms(8));
        }
        CHECK(shedder.admitted_share(at_ms(8)) >= 0.2);
    }
    SECTION("recovers through queries in time or through elapsed time alone") {
        for (int i = 0; i < 8; ++i) {
            shedder.finished(load_signal::overloaded, at_ms(0));
        }
        auto low = shedder.admitted_share(at_ms(0));
        load_shedder idle = shedder;
        for (int i = 0; i < 10; ++i) {
            shedder.finished(load_signal::in_time, at_ms(0));
        }
        CHECK(shedder.admitted_share(at_ms(0)) > low);
        CHECK(idle.admitted_share(at_ms(20'000)) == 1);
    }
    SECTION("proposes longer waits when less is admitted, shorter for urgent queries, with jitter") {
        CHECK(shedder.extra_wait(0, 0.5, at_ms(0)) == duration{});
        shedder.finished(load_signal::overloaded, at_ms(0));
        auto light = shedder.extra_wait(0, 0.5, at_ms(0));
        for (int i = 0; i < 8; ++i) {
            shedder.finished(load_signal::overloaded, at_ms(0));
        }
        auto heavy = shedder.extra_wait(0, 0.5, at_ms(0));
        CHECK(light > duration{});
        CHECK(heavy > 3 * light);
        CHECK(shedder.extra_wait(1, 0.5, at_ms(0)) < heavy);
        CHECK(shedder.extra_wait(0, 0.0, at_ms(0)) < heavy);
        CHECK(shedder.extra_wait(0, 0.99, at_ms(0)) > heavy);
    }
}

TEST_CASE("queries over shards that have no room") {
    // Regression: at three times the usual load only one query in seven was answered in time, because all
    // queries were sent to the upstreams and all were queued.
    routing_fixture f{20};
    auto full = ended_as(attempt_end::not_run);
    full.is_full = true;
    full.reply.status = 503;
    auto run_overloaded = [&] {
        routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
        auto started = query.start(at_ms(0));
        for (std::size_t i = 0; i < 10; ++i) {
            query.ended(started.sends[i].attempt, full, at_ms(5));
        }
        return query.advance(at_ms(990));
    };
    auto setup_later = [&] {
        auto setup = f.setup("/gather/1", 2000);
        setup.received = at_ms(1000);
        return setup;
    };
    SECTION("are refused as not run without sending a sub-request") {
        for (int i = 0; i < 10; ++i) {
            run_overloaded();
        }
        f.random_value = 0.9;
        routed_query query{f.state, setup_later(), f.next_attempt};
        auto refused = query.start(at_ms(1000));
        REQUIRE(refused.answer);
        CHECK(refused.answer->code == result_code::overloaded);
        CHECK(describe(refused.answer->code).state == run_state::not_run);
        CHECK(refused.answer->retry_after > duration{});
        CHECK(refused.sends.empty());
        CHECK(refused.group_sends.empty());
        REQUIRE(refused.notes.size() == 1);
        CHECK(refused.notes[0].event == "shed");
        CHECK(refused.notes[0].reason == "not_urgent");
    }
    SECTION("that are queued behind earlier ones also signal overload, unless no sub-request ends") {
        auto upstreams_answer = GENERATE(true, false);
        for (const auto* zone : {"a", "b"}) {
            for (int i = 0; i < 20; ++i) {
                auto upstream = f.state.upstreams().find(upstream_id{"s" + std::to_string(i) + zone});
                upstream->limit_in_flight(1);
                upstream->sent(at_ms(-20));
                upstream->sent(at_ms(0));
                upstream->sent(at_ms(0));
                if (upstreams_answer) {
                    upstream->answered(milliseconds{50}, true, at_ms(30));
                }
            }
        }
        routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
        query.start(at_ms(0));
        query.advance(at_ms(990));
        const auto& rule = *f.table->find("desk.example", "/gather/1")->gather;
        CHECK((f.state.shedder(rule).admitted_share(at_ms(990)) < 1) == upstreams_answer);
    }
    SECTION("give no overload signal when upstreams with capacity are late or fail") {
        for (int i = 0; i < 10; ++i) {
            routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
            auto started = query.start(at_ms(0));
            for (std::size_t k = 0; k < 5; ++k) {
                query.ended(started.sends[k].attempt, ended_as(attempt_end::unclear), at_ms(5));
            }
            query.advance(at_ms(990));
        }
        f.random_value = 0.999;
        routed_query query{f.state, setup_later(), f.next_attempt};
        CHECK_FALSE(query.start(at_ms(1000)).answer);
    }
    SECTION("are not hedged, since a hedge would take capacity from other queries") {
        for (int i = 0; i < 3; ++i) {
            run_overloaded();
        }
        routed_query query{f.state, setup_later(), f.next_attempt};
        query.start(at_ms(1000));
        auto overdue = query.advance(at_ms(1040));
        CHECK(overdue.sends.empty());
        REQUIRE_FALSE(overdue.notes.empty());
        CHECK(overdue.notes[0].event == "hedge_denied");
        CHECK(overdue.notes[0].reason == "overload");
    }
    SECTION("do not cause refusal of parts of queries that another instance admitted") {
        for (int i = 0; i < 10; ++i) {
            run_overloaded();
        }
        f.random_value = 0.9;
        auto setup = f.setup("/gather/1");
        setup.only_shards = {0, 1};
        setup.answer_by = at_ms(80);
        routed_query part{f.state, setup, f.next_attempt};
        CHECK(part.start(at_ms(0)).sends.size() == 2);
    }
}
