#include <catch2/catch.hpp>

#include "eelgrassledge/proxy/feed_messages.hpp"
#include "eelgrassledge/proxy/feed_source.hpp"
#include "eelgrassledge/proxy/instance_registration.hpp"
#include "eelgrassledge/proxy/store_follower.hpp"
#include "eelgrassledge/proxy/strike_register.hpp"

using namespace eelgrassledge;

namespace {

auto ignore_log() -> event_log {
    return [](log_level, std::string_view, const std::vector<log_field>&) {};
}

auto make_page(const std::vector<std::string>& keys, bool has_more) -> store_page {
    store_page page;
    for (const auto& key : keys) {
        page.items.push_back({key, "value", mod_revision{5}});
        page.last_key = key;
    }
    page.has_more = has_more;
    page.current = mod_revision{9};
    return page;
}

}  // namespace

TEST_CASE("a listing of the store with a page that has no readable key") {
    network_context network;
    std::vector<std::string> asked;
    bool is_readable = false;
    watched_store store;
    store.list = [&](const std::string&, const std::string& after, watched_store::done<store_page> done) {
        asked.push_back(after);
        if (after.empty()) {
            done(make_page({"a"}, true));
        } else if (is_readable) {
            done(make_page({"b"}, false));
        } else {
            done(make_page({}, true));
        }
    };
    store.watch = [](const std::string&, store_position, duration, const watched_store::done<store_events>&) {
    };
    store_replica replica;
    bool listed = false;
    std::vector<std::string> removed;
    follower_hooks hooks;
    hooks.changed = [](const std::string&, const std::string&) {};
    hooks.removed = [&](const std::string& key) { removed.push_back(key); };
    hooks.listed = [&] { listed = true; };
    replica.apply({"b", "older", mod_revision{3}});
    store_follower follower{network.loop, store, "", seconds{3}, replica, hooks, [] {}, ignore_log()};
    follower.start();
    SECTION("does not count as complete, so that no key is removed, and is continued where it stopped") {
        CHECK_FALSE(listed);
        CHECK(removed.empty());
        is_readable = true;
        network.loop.run_for(std::chrono::milliseconds{300});
        CHECK(listed);
        CHECK(removed.empty());
        CHECK(asked == std::vector<std::string>{"", "a", "a"});
    }
    SECTION("is asked for again with growing pauses") {
        network.loop.run_for(std::chrono::milliseconds{1000});
        CHECK_FALSE(listed);
        CHECK(asked.size() <= 7);
    }
}

TEST_CASE("a listing from another instance whose entry has no value is not used") {
    network_context network;
    feed_answer listing;
    listing.changes.is_listing = true;
    listing.changes.current = mod_revision{7};
    listing.changes.events = {{"a", "value", mod_revision{6}}, {"b", std::nullopt, mod_revision{7}}};
    http_server peer{network, [&](const shared_session& session, const inbound_request&) {
                         session->respond({200, {}, encode_feed_answer(listing)});
                     }};
    REQUIRE(peer.listen({asio::ip::address_v4::loopback(), 0}));
    watched_store store;
    store.list = [](const std::string&, const std::string&, const watched_store::done<store_page>& done) {
        done(fail(result_code::store_unavailable, "refused"));
    };
    store.watch = [](const std::string&, store_position, duration,
                     const watched_store::done<store_events>& done) {
        done(fail(result_code::store_unavailable, "refused"));
    };
    store_replica replica;
    feed_server server{network, replica};
    instance_directory instances{{instance_id{"self"}, zone_id{"a"}, "127.0.0.1:1", 1}};
    auto seed = "127.0.0.1:" + std::to_string(peer.address().port());
    store_eras eras;
    feed_source source{network, store, server, instances, eras, {seed}, ignore_log()};
    std::optional<result<store_page>> page;
    auto list = [&] {
        page.reset();
        source.hooks().list("", "", [&](result<store_page> taken) { page = std::move(taken); });
        network.loop.restart();
        network.loop.run_for(std::chrono::milliseconds{100});
    };
    list();
    REQUIRE(page);
    CHECK_FALSE(*page);
    listing.changes.events.pop_back();
    list();
    REQUIRE(page);
    REQUIRE(*page);
    CHECK((*page)->items.size() == 1);
}

TEST_CASE("the newest known era of the store") {
    store_eras eras;
    std::vector<std::int64_t> rises;
    eras.on_rise([&](store_era, store_era to) { rises.push_back(to.value()); });
    // An instance that starts knows nothing of earlier eras, so there is nothing to write again.
    CHECK(eras.seen(store_era{3}) == era_order::same);
    CHECK(eras.seen(store_era{3}) == era_order::same);
    CHECK(rises.empty());
    CHECK(eras.seen(store_era{5}) == era_order::newer);
    CHECK(eras.seen(store_era{4}) == era_order::older);
    CHECK(eras.seen(store_era{0}) == era_order::older);
    CHECK(eras.seen(store_era{5}) == era_order::same);
    CHECK(rises == std::vector<std::int64_t>{5});
}

namespace {

/// A store whose calls are answered by the test.
struct scripted_store {
    std::vector<watched_store::done<store_page>> lists;
    std::vector<watched_store::done<store_events>> watches;
    std::vector<store_position> watched_from;
    watched_store hooks;

    scripted_store() {
        hooks.list = [this](const std::string&, const std::string&, watched_store::done<store_page> done) {
            lists.push_back(std::move(done));
        };
        hooks.watch = [this](const std::string&, store_position after, duration,
                             watched_store::done<store_events> done) {
            watched_from.push_back(after);
            watches.push_back(std::move(done));
        };
    }
};

auto era_page(std::int64_t era, std::int64_t current, std::vector<key_value> items, bool has_more = false)
    -> store_page {
    store_page page;
    page.items = std::move(items);
    page.last_key = page.items.empty() ? "" : page.items.back().key;
    page.has_more = has_more;
    page.era = store_era{era};
    page.current = mod_revision{current};
    return page;
}

}  // namespace

// Guards against a follower that goes on watching from a revision of the lost time, or that mixes answers of
// two eras.
TEST_CASE("a follower of a store that was restored from a copy") {
    network_context network;
    scripted_store store;
    store_replica replica;
    std::vector<std::string> calls;
    follower_hooks hooks;
    hooks.changed = [&](const std::string& key, const std::string& value) {
        calls.push_back(key + "=" + value);
    };
    hooks.restored = [&](const std::string& key, const std::string& previous, const std::string& value) {
        calls.push_back(key + ":" + previous + ">" + value);
    };
    hooks.removed = [&](const std::string& key) { calls.push_back(key + " removed"); };
    hooks.listed = [] {};
    store_follower follower{network.loop, store.hooks, "", seconds{3}, replica, hooks, [] {}, ignore_log()};
    auto run = [&] {
        network.loop.restart();
        network.loop.run_for(std::chrono::milliseconds{300});
    };
    follower.start();
    store.lists.at(0)(era_page(1, 20, {{"a", "old", mod_revision{5}}, {"b", "old", mod_revision{6}}}));
    REQUIRE(store.watches.size() == 1);
    store_events change;
    change.era = store_era{1};
    change.events = {{"a", "lost", mod_revision{30}}};
    change.current = mod_revision{30};
    store.watches.at(0)(change);
    run();
    REQUIRE(store.watches.size() == 2);
    calls.clear();

    SECTION("lists at once, and ignores the answers to earlier calls") {
        follower.store_restored();
        REQUIRE(store.lists.size() == 2);
        change.events = {{"a", "late", mod_revision{31}}};
        store.watches.at(1)(change);
        CHECK(calls.empty());
        store.lists.at(1)(era_page(2, 12, {{"a", "old", mod_revision{5}}, {"c", "new", mod_revision{12}}}));
        CHECK(calls == std::vector<std::string>{"a:lost>old", "c=new", "b removed"});
        REQUIRE(store.watched_from.size() == 3);
        CHECK(store.watched_from.back() == store_position{store_era{2}, mod_revision{12}});
    }
    SECTION("lists when a watch returns changes of the new era, which may not be all") {
        change.era = store_era{2};
        change.events = {{"a", "new", mod_revision{31}}};
        change.current = mod_revision{31};
        store.watches.at(1)(change);
        run();
        CHECK(calls.empty());
        CHECK(store.lists.size() == 2);
    }
    SECTION("removes nothing until the listing is complete, and begins again when the era rises meanwhile") {
        follower.store_restored();
        store.lists.at(1)(era_page(2, 12, {{"a", "old", mod_revision{5}}}, true));
        CHECK(calls.empty());
        REQUIRE(store.lists.size() == 3);
        store.lists.at(2)(era_page(3, 9, {{"b", "old", mod_revision{6}}}));
        CHECK(calls.empty());
        REQUIRE(store.lists.size() == 4);
        store.lists.at(3)(era_page(3, 9, {{"a", "old", mod_revision{5}}, {"b", "old", mod_revision{6}}}));
        CHECK(calls == std::vector<std::string>{"a:lost>old", "b:old>old"});
        CHECK(replica.current() == store_position{store_era{3}, mod_revision{9}});
    }
    SECTION("takes no listing of an older era") {
        follower.store_restored();
        store.lists.at(1)(era_page(2, 12, {{"a", "old", mod_revision{5}}}));
        calls.clear();
        follower.store_restored();
        store.lists.at(2)(era_page(1, 50, {{"a", "lost", mod_revision{30}}}));
        run();
        CHECK(calls.empty());
        CHECK(store.lists.size() == 4);
    }
}

// Guards against an instance that gives the state of the lost time to one that knows of the restore.
TEST_CASE("answers of another instance and the era of the store") {
    network_context network;
    feed_answer answer;
    answer.changes.era = store_era{1};
    answer.changes.current = mod_revision{90};
    answer.changes.events = {{"a", "lost", mod_revision{90}}};
    std::vector<std::string> asked_eras;
    http_server peer{network, [&](const shared_session& session, const inbound_request& request) {
                         asked_eras.emplace_back(header_value(request.headers, FEED_ERA_HEADER));
                         session->respond({200, {}, encode_feed_answer(answer)});
                     }};
    REQUIRE(peer.listen({asio::ip::address_v4::loopback(), 0}));
    watched_store store;
    store.watch = [](const std::string&, store_position, duration,
                     const watched_store::done<store_events>& done) {
        done(fail(result_code::store_unavailable, "refused"));
    };
    store_replica replica;
    feed_server server{network, replica};
    instance_directory instances{{instance_id{"self"}, zone_id{"a"}, "127.0.0.1:1", 1}};
    auto seed = "127.0.0.1:" + std::to_string(peer.address().port());
    store_eras eras;
    (void)eras.seen(store_era{2});
    feed_source source{network, store, server, instances, eras, {seed}, ignore_log()};
    std::vector<time_point> confirmed;
    source.on_confirmed([&](time_point at) { confirmed.push_back(at); });
    std::optional<result<store_events>> events;
    auto watch = [&] {
        events.reset();
        source.hooks().watch("", {store_era{2}, mod_revision{12}}, seconds{1},
                             [&](result<store_events> taken) { events = std::move(taken); });
        network.loop.restart();
        network.loop.run_for(std::chrono::milliseconds{100});
    };
    SECTION("an older era changes nothing and confirms nothing") {
        watch();
        REQUIRE(events);
        CHECK_FALSE(*events);
        CHECK(confirmed.empty());
        CHECK(asked_eras == std::vector<std::string>{"2"});
    }
    SECTION("a newer era is noticed, and disappearing entries may return after it") {
        answer.changes.era = store_era{3};
        auto rises = 0;
        eras.on_rise([&](store_era, store_era) { ++rises; });
        watch();
        CHECK(rises == 1);
        CHECK(confirmed.empty());
    }
    SECTION("a restore counts as an outage until the listing after it") {
        CHECK_FALSE(source.had_recent_outage(monotonic_now()));
        source.store_restored();
        CHECK(source.had_recent_outage(monotonic_now()));
    }
}

// Guards against an instance that registers after it was told to stop.
TEST_CASE("a registration that ends while its lease is requested") {
    network_context network;
    watched_store::done<lease_id> granted;
    std::size_t puts = 0;
    watched_store store;
    store.grant = [&](duration, watched_store::done<lease_id> done) { granted = std::move(done); };
    store.put = [&](const std::string&, const std::string&, lease_id, const watched_store::done<bool>&) {
        ++puts;
    };
    instance_registration registration{network.loop, store, "key", "value", {}, ignore_log()};
    registration.start();
    registration.leave();
    granted(lease_id{7});
    CHECK(puts == 0);
}

// Guards against an instance that goes on with a lease that the restored store has lost, or has given to
// another owner.
TEST_CASE("a registration in a store that was restored from a copy") {
    network_context network;
    std::vector<watched_store::done<lease_id>> grants;
    std::vector<std::pair<lease_id, watched_store::done<bool>>> puts;
    std::vector<lease_id> renewed;
    std::vector<lease_id> revoked;
    watched_store store;
    store.grant = [&](duration, watched_store::done<lease_id> done) { grants.push_back(std::move(done)); };
    store.put = [&](const std::string&, const std::string&, lease_id lease, watched_store::done<bool> done) {
        puts.emplace_back(lease, std::move(done));
    };
    store.revoke = [&](lease_id lease, const watched_store::done<bool>&) { revoked.push_back(lease); };
    instance_registration registration{network.loop, store, "key", "value", {}, ignore_log()};
    registration.on_lease([&](lease_id lease, time_point) { renewed.push_back(lease); }, [] {});
    registration.start();
    grants.at(0)(lease_id{101});
    REQUIRE(puts.size() == 1);

    registration.store_restored();
    SECTION("requests a new lease at once and writes the key under it") {
        // The write of the previous era is answered late.
        puts.at(0).second(true);
        REQUIRE(grants.size() == 2);
        grants.at(1)(lease_id{7});
        REQUIRE(puts.size() == 2);
        CHECK(puts.at(1).first == lease_id{7});
        CHECK(renewed == std::vector<lease_id>{lease_id{101}, lease_id{7}});
    }
    SECTION("does not end a lease of the previous era, whose id may be another owner's") {
        registration.leave();
        CHECK(revoked.empty());
        grants.at(1)(lease_id{7});
        CHECK(puts.size() == 1);
    }
}

// Guards against a strike that the restored store has lost and that no instance writes again.
TEST_CASE("strikes in a store that was restored from a copy") {
    network_context network;
    std::vector<lease_id> leases{lease_id{101}, lease_id{7}};
    std::vector<std::pair<std::string, lease_id>> puts;
    std::size_t grants = 0;
    watched_store store;
    store.grant = [&](duration, const watched_store::done<lease_id>& done) { done(leases.at(grants++)); };
    store.put = [&](const std::string& key, const std::string&, lease_id lease,
                    const watched_store::done<bool>& done) {
        puts.emplace_back(key, lease);
        done(true);
    };
    strike_register strikes{network.loop, store, "suspect/", [] { return 0.0; }, ignore_log()};
    strike found;
    found.print = fingerprint{1};
    found.attempt = attempt_hash{2};
    found.upstream = incarnation_hash{3};
    found.at_unix_ms = wall_clock_now() / 1000;
    strikes.found_here(found);
    REQUIRE(puts.size() == 1);
    REQUIRE(strikes.unstored().empty());

    strikes.store_restored();
    CHECK(strikes.unstored().size() == 1);
    SECTION("are written again under a new lease") {
        network.loop.run_for(std::chrono::milliseconds{1300});
        REQUIRE(puts.size() == 2);
        CHECK(puts.at(1).second == lease_id{7});
        CHECK(strikes.unstored().empty());
    }
    SECTION("are not written when the listing has them") {
        strikes.stored(found);
        network.loop.run_for(std::chrono::milliseconds{1300});
        CHECK(puts.size() == 1);
    }
}
