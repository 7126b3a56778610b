#include "eelgrassledge/routing/admission_control.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

/// Queue of the shard that limits a set, used by instances that each run a part of the queries.
class limiting_shard {
  public:
    limiting_shard(bool controlled, double slowness) : controlled_(controlled), slowness_(slowness) {}

    /// Share of the queries that are answered in time within 8 s at this many queries a second.
    auto share_in_time(double queries_per_s) -> double {
        std::mt19937 random{7};
        std::exponential_distribution<double> gap{queries_per_s / 1000};
        std::lognormal_distribution<double> spread{-0.06, 0.35};
        int all = 0;
        int in_time = 0;
        double last = 0;
        for (double now = gap(random); now < 8000; now += gap(random)) {
            backlog_ms_ = std::max(0.0, backlog_ms_ - (now - last));
            last = now;
            ++all;
            auto& instance = instances_.at(random() % INSTANCES);
            if (controlled_ && !admission_control::admits(load(instance, now), 0)) {
                continue;
            }
            auto latency_ms = (backlog_ms_ + COST_MS * slowness_) * spread(random);
            backlog_ms_ += COST_MS * slowness_ / SLOTS;
            for (int shard = 0; shard < SHARDS; ++shard) {
                instance.ended(to_duration(latency_ms), at_ms(std::llround(now)));
            }
            in_time += latency_ms <= LEFT_MS ? 1 : 0;
        }
        return static_cast<double>(in_time) / all;
    }

  private:
    static constexpr std::size_t INSTANCES = 18;
    static constexpr int SHARDS = 90;
    static constexpr double SLOTS = 6;
    static constexpr double COST_MS = 23;
    static constexpr double LEFT_MS = 280;

    static auto to_duration(double ms) -> duration { return microseconds{std::llround(ms * 1000)}; }

    auto load(const admission_control& instance, double now) const -> query_load {
        auto in_flight = INSTANCES * instance.in_flight(at_ms(std::llround(now)));
        return {in_flight / (SHARDS * SLOTS), to_duration(backlog_ms_ + COST_MS * slowness_),
                to_duration(LEFT_MS)};
    }

    bool controlled_;
    double slowness_;
    double backlog_ms_ = 0;
    std::array<admission_control, INSTANCES> instances_;
};

/// Makes the upstreams of a fixture with 20 shards busy with sub-requests that took `latency` each.
auto make_busy(routing_fixture& f, duration latency) -> void {
    const auto& rule = *f.table->find("desk.example", "/gather/1")->gather;
    for (int i = 0; i < 2000; ++i) {
        f.state.admission(rule).ended(latency, at_ms(0));
    }
    for (const auto& shard : rule.shards) {
        for (const auto& u : f.state.upstreams().replicas(shard)) {
            for (int i = 0; i < 20; ++i) {
                u->sent(at_ms(0) - latency);
                u->answered(latency, true, at_ms(0));
            }
        }
    }
}

auto group_of(std::size_t first, std::size_t count) -> shard_group {
    shard_group group;
    for (std::size_t i = 0; i < count; ++i) {
        group.shards.push_back(first + i);
    }
    return group;
}

auto refusal() -> group_outcome {
    group_outcome outcome;
    outcome.end = group_end::refused;
    outcome.retry_after = milliseconds{700};
    return outcome;
}

}  // namespace

// Guards against queries that all queue and all miss the objective when more arrive than can be served.
TEST_CASE("admission control of queries") {
    constexpr double USUAL = 42;
    // A third of the replicas takes five times as long, and the weakest shards have two of them.
    constexpr double SLOWED = 2.1;
    SECTION("keeps most of what can be served in time under four times the usual load") {
        CHECK(limiting_shard{false, SLOWED}.share_in_time(4 * USUAL) < 0.4);
        CHECK(limiting_shard{true, SLOWED}.share_in_time(4 * USUAL) > 0.6);
    }
    SECTION("refuses nothing at the usual load") {
        CHECK(limiting_shard{true, 1}.share_in_time(USUAL) == 1);
        CHECK(limiting_shard{true, SLOWED}.share_in_time(USUAL) == 1);
    }
    SECTION("refuses nothing when upstreams are slow but not busy, or hang while others answer") {
        CHECK(admission_control::admits({0.6, milliseconds{400}, milliseconds{280}}, 0));
        CHECK(admission_control::admits({4, milliseconds{60}, milliseconds{280}}, 0));
        CHECK_FALSE(admission_control::admits({4, milliseconds{200}, milliseconds{280}}, 0));
    }
    SECTION("still admits urgent queries when it refuses others") {
        query_load load{2, milliseconds{170}, milliseconds{280}};
        CHECK_FALSE(admission_control::admits(load, 0));
        CHECK(admission_control::admits(load, 1));
    }
    SECTION("forgets the load within seconds without queries") {
        admission_control control;
        for (int i = 0; i < 1000; ++i) {
            control.ended(milliseconds{200}, at_ms(0));
        }
        CHECK(control.in_flight(at_ms(0)) > 100);
        CHECK(control.in_flight(at_ms(6000)) < 1);
    }
    SECTION("proposes longer waits for longer queues, spread in time and bounded") {
        query_load light{2, milliseconds{200}, milliseconds{280}};
        query_load heavy{2, milliseconds{400}, milliseconds{280}};
        CHECK(admission_control::wait(heavy, 0) > admission_control::wait(light, 0));
        CHECK(admission_control::wait(light, 0.9) > admission_control::wait(light, 0));
        CHECK(admission_control::wait({2, seconds{60}, milliseconds{280}}, 1) <= milliseconds{1500});
    }
}

TEST_CASE("queries over busy shards") {
    routing_fixture f{20};
    auto start = [&] {
        routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
        return query.start(at_ms(0));
    };
    SECTION("are refused as not run when their parts are expected too late") {
        make_busy(f, milliseconds{300});
        auto refused = start();
        REQUIRE(refused.answer);
        CHECK(refused.answer->code == result_code::overloaded);
        CHECK(refused.sends.empty());
        CHECK(refused.answer->retry_after > f.state.policy().retry_after);
    }
    SECTION("are sent when their parts are expected in time") {
        make_busy(f, milliseconds{20});
        CHECK(start().sends.size() == 20);
    }
}

// Guards against refusals that are not true, and against queries that no instance would answer in time.
TEST_CASE("queries that another instance refuses") {
    routing_fixture f{20};
    auto make_query = [&] {
        auto setup = f.setup("/gather/1");
        setup.groups = {group_of(15, 5), group_of(0, 15)};
        return routed_query{f.state, setup, f.next_attempt};
    };
    SECTION("alone are refused as not run, with the wait that it proposes") {
        auto setup = f.setup("/gather/1");
        setup.groups = {group_of(0, 20)};
        routed_query query{f.state, setup, f.next_attempt};
        auto started = query.start(at_ms(0));
        REQUIRE(started.group_sends.size() == 1);
        auto ended = query.group_ended(started.group_sends[0].call, refusal(), at_ms(2));
        REQUIRE(ended.answer);
        CHECK(ended.answer->code == result_code::overloaded);
        CHECK(ended.answer->retry_after >= milliseconds{700});
    }
    SECTION("while others may run their shards do not count as not run") {
        auto query = make_query();
        auto started = query.start(at_ms(0));
        REQUIRE(started.group_sends.size() == 2);
        auto ended = query.group_ended(started.group_sends[1].call, refusal(), at_ms(2));
        REQUIRE(ended.answer);
        CHECK(describe(ended.answer->code).state != run_state::not_run);
    }
    SECTION("soon after another refusal wait for the instance with most of the shards") {
        f.state.admission(*f.table->find("desk.example", "/gather/1")->gather).refused(at_ms(-500));
        auto query = make_query();
        auto started = query.start(at_ms(0));
        REQUIRE(started.group_sends.size() == 1);
        CHECK(started.group_sends[0].group.shards.size() == 15);
        auto leading = started.group_sends[0].call;
        SECTION("and are refused truly") {
            auto ended = query.group_ended(leading, refusal(), at_ms(2));
            REQUIRE(ended.answer);
            CHECK(ended.answer->code == result_code::overloaded);
        }
        SECTION("and go on when it takes its shards") {
            CHECK(query.group_taken(leading, at_ms(2)).group_sends.size() == 1);
            CHECK(query.group_taken(leading, at_ms(3)).group_sends.empty());
        }
        SECTION("and go on when it does not answer") {
            auto ended = query.group_ended(leading, group_outcome{}, at_ms(20));
            CHECK_FALSE(ended.answer);
            CHECK(ended.group_sends.size() == 1);
        }
    }
}
