#include "eelgrassledge/routing/zone_reachability.hpp"

#include <catch2/catch.hpp>

#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

const zone_id OWN{"a"};
const zone_id B{"b"};
const zone_id C{"c"};

auto make_unresponsive(zone_reachability& zones, const zone_id& zone, std::int64_t ms) -> void {
    for (int i = 0; i < 3; ++i) {
        zones.unanswered(zone, at_ms(ms), at_ms(ms));
    }
}

}  // namespace

TEST_CASE("unresponsive zone") {
    zone_reachability zones{OWN};

    SECTION("is detected after three unanswered attempts in a row, and reported once") {
        CHECK_FALSE(zones.unanswered(B, at_ms(0), at_ms(0)));
        CHECK_FALSE(zones.unanswered(B, at_ms(1), at_ms(1)));
        CHECK(zones.unanswered(B, at_ms(2), at_ms(2)));
        CHECK_FALSE(zones.unanswered(B, at_ms(3), at_ms(3)));
        CHECK(zones.is_unresponsive(B, at_ms(3)));
        CHECK(zones.unresponsive_zones(at_ms(3)) == std::vector<zone_id>{B});
    }
    SECTION("becomes responsive with any answer") {
        make_unresponsive(zones, B, 0);
        CHECK(zones.answered(B, at_ms(10)));
        CHECK_FALSE(zones.answered(B, at_ms(11)));
        CHECK_FALSE(zones.is_unresponsive(B, at_ms(11)));
        zones.unanswered(B, at_ms(12), at_ms(12));
        CHECK_FALSE(zones.is_unresponsive(B, at_ms(12)));
    }
    SECTION("counts as responsive again after two seconds without an attempt") {
        make_unresponsive(zones, B, 0);
        CHECK(zones.is_unresponsive(B, at_ms(1999)));
        CHECK_FALSE(zones.is_unresponsive(B, at_ms(2000)));
    }
    SECTION("is not shown by attempts that were sent before its last answer") {
        zones.answered(B, at_ms(65));
        // Guards against a reachable zone without work: calls to one slow instance of it ended after
        // upstreams of the zone had answered later sends.
        for (int i = 0; i < 5; ++i) {
            zones.unanswered(B, at_ms(i), at_ms(70 + i));
            zones.unconfirmed(B, instance_id{"b" + std::to_string(i)}, at_ms(i), at_ms(70 + i));
        }
        CHECK_FALSE(zones.is_unresponsive(B, at_ms(75)));
        zones.unanswered(B, at_ms(66), at_ms(126));
        zones.unanswered(B, at_ms(67), at_ms(127));
        CHECK(zones.unanswered(B, at_ms(68), at_ms(128)));
    }
    SECTION("is never the own zone") {
        make_unresponsive(zones, OWN, 0);
        CHECK_FALSE(zones.is_unresponsive(OWN, at_ms(0)));
    }
}

// Guards against a zone that gets no work because one of its instances got no processor time for 60 ms while
// 64 calls to it were running.
TEST_CASE("unconfirmed calls to instances of a zone") {
    zone_reachability zones{OWN};
    const instance_id first{"b1"};

    SECTION("that ran at the same time count once for an instance") {
        for (int i = 0; i < 64; ++i) {
            CHECK_FALSE(zones.unconfirmed(B, first, at_ms(i / 4), at_ms(60 + i / 4)));
        }
        CHECK_FALSE(zones.is_unresponsive(B, at_ms(80)));
    }
    SECTION("that ran one after another make the zone unresponsive") {
        CHECK_FALSE(zones.unconfirmed(B, first, at_ms(0), at_ms(60)));
        CHECK_FALSE(zones.unconfirmed(B, first, at_ms(560), at_ms(620)));
        CHECK(zones.unconfirmed(B, first, at_ms(1620), at_ms(1680)));
    }
    SECTION("make the zone unresponsive at once when they are to several instances") {
        CHECK_FALSE(zones.unconfirmed(B, first, at_ms(0), at_ms(60)));
        CHECK_FALSE(zones.unconfirmed(B, instance_id{"b2"}, at_ms(0), at_ms(60)));
        CHECK(zones.unconfirmed(B, instance_id{"b3"}, at_ms(0), at_ms(60)));
    }
    SECTION("count together with unanswered attempts") {
        zones.unanswered(B, at_ms(0), at_ms(60));
        zones.unanswered(B, at_ms(0), at_ms(60));
        CHECK(zones.unconfirmed(B, first, at_ms(0), at_ms(60)));
    }
    SECTION("count anew after an answer") {
        zones.unconfirmed(B, first, at_ms(0), at_ms(60));
        zones.answered(B, at_ms(61));
        CHECK_FALSE(zones.unconfirmed(B, first, at_ms(62), at_ms(122)));
        CHECK_FALSE(zones.unconfirmed(B, instance_id{"b2"}, at_ms(62), at_ms(122)));
        CHECK(zones.unconfirmed(B, instance_id{"b3"}, at_ms(62), at_ms(122)));
    }
    SECTION("never make the own zone unresponsive") {
        for (const auto* id : {"a1", "a2", "a3"}) {
            CHECK_FALSE(zones.unconfirmed(OWN, instance_id{id}, at_ms(0), at_ms(60)));
        }
    }
}

TEST_CASE("a zone is cut off when all others are unresponsive") {
    zone_reachability zones{OWN};
    make_unresponsive(zones, B, 0);

    SECTION("not when there are only two zones") {
        CHECK_FALSE(zones.is_cut_off(at_ms(1)));
    }
    SECTION("not while another zone answers") {
        zones.answered(C, at_ms(0));
        CHECK_FALSE(zones.is_cut_off(at_ms(1)));
        CHECK(zones.cut_off_for(at_ms(1)) == duration{});
    }
    SECTION("from the time at which the last one becomes unresponsive until one answers") {
        make_unresponsive(zones, C, 100);
        CHECK(zones.is_cut_off(at_ms(150)));
        CHECK(zones.cut_off_for(at_ms(150)) == milliseconds{50});
        zones.unanswered(B, at_ms(200), at_ms(200));
        CHECK(zones.cut_off_for(at_ms(300)) == milliseconds{200});
        zones.answered(B, at_ms(400));
        CHECK_FALSE(zones.is_cut_off(at_ms(400)));
    }
    SECTION("regardless of zones without recent traffic") {
        zones.answered(zone_id{"d"}, at_ms(-12'000));
        make_unresponsive(zones, C, 0);
        CHECK(zones.is_cut_off(at_ms(1)));
    }
}

TEST_CASE("queries while zones are unresponsive (issue 15)") {
    routing_fixture f;
    auto answered_by = [&](const char* zone) { f.state.zones().answered(zone_id{zone}, at_ms(0)); };
    answered_by("b");
    answered_by("c");

    SECTION("avoid an unresponsive zone") {
        // The replicas of the own zone are slow, so that those of zone b are preferred while it is
        // responsive.
        for (const auto* id : {"s0a", "s1a", "s2a", "s3a"}) {
            for (int i = 0; i < 10; ++i) {
                f.state.upstreams().find(upstream_id{id})->answered(milliseconds{90}, true, at_ms(0));
            }
        }
        routed_query before{f.state, f.setup("/gather/1"), f.next_attempt};
        for (const auto& order : before.start(at_ms(0)).sends) {
            CHECK(order.to->record().zone == zone_id{"b"});
        }
        make_unresponsive(f.state.zones(), B, 1);
        routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
        for (const auto& order : query.start(at_ms(2)).sends) {
            CHECK(order.to->record().zone == zone_id{"a"});
        }
    }
    SECTION("are refused at once when too few shards are reachable, until another zone answers") {
        for (const auto* id : {"s0a", "s1a"}) {
            f.state.upstreams().vanished(upstream_id{id}, false, at_ms(-10'000));
        }
        make_unresponsive(f.state.zones(), B, 0);
        make_unresponsive(f.state.zones(), C, 0);
        CHECK_FALSE(f.state.is_served(*f.setup("/gather/1").matched, at_ms(300)));
        routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
        auto refused = query.start(at_ms(300));
        CHECK(refused.sends.empty());
        REQUIRE(refused.answer);
        CHECK(refused.answer->code == result_code::upstream_unreachable);
        CHECK(refused.answer->retry_after == f.state.policy().balancer_delay - milliseconds{300});
        f.state.zones().answered(B, at_ms(301));
        routed_query again{f.state, f.setup("/gather/1"), f.next_attempt};
        CHECK(again.start(at_ms(301)).sends.size() == 4);
    }
    SECTION("are served when this zone has replicas of enough shards") {
        make_unresponsive(f.state.zones(), B, 0);
        make_unresponsive(f.state.zones(), C, 0);
        CHECK(f.state.is_served(*f.setup("/gather/1").matched, at_ms(1)));
        routed_query query{f.state, f.setup("/gather/1"), f.next_attempt};
        CHECK(query.start(at_ms(1)).sends.size() == 4);
    }
}
