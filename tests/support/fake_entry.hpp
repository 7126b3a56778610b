#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "eelgrassledge/entry/entry_service.hpp"
#include "fake_broker.hpp"

namespace eelgrassledge::test {

/// An `entry_service` for one service with a simulated clock. Records its actions; the test answers the
/// sub-requests.
class entry_fixture {
  public:
    explicit entry_fixture(std::uint32_t shards = 2, std::uint32_t replicas = 2, bool canary = false,
                           entry_policy policy = {})
        : shard_count(shards), service(spec_of(canary), policy, [this] { return next_id++; }) {
        std::vector<upstream_route> routes;
        for (std::uint32_t s = 0; s < shards; ++s) {
            for (std::uint32_t r = 0; r < replicas; ++r) {
                routes.push_back({upstream_name(s, r), zone_id{"z" + std::to_string(r)},
                                  instance_id{"broker-" + std::to_string(r)}, true});
            }
        }
        service.view().set_routes(routes);
        for (std::uint32_t s = 0; s < shards; ++s) {
            for (std::uint32_t r = 0; r < replicas; ++r) {
                report_holdings(s, r, {1});
            }
        }
    }

    static auto spec_of(bool canary) -> service_spec {
        service_spec spec;
        spec.name = service_id{"s"};
        spec.canary = canary;
        spec.hedge_percent = 50;
        return spec;
    }

    static auto upstream_name(std::uint32_t shard, std::uint32_t replica) -> upstream_id {
        return upstream_id{"u" + std::to_string(shard) + "-" + std::to_string(replica)};
    }

    auto load_of(std::uint32_t shard, std::uint32_t replica, const std::vector<std::uint64_t>& snapshots)
        -> upstream_load {
        upstream_load load;
        load.upstream = upstream_name(shard, replica);
        load.slots = 2;
        load.service_time = milliseconds{8};
        for (auto snapshot : snapshots) {
            load.holdings.push_back({snapshot_id{snapshot}, shard_index{shard}, shard_count});
        }
        return load;
    }

    /// Reports that a replica of a shard holds the given snapshots.
    auto report_holdings(std::uint32_t shard, std::uint32_t replica,
                         const std::vector<std::uint64_t>& snapshots) -> void {
        service.view().record_load(load_of(shard, replica, snapshots), now);
    }

    auto request(const std::string& id = "r") -> search_request {
        search_request r;
        r.request = request_id{id};
        r.service = service_id{"s"};
        r.received = now;
        r.deadline = now + milliseconds{150};
        r.print = fingerprint{4};
        r.text = id;
        return r;
    }

    auto submit(search_request r) -> void { take(service.submit(std::move(r), now).actions); }

    /// Answers a sub-request as its upstream would; `change` modifies the answer before it is delivered.
    auto answer(const sub_request& sub, result_code code = result_code::ok,
                const std::function<void(sub_answer&)>& change = {}) -> void {
        sub_answer a;
        a.key = sub.key;
        a.code = code;
        a.snapshot = sub.snapshot;
        a.shard = sub.shard;
        a.service_time = milliseconds{8};
        a.load.upstream = sub.upstream;
        a.load.slots = 2;
        a.load.service_time = milliseconds{8};
        if (code == result_code::ok) {
            a.hits = {{"record-" + std::to_string(sub.shard.value()), 1.0, sub.request.value()}};
        }
        if (change) {
            change(a);
        }
        take(service.on_answer(a, now));
    }

    /// Moves the clock to `ms` and handles what is due.
    auto advance_to(std::int64_t ms) -> void {
        now = at_ms(ms);
        take(service.advance(now));
    }

    /// Sub-requests sent since the last call, oldest first.
    auto take_sent() -> std::vector<sub_request> { return std::exchange(sent, {}); }

    /// Records actions by kind.
    auto take(entry_actions actions) -> void {
        for (auto& action : actions) {
            if (auto* dispatch = std::get_if<dispatch_action>(&action)) {
                sent.push_back(dispatch->request);
            } else if (auto* withdraw = std::get_if<withdraw_action>(&action)) {
                withdrawn.push_back(withdraw->id);
            } else if (auto* reply = std::get_if<reply_action>(&action)) {
                replies.push_back(reply->answer);
            } else if (auto* suspect = std::get_if<suspect_action>(&action)) {
                suspects.push_back(*suspect);
            } else {
                notes.push_back(std::get<note_action>(action).reason);
            }
        }
    }

    std::uint32_t shard_count;
    std::uint64_t next_id = 1;
    entry_service service;
    time_point now = at_ms(0);
    std::vector<sub_request> sent;
    std::vector<sub_request_id> withdrawn;
    std::vector<search_answer> replies;
    std::vector<suspect_action> suspects;
    std::vector<note_reason> notes;
};

}  // namespace eelgrassledge::test
