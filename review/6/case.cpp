// REFUSED: a searcher fails part of the requests that it has run, and a refusal of its own reaches the client
// as the promise that the request has not run.

#include <fmt/format.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include "stage.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::review;

namespace {

constexpr int OPERATIONS = 800;
constexpr int DEADLINE_MS = 6000;

/// One of seven searchers, 0.143, fails 0.4 of its requests.
constexpr int SEARCHERS = 7;
constexpr double FAILED_SHARE = 0.4;

auto promises_not_run(int status) -> bool {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

auto play(stage& on) -> int {
    const std::vector<std::string> zones{"sofia-a", "sofia-b", "sofia-c", "sofia-d"};
    for (int i = 0; i < SEARCHERS; ++i) {
        auto is_faulty = has_trouble() && i == 0;
        on.add_searcher(fmt::format("i-{}", i), "recipe-book",
                        zones[static_cast<std::size_t>(i) % zones.size()], is_faulty ? "busy" : "none",
                        is_faulty ? FAILED_SHARE : 0);
    }
    on.configure({{"/orders/", "unsafe", "recipe-book"}});
    on.start_daemons(zones);
    if (!on.wait_until_ready()) {
        std::cout << "the daemons do not get ready\n";
        return CANNOT_RUN;
    }
    std::mutex lock;
    std::map<std::string, int> refused;
    std::atomic<int> served = 0;
    run_by_clients(OPERATIONS, [&](int i) {
        // A client honours the promise of a refusal: it sends the request once more, as another attempt.
        for (int attempt = 0; attempt < 2; ++attempt) {
            auto id = fmt::format("op{}-{}", i, attempt);
            const auto& to = on.daemons[static_cast<std::size_t>(i + attempt) % on.daemons.size()];
            auto answer = on.send(to, "POST", fmt::format("/orders/{}", i), id, DEADLINE_MS, "one order");
            served += answer.status == 200 ? 1 : 0;
            if (!promises_not_run(answer.status)) {
                break;
            }
            std::lock_guard guard{lock};
            refused[id] = answer.status;
        }
    });
    std::this_thread::sleep_for(seconds{1});
    auto runs = on.collect_runs();
    int broken = 0;
    int run_twice = 0;
    for (const auto& [id, status] : refused) {
        if (!runs.contains(id)) {
            continue;
        }
        on.record(fmt::format("REFUSED broken: {} was answered {} and has run", id, status));
        ++broken;
        auto second_attempt = id.substr(0, id.find('-')) + "-1";
        run_twice += second_attempt != id && runs.contains(second_attempt) ? 1 : 0;
    }
    auto result = fmt::format(
        "{} operations, {} answered 200, {} attempts refused, {} of the refused had run; "
        "{} operations ran twice, since their client believed the refusal",
        OPERATIONS, served.load(), refused.size(), broken, run_twice);
    on.record(result);
    std::cout << result << '\n';
    if (served < OPERATIONS / 2) {
        return CANNOT_RUN;
    }
    return broken > 0 ? RULE_BROKEN : RULE_HELD;
}

}  // namespace

auto main(int argc, char** argv) -> int {
    try {
        stage on{{argv + 1, argv + argc}};
        return play(on);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return CANNOT_RUN;
    }
}
