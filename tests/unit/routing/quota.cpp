#include <algorithm>
#include <catch2/catch.hpp>

#include "eelgrassledge/core/stable_hash.hpp"
#include "eelgrassledge/routing/quota_client.hpp"
#include "test_clock.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

constexpr double WINDOW_S = 5;
constexpr double SLACK = 20;
constexpr double OVERSHOOT = 0.1;
constexpr std::size_t INSTANCES = 61;

auto make_team(double rate_per_s, double burst) -> team {
    team made;
    made.name = team_id{"counter"};
    made.rate_per_s = rate_per_s;
    made.burst = burst;
    return made;
}

/// 61 instances in four zones with one allocator in each zone, without messages that take time.
class quota_replay {
  public:
    quota_replay() {
        for (std::size_t i = 0; i < INSTANCES; ++i) {
            clients_.emplace_back(zone_of(i));
        }
        for (auto& one : allocators_) {
            one.start(at_ms(0));
        }
    }

    /// Requests of `owner` through the first `through` instances, evenly spaced at `rate_per_s`.
    auto send(const team& owner, std::size_t through, double rate_per_s, std::int64_t from_ms,
              std::int64_t to_ms) -> void {
        auto pause_ms = 1000 / rate_per_s;
        std::size_t number = 0;
        for (auto at = static_cast<double>(from_ms); at < static_cast<double>(to_ms); at += pause_ms) {
            if (before_request) {
                before_request(static_cast<std::int64_t>(at));
            }
            request(owner, number++ % through, at_ms(static_cast<std::int64_t>(at)));
        }
    }

    auto request(const team& owner, std::size_t instance, time_point now) -> quota_verdict {
        ++sent;
        quota_client::inquiry progress;
        auto& client = clients_[instance];
        while (auto zone = client.next_zone(owner, split, progress, now)) {
            auto decision = ask(owner, instance, *zone, now);
            client.answered(owner, *zone, decision, progress, now);
            if (decision.verdict == quota_verdict::granted) {
                granted.push_back(now);
                return quota_verdict::granted;
            }
        }
        return quota_client::conclude(progress).verdict;
    }

    auto restart_allocator(std::size_t zone, time_point now) -> void { allocators_[zone].start(now); }

    /// Most requests granted within any window.
    [[nodiscard]] auto most_in_window() const -> double {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < granted.size(); ++last) {
            while (granted[last] - granted[first] > seconds{static_cast<int>(WINDOW_S)}) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return static_cast<double>(most);
    }

    [[nodiscard]] static auto operators_bound(const team& owner) -> double {
        return (owner.rate_per_s * WINDOW_S + owner.burst) * (1 + OVERSHOOT) + SLACK;
    }

    quota_split split{{zone_id{"a"}, zone_id{"b"}, zone_id{"c"}, zone_id{"d"}}, seconds{5}, OVERSHOOT, SLACK};
    std::vector<time_point> granted;
    std::size_t sent = 0;
    std::size_t calls = 0;
    std::function<void(std::int64_t at_ms)> before_request;
    /// Whether the allocator of a zone cannot be asked.
    std::vector<bool> is_down = std::vector<bool>(4);
    /// Whether a zone is cut off from the others.
    std::vector<bool> is_cut = std::vector<bool>(4);

  private:
    [[nodiscard]] auto zone_of(std::size_t instance) const -> zone_id { return split.zones[instance % 4]; }

    auto ask(const team& owner, std::size_t instance, const zone_id& zone, time_point now) -> quota_decision {
        ++calls;
        auto at = static_cast<std::size_t>(std::find(split.zones.begin(), split.zones.end(), zone) -
                                           split.zones.begin());
        auto is_other_zone = zone != zone_of(instance);
        if (is_down[at] || (is_other_zone && (is_cut[at] || is_cut[instance % 4]))) {
            return {};
        }
        return allocators_[at].ask(owner, share_of(owner, split, zone), now);
    }

    std::vector<quota_client> clients_;
    std::vector<quota_allocator> allocators_ = std::vector<quota_allocator>(4);
};

}  // namespace

// Guards against instances that each count for themselves: they grant a multiple of the quota, or refuse
// requests within it because these arrive at few instances.
TEST_CASE("quota of a team whose requests arrive at few instances") {
    quota_replay replay;
    auto owner = make_team(18, 18);
    auto usual = 18 / 1.6;
    SECTION("below its limit") {
        replay.send(owner, 3, usual, 5000, 20'000);
        CHECK(replay.granted.size() == replay.sent);
    }
    SECTION("at 7.5 times its usual rate") {
        replay.send(owner, 3, usual, 5000, 10'000);
        CHECK(replay.granted.size() == replay.sent);
        replay.send(owner, 3, 7.5 * usual, 10'000, 16'500);
        CHECK(replay.most_in_window() <= replay.operators_bound(owner));
        auto permitted = 5 * usual + 18 * 6.5;
        CHECK(static_cast<double>(replay.granted.size()) >= 0.98 * permitted);
        // Denials are remembered, so that refused requests do not each ask all zones.
        CHECK(replay.calls < 2 * replay.sent);
    }
    SECTION("at all instances alike") {
        replay.send(owner, INSTANCES, 7.5 * usual, 5000, 15'000);
        CHECK(replay.most_in_window() <= replay.operators_bound(owner));
        CHECK(static_cast<double>(replay.granted.size()) >= 0.98 * 18 * 10);
    }
    SECTION("with a limit of one request a second") {
        auto small = make_team(1, 1);
        replay.send(small, 1, 0.6, 5000, 25'000);
        CHECK(replay.granted.size() == replay.sent);
        replay.send(small, 5, 10, 25'000, 40'000);
        CHECK(replay.most_in_window() <= replay.operators_bound(small));
    }
}

// Guards against a team that is refused while one allocator is gone, and against allocators that grant again
// what an earlier one granted.
TEST_CASE("quota while allocators fail") {
    quota_replay replay;
    auto owner = make_team(18, 18);
    auto usual = 18 / 1.6;
    SECTION("one is killed and starts again at the peak") {
        replay.before_request = [&](std::int64_t ms) {
            if (ms >= 8000 && ms < 11'500) {
                replay.is_down[0] = true;
            } else if (replay.is_down[0]) {
                replay.is_down[0] = false;
                replay.restart_allocator(0, at_ms(ms));
            }
        };
        replay.send(owner, 3, usual, 5000, 8000);
        replay.send(owner, 3, usual, 8000, 11'000);
        // Three quarters of the limit are more than the usual rate.
        CHECK(static_cast<double>(replay.granted.size()) >= 0.98 * static_cast<double>(replay.sent));
        replay.send(owner, 3, 7.5 * usual, 11'000, 20'000);
        CHECK(replay.most_in_window() <= replay.operators_bound(owner));
    }
    SECTION("a zone is cut off") {
        replay.before_request = [&](std::int64_t ms) { replay.is_cut[1] = ms >= 6000 && ms < 12'000; };
        replay.send(owner, INSTANCES, 7.5 * usual, 5000, 20'000);
        CHECK(replay.most_in_window() <= replay.operators_bound(owner));
        CHECK(static_cast<double>(replay.granted.size()) >= 0.98 * 18 * 15);
    }
    SECTION("none can be asked") {
        replay.is_down = {true, true, true, true};
        CHECK(replay.request(owner, 0, at_ms(5000)) == quota_verdict::unavailable);
    }
    SECTION("one that cannot be asked does not hide the denials of the others") {
        replay.is_down[2] = true;
        while (replay.request(owner, 0, at_ms(5000)) == quota_verdict::granted) {
        }
        CHECK(replay.request(owner, 0, at_ms(5001)) == quota_verdict::denied);
    }
}

// Guards against a lower limit that binds late, and against a share that can never grant a request.
TEST_CASE("waits and limits of an allocator") {
    quota_split split{{zone_id{"a"}}, seconds{5}, 0, 0};
    quota_allocator allocator;
    allocator.start(at_ms(0));
    auto owner = make_team(2, 5);
    auto ask = [&](std::int64_t ms) {
        return allocator.ask(owner, share_of(owner, split, zone_id{"a"}), at_ms(ms));
    };
    SECTION("the burst is granted at once, the rest of the window's limit evenly") {
        for (int i = 0; i < 5; ++i) {
            CHECK(ask(10'000).verdict == quota_verdict::granted);
        }
        auto first = ask(10'000);
        CHECK(first.verdict == quota_verdict::denied);
        // 15 requests in 5 s: one each third of a second.
        CHECK(to_milliseconds(first.wait) == Approx(333.3).epsilon(0.01));
        CHECK(to_milliseconds(ask(10'000).wait) == Approx(666.6).epsilon(0.01));
        CHECK(ask(10'340).verdict == quota_verdict::granted);
    }
    SECTION("no window holds more than its limit") {
        int granted = 0;
        for (std::int64_t ms = 10'000; ms < 15'000; ms += 10) {
            granted += ask(ms).verdict == quota_verdict::granted ? 1 : 0;
        }
        CHECK(granted == 15);
    }
    SECTION("a lower limit binds for what was granted before") {
        for (int i = 0; i < 5; ++i) {
            ask(10'000);
        }
        owner.burst = 0;
        owner.rate_per_s = 1;
        CHECK(ask(12'000).verdict == quota_verdict::denied);
        CHECK(ask(16'000).verdict == quota_verdict::granted);
    }
    SECTION("a new allocator grants one request and half of the rate during the first window") {
        allocator.start(at_ms(20'000));
        CHECK(ask(20'000).verdict == quota_verdict::granted);
        CHECK(ask(20'500).verdict == quota_verdict::denied);
        CHECK(ask(21'100).verdict == quota_verdict::granted);
        CHECK(ask(21'200).verdict == quota_verdict::denied);
    }
    SECTION("teams without requests are forgotten") {
        ask(10'000);
        allocator.sweep(at_ms(15'000), split.window);
        CHECK(allocator.size() == 1);
        allocator.sweep(at_ms(30'000), split.window);
        CHECK(allocator.size() == 0);
    }
    SECTION("a limit that is too small for all zones has a single share") {
        quota_split four{{zone_id{"a"}, zone_id{"b"}, zone_id{"c"}, zone_id{"d"}}, seconds{5}, 0, 0};
        auto rare = make_team(0.1, 1);
        int shares = 0;
        for (const auto& zone : four.zones) {
            shares += share_of(rare, four, zone).is_empty() ? 0 : 1;
        }
        CHECK(shares == 1);
        CHECK(share_of(rare, four, zone_id{"elsewhere"}).is_empty());
        // Otherwise builds of different compilers each grant the limit, in different zones.
        static_assert(stable_hash("") == 0xcbf29ce484222325U);
        static_assert(stable_hash("foobar") == 0x85944171f73967e8U);
        for (const auto* name : {"counter", "labels", "catalogue", "search", "export"}) {
            rare.name = team_id{name};
            CHECK_FALSE(share_of(rare, four, four.zones[stable_hash(name) % 4]).is_empty());
        }
    }
}

TEST_CASE("a grant of a request that did not run is used once, and not for long") {
    quota_client client{zone_id{"a"}};
    team_id owner{"counter"};
    CHECK_FALSE(client.take_returned(owner, at_ms(0)));
    client.give_back(owner, at_ms(0), at_ms(0));
    CHECK(client.take_returned(owner, at_ms(1000)));
    CHECK_FALSE(client.take_returned(owner, at_ms(1000)));
    client.give_back(owner, at_ms(1000), at_ms(1000));
    CHECK_FALSE(client.take_returned(owner, at_ms(3500)));
    client.sweep(at_ms(30'000));
    CHECK(client.size() == 0);
    SECTION("also when several requests in turn did not run") {
        // Otherwise grants of an overload are kept alive by it, and run all at once when it ends.
        client.give_back(owner, at_ms(40'000), at_ms(41'000));
        auto granted = client.take_returned(owner, at_ms(41'500));
        REQUIRE(granted);
        CHECK(*granted == at_ms(40'000));
        client.give_back(owner, *granted, at_ms(41'900));
        CHECK_FALSE(client.take_returned(owner, at_ms(42'500)));
    }
}

// Guards against callers that are told to come back before their team's quota has room.
TEST_CASE("a remembered denial keeps its wait") {
    quota_split split{{zone_id{"a"}}, seconds{5}, OVERSHOOT, SLACK};
    quota_client client{zone_id{"a"}};
    auto owner = make_team(18, 18);
    quota_client::inquiry first;
    REQUIRE(client.next_zone(owner, split, first, at_ms(0)));
    client.answered(owner, zone_id{"a"}, {quota_verdict::denied, seconds{5}}, first, at_ms(0));
    CHECK(quota_client::conclude(first).wait == seconds{5});
    quota_client::inquiry second;
    CHECK_FALSE(client.next_zone(owner, split, second, at_ms(900)));
    CHECK(quota_client::conclude(second).verdict == quota_verdict::denied);
    CHECK(quota_client::conclude(second).wait == milliseconds{4100});
    // An allocator that may have room again is asked nevertheless.
    quota_client::inquiry third;
    CHECK(client.next_zone(owner, split, third, at_ms(1100)));
}
