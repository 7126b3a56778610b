// What a query answers after failures of its upstreams: whether the caller may conclude that it has not run.

#include <algorithm>
#include <catch2/catch.hpp>

#include "eelgrassledge/proxy/caller_answers.hpp"
#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

auto failure_with(int status) -> attempt_outcome {
    auto failure = good_answer("signature", "body");
    failure.reply.status = status;
    return failure;
}

auto has_note(const query_actions& actions, const std::string& event, const std::string& reason) -> bool {
    return std::any_of(actions.notes.begin(), actions.notes.end(),
                       [&](const query_note& note) { return note.event == event && note.reason == reason; });
}

}  // namespace

// Guards against a failure that the caller takes for the promise that its request has not run: it repeats
// the request, which then runs twice.
TEST_CASE("a failure whose status states that the request has not run is not passed on") {
    for (const auto* path : {"/once/1", "/one/1"}) {
        for (int status : {503, 429, 408, 421}) {
            INFO(path << " " << status);
            routing_fixture f;
            routed_query query{f.state, f.setup(path), f.next_attempt};
            auto out = query.start(at_ms(0));
            for (std::int64_t ms = 5; !out.answer; ms += 5) {
                REQUIRE(out.sends.size() == 1);
                out = query.ended(out.sends[0].attempt, failure_with(status), at_ms(ms));
            }
            CHECK(out.answer->code == result_code::upstream_failed);
            CHECK_FALSE(out.answer->reply);
            CHECK(has_note(out, "answer_withheld", "not_run_status"));
        }
    }
}

// Guards against a success without a signature that the caller takes for one of the upstream: its line was
// spoiled on the way, and so may be the rest of the answer.
TEST_CASE("a success without a signature is not passed on") {
    for (const auto* path : {"/once/1", "/one/1"}) {
        for (int status : {200, 204, 299}) {
            INFO(path << " " << status);
            auto unsigned_success = failure_with(status);
            unsigned_success.reply.signature.clear();
            routing_fixture f;
            routed_query query{f.state, f.setup(path), f.next_attempt};
            auto out = query.start(at_ms(0));
            for (std::int64_t ms = 5; !out.answer; ms += 5) {
                REQUIRE(out.sends.size() == 1);
                out = query.ended(out.sends[0].attempt, unsigned_success, at_ms(ms));
            }
            CHECK(out.answer->code == result_code::upstream_failed);
            CHECK_FALSE(out.answer->reply);
            CHECK(has_note(out, "answer_withheld", "unsigned_success"));
        }
    }
}

TEST_CASE("a request that may have run is not answered as not run after a last refusal") {
    routing_fixture f;
    routed_query query{f.state, f.setup("/one/1"), f.next_attempt};
    auto first = query.start(at_ms(0)).sends.at(0).attempt;
    query_actions last;
    SECTION("when an earlier attempt was answered with a failure") {
        auto second = query.ended(first, failure_with(500), at_ms(5)).sends.at(0).attempt;
        last = query.ended(second, ended_as(attempt_end::not_run), at_ms(10));
    }
    SECTION("when the connection of an earlier attempt broke") {
        auto second = query.ended(first, ended_as(attempt_end::unclear), at_ms(5)).sends.at(0).attempt;
        last = query.ended(second, ended_as(attempt_end::not_sent), at_ms(10));
    }
    SECTION("when its hedge is refused last") {
        auto hedge = query.advance(at_ms(40)).sends.at(0).attempt;
        CHECK_FALSE(query.ended(first, failure_with(503), at_ms(45)).answer);
        last = query.ended(hedge, ended_as(attempt_end::not_run), at_ms(50));
    }
    SECTION("when it is refused after its hedge failed") {
        auto hedge = query.advance(at_ms(40)).sends.at(0).attempt;
        CHECK_FALSE(query.ended(hedge, failure_with(429), at_ms(45)).answer);
        last = query.ended(first, ended_as(attempt_end::not_run), at_ms(50));
    }
    while (!last.answer) {
        REQUIRE(last.sends.size() == 1);
        last = query.ended(last.sends[0].attempt, ended_as(attempt_end::not_run), at_ms(60));
    }
    CHECK_FALSE(last.answer->reply);
    CHECK_FALSE(is_not_run(last.answer->code));
}

TEST_CASE("a request at its deadline or at the end of a planned stop is not answered as not run") {
    for (const auto* path : {"/once/1", "/one/1", "/gather/1"}) {
        INFO(path);
        routing_fixture f;
        routed_query query{f.state, f.setup(path), f.next_attempt};
        REQUIRE_FALSE(query.start(at_ms(0)).sends.empty());
        query.limit_deadline(at_ms(300));
        CHECK_FALSE(query.advance(at_ms(299)).answer);
        auto last = query.advance(at_ms(300));
        REQUIRE(last.answer);
        CHECK_FALSE(is_not_run(last.answer->code));
        CHECK_FALSE(last.cancels.empty());
    }
}

TEST_CASE("a query over shards is not answered as not run after failures of its upstreams") {
    routing_fixture f;
    auto setup = f.setup("/gather/1");
    SECTION("of this instance") {
        routed_query query{f.state, setup, f.next_attempt};
        auto out = query.start(at_ms(0));
        auto pending = out.sends;
        for (std::int64_t ms = 5; !out.answer; ms += 5) {
            REQUIRE_FALSE(pending.empty());
            out = query.ended(pending.back().attempt, failure_with(503), at_ms(ms));
            pending.pop_back();
            pending.insert(pending.end(), out.sends.begin(), out.sends.end());
        }
        CHECK_FALSE(is_not_run(out.answer->code));
    }
    SECTION("of another instance, which has run the shards, or of both in turn") {
        setup.groups = {{{instance_id{"b-1"}, zone_id{"b"}, "127.0.0.1:1", 1}, {0, 1, 2, 3}}};
        for (auto end : {group_end::failed, group_end::silent, group_end::answered}) {
            routed_query query{f.state, setup, f.next_attempt};
            auto call = query.start(at_ms(0)).group_sends.at(0).call;
            group_outcome outcome;
            outcome.end = end;
            outcome.open_shards = {0, 1, 2, 3};
            auto out = query.group_ended(call, outcome, at_ms(5));
            auto pending = out.sends;
            while (!out.answer) {
                REQUIRE_FALSE(pending.empty());
                out = query.ended(pending.back().attempt, ended_as(attempt_end::not_run), at_ms(10));
                pending.pop_back();
                pending.insert(pending.end(), out.sends.begin(), out.sends.end());
            }
            CHECK_FALSE(is_not_run(out.answer->code));
        }
    }
}
