#pragma once

#include <string>

#include "eelgrassledge/routing/routed_query.hpp"
#include "test_clock.hpp"

namespace eelgrassledge::test {

inline auto make_record(const std::string& id, const std::string& service, const std::string& zone = "a")
    -> upstream_record {
    upstream_record record;
    record.id = upstream_id{id};
    record.service = service_id{service};
    record.address = "127.0.0.1:1";
    record.zone = zone_id{zone};
    record.slots = 2;
    record.born_unix_ms = 1;
    return record;
}

/// Routing state with three routes: `gather` over shards s0 .. s(n-1), `one` to service s0, and `once` to s0,
/// whose requests run at most once. Each shard has two replicas, one in zone a and one in zone b; this
/// instance is in zone a.
struct routing_fixture {
    explicit routing_fixture(std::size_t shards = 4, double extra_ratio = 1, double allowance = 1000)
        : state(make_policy(extra_ratio, allowance), {milliseconds{1500}, milliseconds{2300}},
                [this] { return random_value; }) {
        route_table_content content;
        content.version = config_version{7};
        route gather;
        gather.name = "gather";
        gather.host = "desk.example";
        gather.path_prefix = "/gather/";
        gather.repeat = repeat_policy::idempotent;
        gather.timeout = milliseconds{1500};
        gather.latency_objective = milliseconds{100};
        gather.max_attempts = 2;
        gather.gather = gather_rule{{}, 3, 0.75};
        route one = gather;
        one.name = "one";
        one.path_prefix = "/one/";
        one.gather.reset();
        one.targets = {{service_id{"s0"}, 1}};
        route once = one;
        once.name = "once";
        once.path_prefix = "/once/";
        once.repeat = repeat_policy::at_most_once;
        for (std::size_t i = 0; i < shards; ++i) {
            auto name = "s" + std::to_string(i);
            gather.gather->shards.emplace_back(name);
            content.services.push_back({service_id{name}, "/health", 20, 0});
            for (const auto* zone : {"a", "b"}) {
                state.upstreams().announce(make_record(name + zone, name, zone), at_ms(0));
            }
        }
        content.routes = {gather, one, once};
        table = std::make_shared<const route_table>(std::move(content));
    }

    static auto make_policy(double extra_ratio, double allowance) -> routing_policy {
        routing_policy policy;
        policy.own_zone = zone_id{"a"};
        policy.budget.ratio = extra_ratio;
        policy.budget.allowance = allowance;
        policy.answer_margin = milliseconds{10};
        return policy;
    }

    auto setup(const std::string& path, std::int64_t deadline_ms = 1000) const -> query_setup {
        query_setup s;
        s.table = table;
        s.matched = table->find("desk.example", path);
        s.received = at_ms(0);
        s.caller_deadline = at_ms(deadline_ms);
        return s;
    }

    /// Result of each call of the random source of `state`.
    double random_value = 0;
    routing_state state;
    shared_route_table table;
    std::uint64_t next_attempt = 1;
};

/// Outcome of a sub-request with a successful answer.
inline auto good_answer(const std::string& signature, const std::string& body = "") -> attempt_outcome {
    attempt_outcome outcome;
    outcome.end = attempt_end::answered;
    outcome.reply.status = 200;
    outcome.reply.signature = signature;
    outcome.reply.body = body;
    return outcome;
}

/// Outcome of a sub-request that ended as given, with an empty reply.
inline auto ended_as(attempt_end end) -> attempt_outcome {
    attempt_outcome outcome;
    outcome.end = end;
    outcome.reason = "test";
    return outcome;
}

}  // namespace eelgrassledge::test
