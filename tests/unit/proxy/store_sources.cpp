#include <catch2/catch.hpp>

#include "eelgrassledge/proxy/feed_messages.hpp"
#include "eelgrassledge/proxy/feed_source.hpp"
#include "eelgrassledge/proxy/store_follower.hpp"

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
    store.watch = [](const std::string&, mod_revision, duration, const watched_store::done<store_events>&) {};
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
    store.watch = [](const std::string&, mod_revision, duration,
                     const watched_store::done<store_events>& done) {
        done(fail(result_code::store_unavailable, "refused"));
    };
    store_replica replica;
    feed_server server{network, replica};
    instance_directory instances{{instance_id{"self"}, zone_id{"a"}, "127.0.0.1:1", 1}};
    auto seed = "127.0.0.1:" + std::to_string(peer.address().port());
    feed_source source{network, store, server, instances, {seed}, ignore_log()};
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
