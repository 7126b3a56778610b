// Properties of the merge and coverage of a query under random events, checked against an oracle that records
// what the shards answered.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <set>

#include "fake_entry.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

/// Shards that sent a successful, correctly labelled answer for one query, by snapshot.
struct answered_shards {
    std::map<std::uint64_t, std::set<std::uint32_t>> by_snapshot;
};

auto random_code() -> result_code {
    return *rc::gen::weightedElement<result_code>({{10, result_code::ok},
                                                   {1, result_code::not_owner},
                                                   {1, result_code::upstream_failed},
                                                   {1, result_code::wrong_snapshot},
                                                   {1, result_code::queue_expired},
                                                   {1, result_code::upstream_cold},
                                                   {1, result_code::upstream_leaving}});
}

}  // namespace

TEST_CASE("the coverage of an answer matches what the shards answered, in any order of events",
          "[property]") {
    rc::prop("one snapshot, each shard once, no duplicate hits, not_run only if nothing ran", [] {
        auto shards = *rc::gen::inRange<std::uint32_t>(1, 6);
        auto canary = *rc::gen::arbitrary<bool>();
        auto once = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
        entry_fixture e{shards, 2, canary};
        auto request = e.request();
        request.idempotent = !once;
        request.prefer = *rc::gen::arbitrary<bool>() ? preference::time : preference::coverage;
        e.submit(request);
        answered_shards oracle;
        std::vector<sub_request> open;
        std::map<std::uint32_t, int> sent_for_shard;
        bool may_have_run = false;
        auto snapshot = std::uint64_t{1};
        for (int step = 0; step < 80 && e.replies.empty(); ++step) {
            for (auto& sub : e.take_sent()) {
                ++sent_for_shard[sub.shard.value()];
                open.push_back(sub);
            }
            auto action = *rc::gen::inRange(0, 10);
            if (action < 6 && !open.empty()) {
                auto index = *rc::gen::inRange<std::size_t>(0, open.size());
                auto sub = open[index];
                auto duplicate = *rc::gen::weightedElement<bool>({{6, false}, {1, true}});
                auto code = random_code();
                auto mislabelled = *rc::gen::weightedElement<bool>({{12, false}, {1, true}});
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
                if (code == result_code::ok && !mislabelled) {
                    oracle.by_snapshot[sub.snapshot.value()].insert(sub.shard.value());
                }
                RC_LOG() << "answer " << sub.key.id << " shard " << sub.shard << " code " << int(code)
                         << " mislabelled " << mislabelled << "\n";
                may_have_run = may_have_run || describe(code).state != run_state::not_run;
                auto adjust_answer = [&](sub_answer& a) {
                    if (mislabelled) {
                        a.shard = shard_index{a.shard.value() + 1};
                    }
                    if (code == result_code::wrong_snapshot) {
                        a.load = e.load_of(sub.shard.value(), sub.upstream.value().back() - '0', {snapshot});
                    }
                };
                e.answer(sub, code, adjust_answer);
                if (duplicate) {
                    e.answer(sub, code, adjust_answer);
                }
            } else if (action == 6 && !open.empty()) {
                e.take(e.service.on_slow(open.front().key.id, e.now));
            } else if (action == 7) {
                ++snapshot;
                for (std::uint32_t s = 0; s < shards; ++s) {
                    for (std::uint32_t r = 0; r < 2; ++r) {
                        e.report_holdings(s, r, {snapshot});
                    }
                }
            } else {
                e.now += milliseconds{*rc::gen::inRange(1, 40)};
                e.take(e.service.advance(e.now));
            }
        }
        if (e.replies.empty()) {
            for (auto& sub : e.take_sent()) {
                ++sent_for_shard[sub.shard.value()];
            }
            e.now += seconds{2};
            e.take(e.service.advance(e.now));
        }
        RC_ASSERT(e.replies.size() == 1U);
        RC_ASSERT(e.service.running() == 0U);
        const auto& answer = e.replies[0];
        RC_LOG() << "end: code " << int(answer.code) << " state " << to_string(answer.state) << "\n";
        RC_ASSERT(answer.shards_total == shards);
        RC_ASSERT(answer.missing.size() + answer.shards_answered == shards);
        const auto& answered = oracle.by_snapshot[answer.snapshot->value()];
        for (std::uint32_t s = 0; s < shards; ++s) {
            auto missing = std::ranges::find(answer.missing, shard_index{s}) != answer.missing.end();
            if (!missing) {
                RC_ASSERT(answered.contains(s));
            }
        }
        std::set<std::string> records;
        for (const auto& hit : answer.hits) {
            RC_ASSERT(records.insert(hit.record).second);
        }
        RC_ASSERT(answer.complete() == (answer.missing.empty() && answer.code == result_code::ok));
        if (answer.state == run_state::not_run) {
            RC_ASSERT(!may_have_run);
        }
    });
}
