// A service has six searchers in one zone, and one is added in another zone. The added one drains while it is
// cold, so that its entry changes with each heartbeat; then the zone of the others is evacuated. Later than
// the bound for new work, the draining searcher gets requests again. TROUBLE=0 leaves out the evacuation.

#include <fmt/format.h>

#include <csignal>

#include "stage.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::review;

namespace {

constexpr const char* SERVICE = "recipe-book-1";
/// Searchers at the start. One more is added and drains: shares of 0.17 and 0.14.
constexpr int SEARCHERS = 6;

constexpr int SLOTS = 6;
constexpr int WORK_MS = 100;
constexpr int DEADLINE_MS = 1500;
constexpr int DRAIN_MS = 3000;
constexpr int WARM_UP_MS = 3000;

/// Time between two heartbeats of a searcher, as in the settings.
constexpr int HEARTBEAT_MS = 1200;

/// Time from the start of the added searcher to its draining.
constexpr int DRAINS_AFTER_MS = 400;

/// How long a draining searcher serves after the store has accepted that it drains.
constexpr int SERVES_MS = 3200;

/// Time from the draining to the evacuation of the zone of the other searchers.
constexpr int EVACUATED_AFTER_MS = 2700;

/// Time between two requests at each daemon.
constexpr int REQUEST_INTERVAL_MS = 40;

auto configuration() -> std::string {
    nlohmann::json route{{"name", "r-1"},         {"hostname", "desk.example"}, {"pathPrefix", "/recipes/"},
                         {"routeType", "unsafe"}, {"timeoutMs", DEADLINE_MS},   {"targetLatencyMs", 600},
                         {"priority", 2},         {"backend", SERVICE},         {"maxAttempts", 2}};
    nlohmann::json service{{"name", SERVICE},      {"healthCheckPath", "/health"},
                           {"maxConnections", 26}, {"protocol", "h1"},
                           {"tls", false},         {"warmupS", 3.0},
                           {"warmupPerS", 0.0}};
    nlohmann::json document{{"version", 7},
                            {"routes", {route}},
                            {"backends", {service}},
                            {"limits",
                             {{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", 262144},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000}}}};
    return document.dump();
}

auto run(stage& s) -> int {
    s.start_store();
    s.put("op/config", configuration());
    for (int i = 1; i <= SEARCHERS; ++i) {
        s.beat(s.start_searcher(fmt::format("i-{}", i), SERVICE, "sofia-a", SLOTS, WORK_MS), "ready");
    }
    std::vector<daemon_process*> daemons{&s.add_daemon("sofia-a"), &s.add_daemon("sofia-b")};
    for (auto* daemon : daemons) {
        s.start_daemon(*daemon);
    }
    s.wait_until_ready();
    s.record("daemons are ready");
    int count = 0;
    auto send_to_all = [&] {
        for (auto* daemon : daemons) {
            s.send(daemon->caller_address, "POST", "/recipes/save", fmt::format("q{}", ++count), DEADLINE_MS,
                   "a recipe");
        }
    };
    // Longer than `contactMs`, so that the daemons are in touch.
    for (int i = 0; i < 125; ++i) {
        send_to_all();
        s.wait(milliseconds{REQUEST_INTERVAL_MS});
    }
    auto& added = s.start_searcher("i-added", SERVICE, "sofia-b", SLOTS, WORK_MS);
    auto born_ms = s.beat(added, "ready", WARM_UP_MS);
    s.wait(milliseconds{DRAINS_AFTER_MS});
    s.make_leaving(added);
    auto drained_ms = s.beat(added, "draining", WARM_UP_MS - DRAINS_AFTER_MS);
    auto next_beat_ms = born_ms + HEARTBEAT_MS;
    auto is_evacuated = false;
    while (s.now_ms() < drained_ms + SERVES_MS) {
        send_to_all();
        s.wait(milliseconds{REQUEST_INTERVAL_MS});
        if (s.now_ms() >= next_beat_ms) {
            auto left_ms = std::max(0, WARM_UP_MS - static_cast<int>(next_beat_ms - born_ms));
            s.beat(added, "draining", left_ms);
            next_beat_ms += HEARTBEAT_MS;
        }
        if (has_trouble() && !is_evacuated && s.now_ms() >= drained_ms + EVACUATED_AFTER_MS) {
            is_evacuated = true;
            s.record("store acknowledged the evacuation of sofia-a", s.put("op/evacuate/sofia-a", "{}"));
        }
    }
    s.record("i-added exits");
    added.process->signal(SIGKILL);
    s.wait(milliseconds{DEADLINE_MS});

    int late = 0;
    int lost = 0;
    for (const auto& event : s.events(added)) {
        s.record(fmt::format("i-added: {} {}", event.event, event.request), event.at_ms);
        late += event.event == "arrived" && event.at_ms > drained_ms + DRAIN_MS ? 1 : 0;
    }
    for (const auto& request : s.requests()) {
        lost += request->has_ended && request->result.status == 504 ? 1 : 0;
    }
    s.record(
        fmt::format("{} requests reached i-added later than {} ms after the acknowledgement; "
                    "{} requests ended with status 504",
                    late, DRAIN_MS, lost));
    return late == 0 ? RULE_HELD : RULE_BROKEN;
}

}  // namespace

auto main(int argc, char** argv) -> int {
    return run_case(argc, argv, run);
}
