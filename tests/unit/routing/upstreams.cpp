#include <catch2/catch.hpp>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

TEST_CASE("upstream") {
    upstream u{make_record("u", "s"), at_ms(0)};
    SECTION("is avoided while an answer is overdue, until it answers") {
        u.sent(at_ms(0));
        u.overdue(at_ms(300));
        CHECK(u.preference_at(at_ms(50)) == preference::degraded);
        u.answered(milliseconds{60}, true, at_ms(60));
        CHECK(u.preference_at(at_ms(60)) == preference::normal);
    }
    SECTION("is avoided after a failed connection, for longer each time, and then tried once at a time") {
        u.sent(at_ms(0));
        u.connection_failed(milliseconds{1}, at_ms(1));
        CHECK(u.preference_at(at_ms(200)) == preference::degraded);
        CHECK(u.preference_at(at_ms(400)) == preference::normal);
        u.sent(at_ms(400));
        CHECK(u.preference_at(at_ms(401)) == preference::degraded);
        u.connection_failed(milliseconds{1}, at_ms(401));
        CHECK(u.preference_at(at_ms(900)) == preference::degraded);
        CHECK(u.preference_at(at_ms(1100)) == preference::normal);
    }
    SECTION("is expected to be slow while a request in flight is old (incident inc-b7ed)") {
        u.sent(at_ms(0));
        CHECK(u.expected_ms(at_ms(900)) > 900);
        u.answered(milliseconds{901}, true, at_ms(901));
        CHECK(u.expected_ms(at_ms(901)) < 250);
    }
    SECTION("returns to the default latency some time after it was slow") {
        for (int i = 0; i < 20; ++i) {
            u.sent(at_ms(i));
            u.answered(milliseconds{500}, true, at_ms(i + 500));
        }
        CHECK(u.expected_ms(at_ms(520)) > 400);
        CHECK(u.expected_ms(at_ms(30'000)) < 20);
    }
    SECTION("gets new work until the earliest given end when it leaves") {
        u.leave(at_ms(1000));
        CHECK(u.preference_at(at_ms(999)) == preference::leaving);
        CHECK(u.preference_at(at_ms(1000)) == preference::never);
        u.leave(at_ms(2000));
        CHECK(u.preference_at(at_ms(1500)) == preference::never);
    }
}

TEST_CASE("an upstream that says that it leaves") {
    directory d{{milliseconds{1500}, milliseconds{2300}}};
    auto u = d.announce(make_record("u", "s"), at_ms(0));
    d.said_leaving(u, at_ms(0));
    SECTION("gets new work for the leaving grace only, as the last choice") {
        CHECK(u->preference_at(at_ms(1400)) == preference::leaving);
        CHECK(u->preference_at(at_ms(1500)) == preference::never);
    }
    SECTION("does not get more time when it says so again") {
        d.said_leaving(u, at_ms(1000));
        CHECK(u->preference_at(at_ms(1500)) == preference::never);
    }
    SECTION("gets none even if its entry is announced as present") {
        CHECK(d.announce(make_record("u", "s"), at_ms(500)) == u);
        CHECK(u->preference_at(at_ms(1500)) == preference::never);
    }
    SECTION("gets none when its entry is listed again after it was removed here") {
        d.sweep(at_ms(1500));
        REQUIRE(d.size() == 0);
        auto again = d.announce(make_record("u", "s"), at_ms(20'000));
        CHECK(again->preference_at(at_ms(20'000)) == preference::never);
        d.sweep(at_ms(20'000));
        again = d.announce(make_record("u", "s"), at_ms(400'000));
        CHECK(again->preference_at(at_ms(400'000)) == preference::never);
    }
    // Guards against a wish that is lost because the answer with it arrives at a forgotten object.
    SECTION("gets none when it says so to a request that was sent before its entry vanished and came back") {
        auto other = d.announce(make_record("v", "s"), at_ms(0));
        d.vanished(other->id(), false, at_ms(0));
        d.sweep(at_ms(1500));
        auto again = d.announce(make_record("v", "s"), at_ms(1600));
        REQUIRE(again != other);
        d.said_leaving(other, at_ms(1700));
        CHECK(again->preference_at(at_ms(3199)) == preference::leaving);
        CHECK(again->preference_at(at_ms(3200)) == preference::never);
    }
    SECTION("stays known as leaving when an earlier incarnation says so too") {
        auto restarted = make_record("u", "s");
        restarted.born_unix_ms = 2;
        d.said_leaving(d.announce(restarted, at_ms(100)), at_ms(200));
        d.said_leaving(u, at_ms(300));
        d.sweep(at_ms(2000));
        CHECK(d.announce(restarted, at_ms(3000))->preference_at(at_ms(3000)) == preference::never);
    }
    SECTION("is remembered among many others, which are bounded in number") {
        for (int i = 0; i < 5000; ++i) {
            auto record = make_record("w" + std::to_string(i), "s");
            d.said_leaving(d.announce(record, at_ms(i)), at_ms(i));
        }
        d.sweep(at_ms(10'000));
        auto preference_of = [&](const std::string& id) {
            return d.announce(make_record(id, "s"), at_ms(10'000))->preference_at(at_ms(10'000));
        };
        CHECK(preference_of("w4999") == preference::never);
        CHECK(preference_of("w1000") == preference::never);
        CHECK(preference_of("w100") == preference::normal);
    }
    SECTION("gets work as a new incarnation after a restart") {
        auto restarted = make_record("u", "s");
        restarted.born_unix_ms = 2;
        auto next = d.announce(restarted, at_ms(2000));
        CHECK(next->preference_at(at_ms(2000)) == preference::normal);
        CHECK(d.announce(restarted, at_ms(3000))->preference_at(at_ms(3000)) == preference::normal);
    }
}

TEST_CASE("an upstream that wants no requests for some time") {
    directory d{{milliseconds{1500}, milliseconds{2300}}};
    auto u = d.announce(make_record("u", "s"), at_ms(0));
    d.pause(u, milliseconds{2500}, at_ms(0));
    // Guards against requests within the wait after the entry lapsed and came back.
    SECTION("gets none until then when its entry vanishes, is forgotten and comes back") {
        d.vanished(u->id(), false, at_ms(0));
        d.sweep(at_ms(1500));
        REQUIRE(d.size() == 0);
        auto again = d.announce(make_record("u", "s"), at_ms(1600));
        REQUIRE(again != u);
        CHECK(again->preference_at(at_ms(2499)) == preference::never);
        CHECK(again->preference_at(at_ms(2500)) == preference::normal);
        d.pause(u, milliseconds{1000}, at_ms(3000));
        CHECK(again->preference_at(at_ms(3999)) == preference::never);
    }
    SECTION("gets requests at once as another incarnation") {
        auto restarted = make_record("u", "s");
        restarted.born_unix_ms = 2;
        CHECK(d.announce(restarted, at_ms(100))->preference_at(at_ms(100)) == preference::normal);
    }
    SECTION("gets none until then, and stays known") {
        CHECK(u->preference_at(at_ms(0)) == preference::never);
        CHECK(u->preference_at(at_ms(2499)) == preference::never);
        CHECK(u->preference_at(at_ms(2500)) == preference::normal);
        d.sweep(at_ms(1000));
        CHECK(d.find(u->id()) == u);
    }
    SECTION("is not resumed earlier by a shorter wait, an answer or its entry") {
        u->pause(milliseconds{100}, at_ms(10));
        u->sent(at_ms(0));
        u->answered(milliseconds{20}, true, at_ms(20));
        d.announce(make_record("u", "s"), at_ms(30));
        CHECK(u->preference_at(at_ms(2000)) == preference::never);
    }
    SECTION("is not lost for good by an absurd wait") {
        u->pause(std::chrono::hours{24}, at_ms(0));
        CHECK(u->preference_at(at_ms(59'999)) == preference::never);
        CHECK(u->preference_at(at_ms(60'000)) == preference::normal);
    }
    SECTION("still leaves when its time has come") {
        u->leave(at_ms(1000));
        CHECK(u->preference_at(at_ms(2600)) == preference::never);
        d.sweep(at_ms(1000));
        CHECK(d.size() == 0);
    }
}

TEST_CASE("directory of upstreams") {
    directory d{{milliseconds{1500}, milliseconds{2300}}};
    auto first = d.announce(make_record("u", "s"), at_ms(0));
    SECTION("keeps an incarnation when its record is announced again") {
        CHECK(d.announce(make_record("u", "s"), at_ms(10)) == first);
        CHECK(d.replicas(service_id{"s"}).size() == 1);
    }
    SECTION("treats another start time, address or service as a new incarnation; the old one gets no work") {
        auto restarted = make_record("u", "s");
        restarted.born_unix_ms = 2;
        auto second = d.announce(restarted, at_ms(10));
        CHECK(second != first);
        CHECK(first->preference_at(at_ms(10)) == preference::never);
        CHECK(d.replicas(service_id{"s"}).size() == 1);
        auto moved = restarted;
        moved.service = service_id{"t"};
        CHECK(d.announce(moved, at_ms(20)) != second);
        CHECK(d.replicas(service_id{"s"}).empty());
        CHECK(d.replicas(service_id{"t"}).size() == 1);
    }
    SECTION("keeps an upstream whose entry vanished for a while, as the last choice, and restores it") {
        d.vanished(upstream_id{"u"}, false, at_ms(0));
        CHECK(first->preference_at(at_ms(1400)) == preference::leaving);
        CHECK(d.announce(make_record("u", "s"), at_ms(1400)) == first);
        CHECK(first->preference_at(at_ms(1600)) == preference::normal);
    }
    SECTION("keeps it longer when its entry may have lapsed because of a store outage") {
        d.vanished(upstream_id{"u"}, true, at_ms(0));
        CHECK(first->preference_at(at_ms(2200)) == preference::leaving);
        CHECK(first->preference_at(at_ms(2300)) == preference::never);
    }
    SECTION("does not extend the time of a draining upstream when it is announced again") {
        auto draining = make_record("u", "s");
        draining.draining = true;
        d.announce(draining, at_ms(0));
        d.announce(draining, at_ms(1000));
        CHECK(first->preference_at(at_ms(1500)) == preference::never);
    }
    // Guards against new work for a draining upstream that was forgotten and whose entry then changed
    // (review/1).
    SECTION(
        "does not let a draining upstream start again when its entry is announced after it was forgotten") {
        auto draining = make_record("u", "s");
        draining.draining = true;
        d.announce(draining, at_ms(0));
        d.sweep(at_ms(1500));
        REQUIRE(d.size() == 0);
        for (auto ms : {1600, 2800, 4000}) {
            CHECK(d.announce(draining, at_ms(ms))->preference_at(at_ms(ms)) == preference::never);
            d.sweep(at_ms(ms + 500));
        }
        CHECK(d.announce(make_record("u", "s"), at_ms(5000))->preference_at(at_ms(5000)) ==
              preference::normal);
    }
    // Guards against new work after a restart, or a listing from elsewhere, for an upstream that drains
    // already.
    SECTION("gives no work to an upstream that drains when it is first seen") {
        auto draining = make_record("late", "s");
        draining.draining = true;
        CHECK(d.announce(draining, at_ms(0))->preference_at(at_ms(0)) == preference::never);
    }
    SECTION("removes upstreams whose entry vanished once their time for new work has ended") {
        d.vanished(first->id(), false, at_ms(0));
        d.sweep(at_ms(1000));
        CHECK(d.size() == 1);
        d.sweep(at_ms(1500));
        CHECK(d.size() == 0);
    }
}

TEST_CASE("budget of extra sub-requests") {
    retry_budget_limits limits{0.2, 2, seconds{10}};
    retry_budget budget;
    auto taken_of = [&](int tries, time_point now) {
        int taken = 0;
        for (int i = 0; i < tries; ++i) {
            taken += budget.take(limits, now) ? 1 : 0;
        }
        return taken;
    };
    SECTION("equals the allowance when there are no requests") {
        CHECK(taken_of(10, at_ms(0)) == 2);
    }
    SECTION("grows with the requests of the window") {
        for (int i = 0; i < 100; ++i) {
            budget.earned(at_ms(i * 10));
        }
        CHECK(taken_of(100, at_ms(1000)) == 22);
        CHECK(taken_of(100, at_ms(5000)) == 0);
    }
    SECTION("does not exceed its bound in any window") {
        std::vector<std::int64_t> extras;
        std::vector<std::int64_t> requests;
        for (std::int64_t ms = 0; ms < 60'000; ms += 20) {
            if (ms % 100 == 0 && (ms / 10'000) % 2 == 0) {
                budget.earned(at_ms(ms));
                requests.push_back(ms);
            }
            if (budget.take(limits, at_ms(ms))) {
                extras.push_back(ms);
            }
        }
        auto within = [](const std::vector<std::int64_t>& all, std::int64_t from) {
            return std::count_if(all.begin(), all.end(),
                                 [&](std::int64_t at) { return at >= from && at < from + 10'000; });
        };
        for (std::int64_t from = 0; from < 50'000; from += 100) {
            auto earned = std::max(within(requests, from), within(requests, from - 10'000));
            CHECK(static_cast<double>(within(extras, from)) <= 0.2 * static_cast<double>(earned) + 2);
        }
    }
}

TEST_CASE("share of a cold upstream's rate") {
    SECTION("keeps all instances together within the declared rate") {
        constexpr int INSTANCES = 9;
        constexpr double RATE = 8;
        std::vector<warm_up_share> shares;
        for (int i = 0; i < INSTANCES; ++i) {
            shares.emplace_back(static_cast<double>(i) / INSTANCES);
        }
        int most = 0;
        for (int second = 0; second < 10; ++second) {
            int sent = 0;
            for (int ms = 0; ms < 1000; ms += 5) {
                for (auto& share : shares) {
                    sent += share.take(RATE / INSTANCES, at_ms(second * 1000 + ms)) ? 1 : 0;
                }
            }
            most = std::max(most, sent);
        }
        CHECK(most <= RATE + 1);
    }
    // Guards against shares that are stored for ever for upstreams that vanish while they are cold.
    SECTION("is dropped with its upstream") {
        routing_fixture f;
        service_rule rule{service_id{"s0"}, "/health", 20, 8};
        for (int i = 0; i < 10; ++i) {
            auto cold = make_record("cold" + std::to_string(i), "s0");
            cold.warm_up_left = seconds{60};
            (void)f.state.admit_cold(*f.state.upstreams().announce(cold, at_ms(0)), &rule, at_ms(0));
            f.state.upstreams().vanished(cold.id, false, at_ms(0));
        }
        CHECK(f.state.cold_shares() == 10);
        f.state.sweep(at_ms(1500));
        CHECK(f.state.cold_shares() == 0);
    }
    SECTION("follows a rise of the number of instances at once and a fall later") {
        instance_population population;
        population.observe(9, at_ms(0));
        population.observe(2, at_ms(5000));
        CHECK(population.count() == 9);
        population.observe(2, at_ms(31'000));
        CHECK(population.count() == 2);
    }
}
