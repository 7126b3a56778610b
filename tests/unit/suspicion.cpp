#include "eelgrassledge/core/suspicion.hpp"

#include <catch2/catch.hpp>

#include "eelgrassledge/broker/suspect_table.hpp"
#include "eelgrassledge/membership/zone_coordinator.hpp"
#include "test_clock.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

TEST_CASE("suspicions of one fingerprint") {
    SECTION("merge to the same value in any order") {
        std::vector<suspicion> states{{0, 1}, {0, 2}, {1, 1}, {1, 0}, {2, 1}};
        for (const auto& a : states) {
            for (const auto& b : states) {
                CHECK(merged(a, b) == merged(b, a));
                for (const auto& c : states) {
                    CHECK(merged(merged(a, b), c) == merged(a, merged(b, c)));
                }
            }
        }
    }
    SECTION("keep the other strikes when one is withdrawn") {
        CHECK(with_one_strike_withdrawn({0, 2}) == suspicion{1, 1});
        CHECK(with_one_strike_withdrawn({0, 0}) == suspicion{1, 0});
    }
    SECTION("have no strikes after the fingerprint ran to completion") {
        CHECK(merged({0, 2}, cleared({0, 2})).strikes == 0);
    }
}

TEST_CASE("the suspect table") {
    // Regression test for issue 9, point 6: a copy read before a strike was recorded was applied after it,
    // which removed the strike.
    suspect_table table;
    fingerprint suspect{5};
    auto merge = [](suspicion report) {
        return [report](const suspicion& known) { return merged(known, report); };
    };
    table.change(suspect, at_ms(10), [](const suspicion& known) { return with_strikes(known, 2); });
    SECTION("keeps a strike when an older copy arrives") {
        table.change(suspect, at_ms(5), merge({0, 1}));
        CHECK(table.strikes(suspect) == 2);
    }
    SECTION("counts strikes that an entry reports after a withdrawal") {
        // An entry does not track withdrawals; its count must not be treated as an older state.
        table.change(suspect, at_ms(20), merge({1, 0}));
        table.change(suspect, at_ms(30), [](const suspicion& known) { return with_strikes(known, 2); });
        CHECK(table.strikes(suspect) == 2);
    }
    SECTION("applies a withdrawal recorded by another daemon") {
        table.change(suspect, at_ms(20), merge({1, 1}));
        CHECK(table.strikes(suspect) == 1);
    }
    SECTION("drops fingerprints that have not changed since the given time") {
        table.forget_before(at_ms(10));
        CHECK(table.strikes(suspect) == 2);
        table.forget_before(at_ms(11));
        CHECK(table.strikes(suspect) == 0);
    }
}

TEST_CASE("a coordinator's suspects") {
    member_info self;
    self.instance = instance_id{"i1"};
    self.zone = zone_id{"a"};
    zone_coordinator decisions{self, {}, {}, 1};
    fingerprint suspect{5};
    auto suspects_at = [&](std::int64_t ms) { return decisions.suspects(at_ms(ms)); };
    decisions.report_suspect(suspect, {0, 2}, at_ms(10));
    SECTION("keep their strikes when a later report has fewer") {
        decisions.report_suspect(suspect, {0, 1}, at_ms(20));
        REQUIRE(suspects_at(20).size() == 1);
        CHECK(suspects_at(20).front().state == suspicion{0, 2});
    }
    SECTION("apply a withdrawal, also when an older copy arrives after it") {
        decisions.report_suspect(suspect, {1, 1}, at_ms(20));
        decisions.report_suspect(suspect, {0, 2}, at_ms(30));
        CHECK(suspects_at(30).front().state == suspicion{1, 1});
    }
    SECTION("are removed after their lifetime") {
        auto after = std::chrono::duration_cast<milliseconds>(SUSPECT_LIFETIME).count() + 10;
        CHECK(suspects_at(after - 1).size() == 1);
        CHECK(suspects_at(after).empty());
    }
}
