#include "eelgrassledge/routing/send_queue.hpp"

#include <catch2/catch.hpp>

#include "test_clock.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

/// Requests that arrive at twice the rate that one connection runs, for four seconds.
struct overload_replay {
    static constexpr std::int64_t RUN_MS = 20;
    static constexpr std::int64_t OBJECTIVE_MS = 150;
    static constexpr std::int64_t LENGTH_MS = 4000;

    struct waiting_request {
        std::int64_t arrived_ms;
        queued_send place;
    };

    /// Number of requests that are answered within the objective, and of all that were answered.
    template <class Choose>
    auto answered(Choose choose) -> std::pair<int, int> {
        std::vector<waiting_request> queue;
        int in_time = 0;
        int all = 0;
        std::int64_t free_at = 0;
        for (std::int64_t ms = 0; ms < LENGTH_MS || !queue.empty(); ++ms) {
            if (ms < LENGTH_MS && ms % (RUN_MS / 2) == 0) {
                auto last_start = at_ms(ms + OBJECTIVE_MS - OBJECTIVE_MS / 4);
                queue.push_back({ms, {ms % 3 == 0 ? 0U : 1U, last_start}});
            }
            if (ms < free_at || queue.empty()) {
                continue;
            }
            auto next = queue.begin() + static_cast<std::ptrdiff_t>(choose(queue, at_ms(ms)));
            free_at = ms + RUN_MS;
            in_time += free_at - next->arrived_ms <= OBJECTIVE_MS ? 1 : 0;
            ++all;
            queue.erase(next);
        }
        return {in_time, all};
    }
};

}  // namespace

TEST_CASE("requests that wait for a connection to an overloaded upstream") {
    overload_replay replay;
    auto capacity = overload_replay::LENGTH_MS / overload_replay::RUN_MS;
    auto by_decision = [](const std::vector<overload_replay::waiting_request>& queue, time_point now) {
        std::vector<queued_send> places;
        for (const auto& waiting : queue) {
            places.push_back(waiting.place);
        }
        return next_to_send(places, now);
    };
    auto by_arrival = [](const auto&, time_point) { return std::size_t{0}; };
    SECTION("are answered in time as many as it can run; by arrival, hardly any would be") {
        auto [in_time, all] = replay.answered(by_decision);
        CHECK(in_time >= capacity * 9 / 10);
        CHECK(replay.answered(by_arrival).first < capacity / 5);
        // The late ones are answered too.
        CHECK(all == 2 * capacity);
    }
    SECTION("are sent by rank, then by arrival, and late ones last") {
        std::vector<queued_send> queue{
            {1, at_ms(10)}, {1, at_ms(200)}, {0, at_ms(20)}, {0, at_ms(300)}, {0, at_ms(250)}};
        CHECK(next_to_send(queue, at_ms(0)) == 2);
        CHECK(next_to_send(queue, at_ms(30)) == 3);
        CHECK(next_to_send(queue, at_ms(400)) == 2);
        CHECK(next_to_send({{3, at_ms(1)}}, at_ms(5)) == 0);
    }
}
