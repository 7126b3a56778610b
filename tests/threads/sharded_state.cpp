#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "eelgrassledge/broker/suspect_table.hpp"
#include "eelgrassledge/config/document.hpp"
#include "eelgrassledge/output/metrics.hpp"
#include "eelgrassledge/runtime/entry_runtime.hpp"
#include "eelgrassledge/runtime/wakeup_thread.hpp"

using namespace eelgrassledge;

namespace {

constexpr int THREADS = 4;
constexpr int ROUNDS = 500;

template <class Work>
auto run_on_all_threads(Work work) -> void {
    std::vector<std::thread> threads;
    for (int t = 0; t < THREADS; ++t) {
        threads.emplace_back([&, t] { work(t); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

auto two_services() -> document {
    document doc;
    doc.zones[zone_id{"z"}] = placement::in;
    for (const auto* name : {"s1", "s2"}) {
        service_spec spec;
        spec.name = service_id{name};
        spec.canary = false;
        doc.services[spec.name] = spec;
        auto upstream = upstream_id{std::string{name} + "-u"};
        doc.upstreams[upstream] = {upstream, spec.name, zone_id{"z"}, "127.0.0.1:1"};
    }
    return doc;
}

}  // namespace

TEST_CASE("metrics count from several threads") {
    metrics counters;
    run_on_all_threads([&](int t) {
        for (int i = 0; i < ROUNDS; ++i) {
            counters.count("total", {});
            counters.observe("latency", {{"thread", std::to_string(t)}}, milliseconds{i});
            if (i % 100 == 0) {
                (void)counters.text();
            }
        }
    });
    CHECK(counters.counter("total", {}) == THREADS * ROUNDS);
}

TEST_CASE("the suspect table is shared by several threads") {
    suspect_table table;
    run_on_all_threads([&](int t) {
        for (int i = 0; i < ROUNDS; ++i) {
            table.change(
                fingerprint{static_cast<std::uint64_t>(i)}, time_point{milliseconds{i}},
                [&](const suspicion& known) { return with_strikes(known, static_cast<std::uint32_t>(t)); });
            (void)table.strikes(fingerprint{static_cast<std::uint64_t>(i + 1)});
        }
    });
}

TEST_CASE("an entry answers every query once while threads submit, answer and configure") {
    metrics counters;
    wakeup_thread timers;
    entry_runtime* runtime = nullptr;
    entry_hooks hooks;
    hooks.send = [&](const instance_id&, sub_request request) {
        broker_message message;
        message.answer.key = request.key;
        message.answer.snapshot = request.snapshot;
        message.answer.shard = request.shard;
        message.answer.load.upstream = request.upstream;
        message.answer.load.slots = 1000;
        runtime->on_message(message);
    };
    hooks.withdraw = [](const instance_id&, const upstream_id&, sub_request_id) {};
    hooks.on_suspect = [](fingerprint, std::uint32_t) {};
    entry_runtime entry{std::move(hooks), timers, counters, [](log_level, std::string_view, const auto&) {}};
    runtime = &entry;
    auto doc = two_services();
    assignment zone_assignment;
    zone_assignment.zone = zone_id{"z"};
    zone_assignment.owners = {{upstream_id{"s1-u"}, instance_id{"i"}},
                              {upstream_id{"s2-u"}, instance_id{"i"}}};
    std::map<zone_id, assignment> assignments{{zone_assignment.zone, zone_assignment}};
    entry.configure(doc, assignments, {});
    for (const auto* name : {"s1-u", "s2-u"}) {
        upstream_load load;
        load.upstream = upstream_id{name};
        load.slots = 1000;
        load.holdings = {{snapshot_id{1}, shard_index{0}, 1}};
        entry.record_loads({load});
    }
    std::atomic<int> answers{0};
    run_on_all_threads([&](int t) {
        for (int i = 0; i < ROUNDS; ++i) {
            search_request request;
            request.request = request_id{std::to_string(t) + "-" + std::to_string(i)};
            request.service = service_id{t % 2 == 0 ? "s1" : "s2"};
            request.received = monotonic_now();
            request.deadline = request.received + seconds{5};
            request.print = fingerprint{static_cast<std::uint64_t>(i)};
            entry.submit(request, [&](const search_answer& answer) {
                answers += answer.request == request.request ? 1 : 0;
            });
            if (i % 50 == 0) {
                entry.configure(doc, assignments, {});
            }
        }
    });
    CHECK(answers == THREADS * ROUNDS);
    CHECK(entry.running() == 0);
    timers.stop();
}
