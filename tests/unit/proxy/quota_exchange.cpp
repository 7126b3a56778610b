#include "eelgrassledge/proxy/quota_exchange.hpp"

#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace eelgrassledge;

namespace {

constexpr duration TIME_TO_LIVE = seconds{15};

/// The exchange of instance `a1` in zone `a`; the allocator of zone `b` accepts connections and never
/// answers.
struct exchange_fixture {
    exchange_fixture() {
        team limited;
        limited.name = team_id{"counter"};
        limited.rate_per_s = 10;
        limited.burst = 10;
        route_table_content content;
        content.teams = {limited};
        table = std::make_shared<const route_table>(std::move(content));
        auto port = std::to_string(silent.local_endpoint().port());
        instances.update({instance_id{"b1"}, zone_id{"b"}, "127.0.0.1:" + port, 4});
        store.put_if = [this](const std::string&, const std::string& value, lease_id, mod_revision expected,
                              watched_store::done<bool> done) {
            writes.emplace_back(value, expected);
            done(next_write_succeeds);
        };
    }

    auto ask() -> quota_decision {
        std::optional<quota_decision> decided;
        exchange.ask(*table->team_named(team_id{"counter"}), [&](quota_decision d) { decided = d; });
        network.loop.restart();
        auto give_up = monotonic_now() + seconds{5};
        while (!decided && monotonic_now() < give_up) {
            network.loop.run_one_for(std::chrono::milliseconds{50});
        }
        REQUIRE(decided);
        return *decided;
    }

    network_context network;
    asio::ip::tcp::acceptor silent{network.loop, {asio::ip::make_address("127.0.0.1"), 0}};
    watched_store store;
    result<bool> next_write_succeeds = true;
    std::vector<std::pair<std::string, mod_revision>> writes;
    shared_route_table table;
    instance_directory instances{{instance_id{"a1"}, zone_id{"a"}, "127.0.0.1:1", 4}};
    metrics counters;
    quota_settings settings{{{zone_id{"a"}, zone_id{"b"}}, seconds{5}, 0, 0},
                            "quota/",
                            {{instance_id{"a1"}, 1}, TIME_TO_LIVE, true},
                            zone_id{"a"}};
    quota_exchange exchange{network,
                            store,
                            settings,
                            instances,
                            [this]() -> const shared_route_table& { return table; },
                            [](log_level, std::string_view, const std::vector<log_field>&) {},
                            counters};
};

}  // namespace

// Guards against a write every 0.5 s, and against a grant beside an owner whose key cannot be read.
TEST_CASE("an allocator's key that cannot be read is replaced once per change") {
    exchange_fixture f;
    f.next_write_succeeds = fail(result_code::store_conflict, "changed");
    auto now = monotonic_now();
    f.exchange.lease_renewed(lease_id{7}, now);
    f.exchange.key_changed(zone_id{"a"}, "x a1", {{}, mod_revision{5}});
    f.exchange.listed();
    for (int i = 0; i < 10; ++i) {
        f.exchange.tick({}, now + i * milliseconds{500});
        // The same state may be listed again.
        f.exchange.key_changed(zone_id{"a"}, "x a1", {{}, mod_revision{5}});
    }
    REQUIRE(f.writes.size() == 1);
    CHECK(f.writes.at(0).second == mod_revision{5});
    f.next_write_succeeds = true;
    f.exchange.key_changed(zone_id{"a"}, "y a1", {{}, mod_revision{6}});
    f.exchange.tick({}, now + seconds{5});
    REQUIRE(f.writes.size() == 2);
    CHECK(f.writes.at(1).second == mod_revision{6});
    // A first start of the system is no reason not to wait for the owner of that key.
    CHECK(f.ask().verdict == quota_verdict::unavailable);
}

// Guards against a timeout at each request of a team above its limit, and a 503 that gives no time to wait
// for.
TEST_CASE("an allocator that does not answer is not asked again at once") {
    exchange_fixture f;
    f.exchange.key_changed(zone_id{"b"}, "1 b1", {});
    CHECK(f.ask().verdict == quota_verdict::unavailable);
    CHECK_FALSE(f.instances.is_usable(instance_id{"b1"}, monotonic_now()));
    auto asked = monotonic_now();
    CHECK(f.ask().verdict == quota_verdict::unavailable);
    CHECK(monotonic_now() - asked < milliseconds{50});
    SECTION("and the own zone's denial decides") {
        f.exchange.lease_renewed(lease_id{7}, monotonic_now());
        f.exchange.listed();
        f.exchange.tick({}, monotonic_now());
        f.exchange.key_changed(zone_id{"a"}, "1 a1", {{}, mod_revision{5}});
        while (f.ask().verdict == quota_verdict::granted) {
        }
        CHECK(f.ask().verdict == quota_verdict::denied);
    }
}
