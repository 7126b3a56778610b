#include "eelgrassledge/config/session_limits.hpp"

#include <catch2/catch.hpp>

#include "eelgrassledge/config/settings.hpp"

using namespace eelgrassledge;

// Guards against limits that exceed the machine, or wrap around with the smallest settings that are accepted.
TEST_CASE("limits of sessions stay within the memory and the descriptors of the machine") {
    const std::vector<ini_entry> required{{"instance", "one"},
                                          {"zone", "a"},
                                          {"http_address", "127.0.0.1:1"},
                                          {"peer_address", "127.0.0.1:2"},
                                          {"platform_address", "127.0.0.1:3"}};
    auto settings_with = [&](const std::vector<ini_entry>& more) {
        auto all = required;
        all.insert(all.end(), more.begin(), more.end());
        return parse_settings("", all);
    };
    for (const auto& more :
         std::vector<std::vector<ini_entry>>{{},
                                             {{"memory_mb", "40"}, {"max_fds", "300"}},
                                             {{"memory_mb", "1048576"}, {"max_fds", "1048576"}}}) {
        auto settings = settings_with(more);
        REQUIRE(settings);
        auto callers = caller_limits(settings->memory_mb, settings->max_fds);
        auto peers = peer_limits(settings->memory_mb, settings->max_fds);
        CHECK(callers.bytes > 0);
        CHECK(callers.bytes + peers.bytes < std::size_t{settings->memory_mb} << 20U);
        CHECK(peers.connections > 0);
        CHECK(callers.connections + peers.connections + KEPT_DESCRIPTORS < settings->max_fds);
    }
    CHECK_FALSE(settings_with({{"memory_mb", "39"}}));
    CHECK_FALSE(settings_with({{"max_fds", "299"}}));
}
