#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "eelgrassledge/routing/quota_client.hpp"
#include "eelgrassledge/routing/quota_election.hpp"
#include "test_clock.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

constexpr duration TIME_TO_LIVE = seconds{15};
constexpr double WINDOW_S = 5;
constexpr double SLACK = 20;
constexpr std::size_t INSTANCES = 61;

auto make_team(double rate_per_s, double burst) -> team {
    team made;
    made.name = team_id{"counter"};
    made.rate_per_s = rate_per_s;
    made.burst = burst;
    return made;
}

auto make_election(const std::string& id, std::int64_t start, bool is_first_start = false) -> quota_election {
    return quota_election{{{instance_id{id}, start}, TIME_TO_LIVE, is_first_start}};
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
        return (owner.rate_per_s * WINDOW_S + owner.burst) * 1.1 + SLACK;
    }

    quota_split split{{zone_id{"a"}, zone_id{"b"}, zone_id{"c"}, zone_id{"d"}}, SLACK};
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
    SECTION("one that cannot be asked may have room") {
        replay.is_down[2] = true;
        while (replay.request(owner, 0, at_ms(5000)) == quota_verdict::granted) {
        }
        CHECK(replay.request(owner, 0, at_ms(5001)) == quota_verdict::unavailable);
    }
}

TEST_CASE("waits and limits of an allocator") {
    quota_split split{{zone_id{"a"}}, 0};
    quota_allocator allocator;
    allocator.start(at_ms(0));
    auto owner = make_team(2, 4);
    auto ask = [&](std::int64_t ms) {
        return allocator.ask(owner, share_of(owner, split, zone_id{"a"}), at_ms(ms));
    };
    for (int i = 0; i < 4; ++i) {
        CHECK(ask(10'000).verdict == quota_verdict::granted);
    }
    auto first = ask(10'000);
    CHECK(first.verdict == quota_verdict::denied);
    CHECK(first.wait == milliseconds{500});
    CHECK(ask(10'000).wait == seconds{1});
    // A lower limit takes the tokens above its burst.
    owner.burst = 1;
    CHECK(ask(20'000).verdict == quota_verdict::granted);
    CHECK(ask(20'000).verdict == quota_verdict::denied);
    allocator.sweep(at_ms(20'100));
    CHECK(allocator.size() == 1);
    allocator.sweep(at_ms(30'000));
    CHECK(allocator.size() == 0);
    CHECK(ask(30'000).verdict == quota_verdict::granted);
    CHECK(ask(30'000).verdict == quota_verdict::denied);
    SECTION("without slack, a burst below the number of zones has a single share") {
        quota_split four{{zone_id{"a"}, zone_id{"b"}, zone_id{"c"}, zone_id{"d"}}, 0};
        double rate = 0;
        int shares = 0;
        for (const auto& zone : four.zones) {
            auto share = share_of(owner, four, zone);
            rate += share.rate_per_s;
            shares += share.is_empty() ? 0 : 1;
        }
        CHECK(shares == 1);
        CHECK(rate == 2);
        CHECK(share_of(owner, four, zone_id{"elsewhere"}).is_empty());
    }
}

TEST_CASE("a grant of a request that did not run is used once, and not for long") {
    quota_client client{zone_id{"a"}};
    team_id owner{"counter"};
    CHECK_FALSE(client.take_returned(owner, at_ms(0)));
    client.give_back(owner, at_ms(0));
    CHECK(client.take_returned(owner, at_ms(1000)));
    CHECK_FALSE(client.take_returned(owner, at_ms(1000)));
    client.give_back(owner, at_ms(1000));
    CHECK_FALSE(client.take_returned(owner, at_ms(3500)));
    client.sweep(at_ms(30'000));
    CHECK(client.size() == 0);
}

// Guards against two instances that grant at the same time.
TEST_CASE("election of an allocator") {
    const lease_id lease{7};
    SECTION("at the first start of the system it grants at once") {
        auto one = make_election("one", 1, true);
        one.lease_renewed(lease, at_ms(0));
        CHECK_FALSE(one.next_write(0, at_ms(0)));
        one.listed(at_ms(100));
        CHECK_FALSE(one.next_write(2, at_ms(100)));
        auto order = one.next_write(0, at_ms(100));
        REQUIRE(order);
        CHECK(order->expected == mod_revision{});
        CHECK_FALSE(one.next_write(0, at_ms(101)));
        one.written(true, at_ms(110));
        CHECK(one.may_grant(at_ms(110)));
        // Renewed for the last time at 5 s: the lease ends at 20 s.
        one.lease_renewed(lease, at_ms(5000));
        CHECK(one.may_grant(at_ms(18'900)));
        CHECK_FALSE(one.may_grant(at_ms(19'100)));
    }
    SECTION("with an unknown predecessor it waits until that one's lease has ended") {
        auto one = make_election("one", 1);
        one.lease_renewed(lease, at_ms(0));
        one.listed(at_ms(0));
        REQUIRE(one.next_write(0, at_ms(0)));
        one.written(true, at_ms(10));
        one.lease_renewed(lease, at_ms(10'000));
        CHECK_FALSE(one.may_grant(at_ms(14'900)));
        CHECK(one.may_grant(at_ms(15'010)));
    }
    SECTION("after the key of another one was removed it grants at once") {
        auto one = make_election("one", 1);
        one.lease_renewed(lease, at_ms(0));
        one.key_seen({instance_id{"two"}, 1}, mod_revision{5}, at_ms(0));
        one.listed(at_ms(0));
        CHECK_FALSE(one.next_write(0, at_ms(5000)));
        one.key_removed(at_ms(6000));
        CHECK_FALSE(one.next_write(1, at_ms(6900)));
        REQUIRE(one.next_write(1, at_ms(7000)));
        one.written(true, at_ms(7000));
        CHECK(one.may_grant(at_ms(7000)));
    }
    SECTION("it replaces its key of an earlier start, and no other") {
        auto one = make_election("one", 2);
        one.lease_renewed(lease, at_ms(0));
        one.key_seen({instance_id{"one"}, 1}, mod_revision{5}, at_ms(0));
        one.listed(at_ms(0));
        auto order = one.next_write(3, at_ms(0));
        REQUIRE(order);
        CHECK(order->expected == mod_revision{5});
        SECTION("and grants at once") {
            one.written(true, at_ms(5));
            CHECK(one.may_grant(at_ms(5)));
        }
        SECTION("unless another one was faster") {
            one.written(false, at_ms(5));
            one.key_seen({instance_id{"two"}, 1}, mod_revision{9}, at_ms(6));
            CHECK_FALSE(one.next_write(0, at_ms(60'000)));
            CHECK_FALSE(one.may_grant(at_ms(6)));
        }
    }
    SECTION("a write whose answer was lost counts once its key is seen") {
        auto one = make_election("one", 1, true);
        one.lease_renewed(lease, at_ms(0));
        one.listed(at_ms(0));
        REQUIRE(one.next_write(0, at_ms(0)));
        one.written(false, at_ms(1500));
        CHECK_FALSE(one.may_grant(at_ms(1500)));
        one.key_seen({instance_id{"one"}, 1}, mod_revision{4}, at_ms(1600));
        CHECK(one.may_grant(at_ms(1600)));
        // The key would vanish with the lease that it is attached to.
        one.lease_renewed(lease_id{8}, at_ms(1700));
        CHECK_FALSE(one.may_grant(at_ms(1700)));
    }
    SECTION("after the store came back from a copy it waits, whatever it saw removed") {
        auto one = make_election("one", 1);
        one.lease_renewed(lease, at_ms(0));
        one.key_seen({instance_id{"two"}, 1}, mod_revision{5}, at_ms(0));
        one.listed(at_ms(0));
        one.store_restored(at_ms(1000));
        one.key_removed(at_ms(1001));
        REQUIRE(one.next_write(0, at_ms(1001)));
        one.written(true, at_ms(1010));
        one.lease_renewed(lease, at_ms(10'000));
        CHECK_FALSE(one.may_grant(at_ms(15'000)));
        CHECK(one.may_grant(at_ms(16'000)));
    }
    SECTION("the owner goes on after the store came back from a copy without its key") {
        auto one = make_election("one", 1, true);
        one.lease_renewed(lease, at_ms(0));
        one.listed(at_ms(0));
        REQUIRE(one.next_write(0, at_ms(0)));
        one.written(true, at_ms(1));
        auto since = one.granting_since();
        one.store_restored(at_ms(1000));
        one.key_removed(at_ms(1001));
        CHECK(one.may_grant(at_ms(1002)));
        one.lease_renewed(lease_id{8}, at_ms(1100));
        CHECK(one.may_grant(at_ms(13'999)));
        SECTION("until its lost lease would have ended") {
            CHECK_FALSE(one.may_grant(at_ms(14'000)));
        }
        SECTION("and for longer once it owns the key again") {
            REQUIRE(one.next_write(0, at_ms(1200)));
            one.written(true, at_ms(1300));
            one.lease_renewed(lease_id{8}, at_ms(6100));
            CHECK(one.may_grant(at_ms(20'000)));
            CHECK_FALSE(one.may_grant(at_ms(20'100)));
            CHECK(one.granting_since() == since);
        }
        SECTION("not by the lost lease when it owns the key later than that") {
            one.lease_renewed(lease_id{8}, at_ms(12'000));
            REQUIRE(one.next_write(0, at_ms(14'500)));
            one.written(true, at_ms(14'600));
            CHECK_FALSE(one.may_grant(at_ms(15'900)));
            CHECK(one.may_grant(at_ms(16'000)));
        }
    }
    SECTION("it grants nothing once it stops") {
        auto one = make_election("one", 1, true);
        one.lease_renewed(lease, at_ms(0));
        one.listed(at_ms(0));
        REQUIRE(one.next_write(0, at_ms(0)));
        one.written(true, at_ms(1));
        one.stop();
        CHECK_FALSE(one.may_grant(at_ms(2)));
        CHECK_FALSE(one.next_write(0, at_ms(2)));
    }
}

// Random renewals, suspensions, removals and lost answers at two candidates and one store.
TEST_CASE("two candidates never grant at the same time") {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random{seed};
        auto chance = [&](unsigned percent) { return random() % 100 < percent; };
        struct candidate {
            quota_election election;
            std::int64_t start;
            std::int64_t lease = 0;
            std::int64_t suspended_until = 0;
        };
        std::vector<candidate> both{{make_election("0", 1), 1}, {make_election("1", 1), 1}};
        std::int64_t next_lease = 1;
        std::map<std::int64_t, std::int64_t> lease_ends;
        std::optional<std::pair<instance_start, std::int64_t>> key;
        std::int64_t revision = 1;
        std::vector<std::optional<std::int64_t>> seen_revision(2);
        for (std::int64_t ms = 0; ms < 120'000; ms += 250) {
            std::erase_if(lease_ends, [&](const auto& entry) { return entry.second <= ms; });
            if (key && !lease_ends.contains(key->second)) {
                key.reset();
                ++revision;
            }
            for (std::size_t i = 0; i < both.size(); ++i) {
                auto& one = both[i];
                if (chance(1)) {
                    one.suspended_until = ms + static_cast<std::int64_t>(random() % 30'000);
                }
                if (chance(1)) {
                    one = {make_election(std::to_string(i), ++revision), revision};
                    seen_revision[i].reset();
                }
                if (ms < one.suspended_until) {
                    continue;
                }
                if (chance(30)) {
                    auto asked = at_ms(ms - static_cast<std::int64_t>(random() % 200));
                    if (!lease_ends.contains(one.lease)) {
                        one.election.lease_lost();
                        one.lease = next_lease++;
                    }
                    lease_ends[one.lease] = ms + 15'000;
                    one.election.lease_renewed(lease_id{one.lease}, asked);
                }
                if (chance(40) && seen_revision[i] != revision) {
                    seen_revision[i] = revision;
                    if (key) {
                        one.election.key_seen(key->first, mod_revision{revision}, at_ms(ms));
                    } else {
                        one.election.key_removed(at_ms(ms));
                    }
                    one.election.listed(at_ms(ms));
                }
                if (auto order = one.election.next_write(i, at_ms(ms))) {
                    auto present = key ? revision : 0;
                    auto applies =
                        order->expected.value() == present && lease_ends.contains(order->lease.value());
                    if (applies) {
                        key = {instance_start{instance_id{std::to_string(i)}, one.start},
                               order->lease.value()};
                        ++revision;
                    }
                    one.election.written(applies && !chance(20), at_ms(ms));
                }
            }
            INFO("seed " << seed << " at " << ms);
            CHECK_FALSE((both[0].election.may_grant(at_ms(ms)) && both[1].election.may_grant(at_ms(ms))));
        }
    }
}
