#include <catch2/catch.hpp>
#include <thread>

#include "cluster.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

/// Requests that searchers received beyond their rate, in total.
auto overloads(cluster& c) -> std::uint64_t {
    std::uint64_t total = 0;
    for (const auto& one : c.searchers) {
        auto counts = c.counts(one);
        total += counts.is_object() ? counts.value("overloads", std::uint64_t{0}) : 0;
    }
    return total;
}

auto plan() -> cluster_plan {
    cluster_plan p;
    p.services[0].keys = "slots = 2\ncold_rate_per_s = 20\nwarm_rate_per_s = 200\nwarm_up_requests = 100\n";
    p.services[0].searcher_options = {"--cold-rate", "20", "--warm-rate", "200", "--warm-requests", "100"};
    return p;
}

}  // namespace

TEST_CASE("cold searchers receive no more requests than their cold rate allows", "[cold]") {
    cluster c{plan()};
    REQUIRE(c.wait_until_serving());
    auto load = c.start_load({"--service", "label-desk", "--rate", "80", "--duration", "12"});

    SECTION("when all are cold at once") {}
    SECTION("when searchers restart without warning while they are busy") {
        for (int i = 0; i < 3; ++i) {
            std::this_thread::sleep_for(seconds{3});
            auto& victim = c.searchers[static_cast<std::size_t>(i)];
            victim.process->signal(SIGKILL);
            victim.process->wait_for_end(seconds{2});
            c.start_searcher(victim);
        }
    }
    SECTION("when their broker is killed") {
        std::this_thread::sleep_for(seconds{2});
        c.daemons[1].process->signal(SIGKILL);
    }
    SECTION("when their broker is suspended until its lease has expired and resumed, while they restart") {
        std::this_thread::sleep_for(seconds{2});
        c.daemons[0].process->signal(SIGSTOP);
        c.searchers[0].process->signal(SIGKILL);
        c.searchers[0].process->wait_for_end(seconds{2});
        c.start_searcher(c.searchers[0]);
        std::this_thread::sleep_for(seconds{6});
        c.daemons[0].process->signal(SIGCONT);
    }
    SECTION("when the platform is down and a searcher restarts") {
        std::this_thread::sleep_for(seconds{2});
        c.control_platform({{"outage", "hang"}});
        std::this_thread::sleep_for(seconds{4});
        c.searchers[0].process->signal(SIGKILL);
        c.searchers[0].process->wait_for_end(seconds{2});
        c.start_searcher(c.searchers[0]);
        std::this_thread::sleep_for(seconds{3});
        c.control_platform({{"outage", "none"}});
    }
    auto report = load.report(seconds{40});
    INFO(report.dump());
    CHECK(overloads(c) == 0);
    REQUIRE(report.is_object());
    CHECK(report["doubled"] == 0);
    CHECK(report["crossed"] == 0);
    CHECK(report["mislabelled"] == 0);
}
