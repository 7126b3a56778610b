#include "eelgrassledge/routing/routed_query.hpp"

#include <catch2/catch.hpp>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

/// Answers all sends except those to the services in `left_out`; the signature is derived from the service
/// name.
auto answer_all(routed_query& query, const std::vector<send_order>& sends, std::int64_t ms,
                const std::vector<std::string>& left_out = {}) -> query_actions {
    query_actions last;
    for (const auto& order : sends) {
        auto service = order.to->record().service.value();
        if (std::find(left_out.begin(), left_out.end(), service) == left_out.end()) {
            last = query.ended(order.attempt, good_answer("sig-" + service, service + "-records-----!!"),
                               at_ms(ms));
        }
    }
    return last;
}

}  // namespace

TEST_CASE("query over shards whose upstreams want no requests for some time") {
    routing_fixture f;
    auto pause = [&](const std::string& id, std::int64_t ms) {
        f.state.upstreams().find(upstream_id{id})->pause(milliseconds{ms}, at_ms(0));
    };
    routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
    SECTION("is sent to the other replicas") {
        pause("s0a", 2000);
        pause("s1a", 2000);
        auto started = query.start(at_ms(0));
        REQUIRE(started.sends.size() == 4);
        CHECK(started.sends[0].to->id() == upstream_id{"s0b"});
        CHECK(started.sends[1].to->id() == upstream_id{"s1b"});
    }
    SECTION("leaves out one shard if the others suffice") {
        pause("s0a", 2000);
        pause("s0b", 2000);
        CHECK(query.start(at_ms(0)).sends.size() == 3);
    }
    SECTION("is refused at once if the others do not suffice, until enough may be sent to again") {
        // Three of four shards are required; s1 is the second shard that is available again, in 800 ms.
        pause("s0a", 2000);
        pause("s0b", 1500);
        pause("s1a", 900);
        pause("s1b", 800);
        auto started = query.start(at_ms(0));
        CHECK(started.sends.empty());
        REQUIRE(started.answer);
        CHECK(started.answer->code == result_code::upstream_shedding);
        auto wait = started.answer->retry_after;
        CHECK(wait >= milliseconds{800});
        CHECK(wait <= milliseconds{900});
        routed_query later{f.state, f.setup("/gather/1"), f.next_attempt};
        CHECK(later.start(at_ms(0) + wait).sends.size() == 3);
    }
    SECTION("on a route to one service is refused in the same way") {
        pause("s0a", 700);
        pause("s0b", 1500);
        routed_query one{f.state, f.setup("/one/1"), f.next_attempt};
        auto started = one.start(at_ms(0));
        REQUIRE(started.answer);
        CHECK(started.answer->code == result_code::upstream_shedding);
        CHECK(started.answer->retry_after >= milliseconds{700});
    }
    SECTION("is reported as unreachable if no upstream comes back") {
        for (const auto* id : {"s0a", "s0b", "s1a", "s1b"}) {
            f.state.upstreams().find(upstream_id{id})->leave(at_ms(0));
        }
        auto started = query.start(at_ms(0));
        REQUIRE(started.answer);
        CHECK(started.answer->code == result_code::upstream_unreachable);
    }
}

TEST_CASE("query over shards") {
    routing_fixture f;
    routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
    auto started = query.start(at_ms(0));
    REQUIRE(started.sends.size() == 4);

    SECTION("is sent to the replicas in this zone and is complete when all parts are received") {
        for (const auto& order : started.sends) {
            CHECK(order.to->record().zone == zone_id{"a"});
            CHECK_FALSE(order.fresh_connection);
        }
        auto last = answer_all(query, started.sends, 20);
        REQUIRE(last.answer);
        CHECK(last.answer->code == result_code::ok);
        CHECK(last.answer->missing_parts == 0);
        CHECK(last.answer->part_signatures.size() == 4);
        CHECK(last.answer->merged.size() == 3 * 16);
        CHECK(last.answer->merged.substr(0, 2) == "s3");
    }
    SECTION("hedges an overdue shard to the other replica and cancels the slower sub-request") {
        answer_all(query, started.sends, 20, {"s2"});
        CHECK(query.next_wakeup() == at_ms(40));
        auto hedged = query.advance(at_ms(40));
        REQUIRE(hedged.sends.size() == 1);
        CHECK(hedged.sends[0].to->id() == upstream_id{"s2b"});
        auto last = query.ended(hedged.sends[0].attempt, good_answer("late"), at_ms(50));
        REQUIRE(last.answer);
        CHECK(last.answer->missing_parts == 0);
        REQUIRE(last.cancels.size() == 1);
    }
    SECTION("is answered without a late shard just before the objective and reports the missing shard") {
        answer_all(query, started.sends, 20, {"s2"});
        query.advance(at_ms(40));
        // The hedge is overdue as well, and there is no third replica.
        CHECK(query.advance(at_ms(80)).sends.empty());
        CHECK(query.next_wakeup() == at_ms(90));
        auto last = query.advance(at_ms(90));
        REQUIRE(last.answer);
        CHECK(last.answer->first_part_after == milliseconds{20});
        CHECK(last.answer->enough_parts_after == milliseconds{20});
        CHECK(last.answer->code == result_code::ok);
        CHECK(last.answer->missing_parts == 1);
        CHECK(last.answer->missing_shards == std::vector<service_id>{service_id{"s2"}});
        CHECK(last.cancels.size() == 2);
    }
    SECTION("waits beyond the objective for the required parts, then answers with those received") {
        answer_all(query, started.sends, 20, {"s1", "s2"});
        CHECK_FALSE(query.advance(at_ms(90)).answer);
        auto open = query.advance(at_ms(120));
        CHECK_FALSE(open.answer);
        query.ended(started.sends[1].attempt, good_answer("sig"), at_ms(150));
        auto last = query.advance(at_ms(200));
        REQUIRE(last.answer);
        CHECK(last.answer->missing_parts == 1);
    }
    SECTION("fails at the deadline when too few parts were received") {
        answer_all(query, started.sends, 20, {"s1", "s2"});
        auto last = query.advance(at_ms(990));
        REQUIRE(last.answer);
        CHECK(last.answer->code == result_code::upstream_timeout);
        CHECK(last.answer->first_part_after == milliseconds{20});
        CHECK_FALSE(last.answer->enough_parts_after);
    }
    SECTION("does not count a failure answer as a part and retries on the other replica") {
        auto failure = good_answer("signed failure");
        failure.reply.status = 500;
        auto retried = query.ended(started.sends[0].attempt, failure, at_ms(5));
        REQUIRE(retried.sends.size() == 1);
        CHECK(retried.sends[0].to->id() == upstream_id{"s0b"});
        auto second_failure = query.ended(retried.sends[0].attempt, failure, at_ms(8));
        CHECK(second_failure.sends.empty());
        auto last = answer_all(query, started.sends, 20, {"s0"});
        REQUIRE(last.answer);
        CHECK(last.answer->missing_parts == 1);
    }
    SECTION("never runs on more upstreams of a shard than the route allows") {
        auto first = query.ended(started.sends[0].attempt, ended_as(attempt_end::unclear), at_ms(5));
        REQUIRE(first.sends.size() == 1);
        CHECK(query.ended(first.sends[0].attempt, ended_as(attempt_end::unclear), at_ms(9)).sends.empty());
    }
    SECTION("stops sending a request that has more broken connections than received parts") {
        std::size_t sends = 0;
        for (const auto& order : started.sends) {
            sends += query.ended(order.attempt, ended_as(attempt_end::unclear), at_ms(5)).sends.size();
        }
        CHECK(sends == 2);
    }
    SECTION("cancels all sub-requests when the caller disconnects") {
        CHECK(query.abandon(at_ms(10)).cancels.size() == 4);
        CHECK_FALSE(query.advance(at_ms(2000)).answer);
    }
}

TEST_CASE("query over shards with limited replicas or budget") {
    routing_fixture f;
    SECTION("is refused as not run when too few shards have a replica") {
        for (const auto* id : {"s0a", "s0b", "s1a", "s1b"}) {
            f.state.upstreams().find(upstream_id{id})->leave(at_ms(0));
        }
        routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
        auto out = query.start(at_ms(0));
        REQUIRE(out.answer);
        CHECK(out.sends.empty());
        CHECK(out.answer->code == result_code::upstream_unreachable);
    }
    SECTION("sends nothing to an evacuated zone") {
        f.state.upstreams().evacuate(zone_id{"a"});
        routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
        for (const auto& order : query.start(at_ms(0)).sends) {
            CHECK(order.to->record().zone == zone_id{"b"});
        }
    }
    SECTION("does not retry without a budget") {
        routing_fixture no_budget{4, 0, 0};
        routed_query query{no_budget.state, no_budget.setup("/gather/1"), no_budget.next_attempt};
        auto started = query.start(at_ms(0));
        auto out = query.ended(started.sends[0].attempt, ended_as(attempt_end::unclear), at_ms(5));
        CHECK(out.sends.empty());
        CHECK(query.advance(at_ms(60)).sends.empty());
    }
    SECTION("retries without a budget when the connection could not be opened") {
        routing_fixture no_budget{4, 0, 0};
        routed_query query{no_budget.state, no_budget.setup("/gather/1"), no_budget.next_attempt};
        auto started = query.start(at_ms(0));
        CHECK(query.ended(started.sends[0].attempt, ended_as(attempt_end::not_sent), at_ms(5)).sends.size() ==
              1);
    }
}

TEST_CASE("query whose shards another instance merges") {
    routing_fixture f;
    auto setup = f.setup("/gather/1");
    setup.groups = {{{instance_id{"peer"}, zone_id{"b"}, "127.0.0.1:2", 1}, {2, 3}}};
    routed_query query{f.state, setup, f.next_attempt};
    auto started = query.start(at_ms(0));
    REQUIRE(started.sends.size() == 2);
    REQUIRE(started.group_sends.size() == 1);
    CHECK(started.group_sends[0].answer_by < at_ms(90));
    auto call = started.group_sends[0].call;
    answer_all(query, started.sends, 20);

    SECTION("merges the records of the other instance with its own") {
        group_outcome outcome{group_end::answered, {2, 3}, {"x", "y"}, {}, std::string(32, 'z'), ""};
        auto last = query.group_ended(call, outcome, at_ms(30));
        REQUIRE(last.answer);
        CHECK(last.answer->missing_parts == 0);
        CHECK(last.answer->merged.substr(0, 32) == std::string(32, 'z'));
        CHECK(last.answer->part_signatures.size() == 4);
    }
    SECTION("resends a shard whose part is missing only if an attempt is left") {
        group_outcome outcome{group_end::answered, {}, {}, {3}, "", ""};
        auto out = query.group_ended(call, outcome, at_ms(30));
        REQUIRE(out.sends.size() == 1);
        CHECK(out.sends[0].to->record().service == service_id{"s3"});
        // One attempt was used by the other instance and one here, so none is left. Regression: the budget
        // check failed in the run ezdrave-grown trouble-1.
        CHECK(query.ended(out.sends[0].attempt, ended_as(attempt_end::unclear), at_ms(40)).sends.empty());
    }
    SECTION("sends the shards itself when the other instance did not process the request") {
        group_outcome outcome{group_end::not_taken, {}, {}, {}, "", ""};
        CHECK(query.group_ended(call, outcome, at_ms(5)).sends.size() == 2);
    }
    SECTION("resends nothing when the other instance may have used all attempts") {
        group_outcome outcome{group_end::silent, {}, {}, {}, "", ""};
        auto out = query.group_ended(call, outcome, at_ms(60));
        CHECK(out.sends.empty());
        REQUIRE(out.answer);
        CHECK(out.answer->code == result_code::upstream_failed);
    }
    // Regression: found by the property test.
    SECTION("is not reported as not run while the other instance may be running its shards") {
        routed_query other{f.state, setup, f.next_attempt};
        auto sends = other.start(at_ms(0)).sends;
        other.ended(sends[0].attempt, ended_as(attempt_end::not_sent), at_ms(1));
        query_actions last;
        for (const auto* id : {"s0b", "s1b"}) {
            f.state.upstreams().find(upstream_id{id})->leave(at_ms(0));
        }
        routed_query third{f.state, setup, f.next_attempt};
        for (const auto& order : third.start(at_ms(1)).sends) {
            last = third.ended(order.attempt, ended_as(attempt_end::not_sent), at_ms(2));
        }
        REQUIRE(last.answer);
        CHECK(last.answer->code == result_code::upstream_failed);
    }
    SECTION("cancels the call to the other instance when the caller disconnects") {
        CHECK(query.abandon(at_ms(25)).group_cancels == std::vector<attempt_id>{call});
    }
}

TEST_CASE("part of another instance's query") {
    routing_fixture f;
    auto setup = f.setup("/gather/1");
    setup.only_shards = {1, 3};
    setup.answer_by = at_ms(70);
    routed_query query{f.state, setup, f.next_attempt};
    auto started = query.start(at_ms(0));
    REQUIRE(started.sends.size() == 2);
    query.ended(started.sends[1].attempt, good_answer("three"), at_ms(10));
    auto last = query.advance(at_ms(70));
    REQUIRE(last.answer);
    CHECK(last.answer->parts == std::vector<std::size_t>{3});
    CHECK(last.answer->open_shards.empty());
}

TEST_CASE("request that may run at most once") {
    routing_fixture f;
    routed_query query{f.state, f.setup("/once/1"), f.next_attempt};
    auto started = query.start(at_ms(0));
    REQUIRE(started.sends.size() == 1);
    CHECK(started.sends[0].fresh_connection);
    auto attempt = started.sends[0].attempt;

    SECTION("is not sent again once it may have run") {
        auto out = query.ended(attempt, ended_as(attempt_end::unclear), at_ms(5));
        CHECK(out.sends.empty());
        REQUIRE(out.answer);
        CHECK(out.answer->code == result_code::outcome_unknown);
    }
    SECTION("is never hedged, but other requests avoid its upstream while it is overdue") {
        CHECK(query.advance(at_ms(500)).sends.empty());
        CHECK(started.sends[0].to->preference_at(at_ms(500)) == preference::degraded);
    }
    SECTION("is sent to another upstream after a refusal as not run") {
        auto out = query.ended(attempt, ended_as(attempt_end::not_run), at_ms(5));
        REQUIRE(out.sends.size() == 1);
        auto second = query.ended(out.sends[0].attempt, ended_as(attempt_end::not_sent), at_ms(9));
        REQUIRE(second.answer);
        CHECK(second.answer->code == result_code::upstream_unreachable);
    }
    SECTION("forwards a failure answer of its upstream") {
        auto failure = good_answer("sig", "body");
        failure.reply.status = 500;
        auto out = query.ended(attempt, failure, at_ms(5));
        REQUIRE(out.answer);
        REQUIRE(out.answer->reply);
        CHECK(out.answer->reply->status == 500);
        CHECK(out.answer->reply->signature == "sig");
    }
    SECTION("ends with an unknown outcome at its deadline") {
        auto out = query.advance(at_ms(990));
        REQUIRE(out.answer);
        CHECK(out.answer->code == result_code::outcome_unknown);
        CHECK(out.cancels.size() == 1);
    }
}

TEST_CASE("weighted split") {
    routing_fixture f;
    route r = *f.table->find("desk.example", "/one/1");
    r.targets = {{service_id{"s0"}, 3}, {service_id{"s1"}, 1}};
    auto chosen = [&](double random) {
        f.random_value = random;
        auto setup = f.setup("/one/1");
        setup.matched = &r;
        routed_query query{f.state, setup, f.next_attempt};
        return query.start(at_ms(0)).sends.at(0).to->record().service.value();
    };
    CHECK(chosen(0.0) == "s0");
    CHECK(chosen(0.74) == "s0");
    CHECK(chosen(0.76) == "s1");
    CHECK(chosen(0.9999) == "s1");
}

TEST_CASE("a query that turns out to crash upstreams while it runs") {
    routing_fixture f;
    auto is_suspect = false;
    auto setup = f.setup("/one/1");
    setup.is_suspect = [&] { return is_suspect; };
    SECTION("is not sent again after a broken connection") {
        routed_query query{f.state, setup, f.next_attempt};
        auto started = query.start(at_ms(0));
        REQUIRE(started.sends.size() == 1);
        is_suspect = true;
        auto last = query.ended(started.sends[0].attempt, ended_as(attempt_end::unclear), at_ms(5));
        CHECK(last.sends.empty());
        REQUIRE(last.answer);
        CHECK(last.answer->code == result_code::upstream_failed);
    }
    SECTION("is not hedged") {
        routed_query query{f.state, setup, f.next_attempt};
        REQUIRE(query.start(at_ms(0)).sends.size() == 1);
        is_suspect = true;
        CHECK(query.advance(at_ms(40)).sends.empty());
    }
    SECTION("is not sent by this instance when another instance did not process its part") {
        auto parts = f.setup("/gather/1");
        parts.is_suspect = setup.is_suspect;
        parts.groups = {{{instance_id{"b-1"}, zone_id{"b"}, "127.0.0.1:1", 1}, {0, 1, 2, 3}}};
        routed_query query{f.state, parts, f.next_attempt};
        auto started = query.start(at_ms(0));
        REQUIRE(started.group_sends.size() == 1);
        is_suspect = true;
        group_outcome outcome;
        outcome.end = group_end::not_taken;
        auto last = query.group_ended(started.group_sends[0].call, outcome, at_ms(5));
        CHECK(last.sends.empty());
        REQUIRE(last.answer);
        CHECK(last.answer->code == result_code::upstream_unreachable);
    }
}
