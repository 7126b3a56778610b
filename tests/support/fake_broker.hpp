#pragma once

#include <algorithm>
#include <vector>

#include "eelgrassledge/broker/upstream_broker.hpp"
#include "test_clock.hpp"

namespace eelgrassledge::test {

/// Test fixture: the broker of one upstream "u", with a manually advanced clock and a record of all its
/// actions.
class broker_fixture {
  public:
    explicit broker_fixture(upstream_limits limits = {}) : broker(upstream_id{"u"}, limits) {}

    /// Makes the broker the owner, confirmed by the store until `confirmed_ms`.
    auto grant_ownership(std::int64_t confirmed_ms = 1'000'000) -> void {
        append(broker.set_authority({true, at_ms(confirmed_ms)}, now));
    }

    /// Makes the upstream warm: inherits that state and completes one request with the same start id.
    auto make_warm(std::uint64_t start = 1) -> void {
        broker.inherit({start_id{start}, 1'000'000, true});
        grant_ownership();
        now = at_ms(-8);
        submit(900'000);
        now = at_ms(0);
        finish(900'000, start);
        actions.clear();
    }

    auto request(std::uint64_t id, lane priority = lane::ordinary) -> sub_request {
        sub_request r;
        r.key = {link_id{1}, sub_request_id{id}};
        r.query = query_id{id};
        r.priority = priority;
        r.start = now;
        r.deadline = now + milliseconds{1000};
        r.print = fingerprint{id};
        r.snapshot = snapshot_id{7};
        return r;
    }

    auto submit(sub_request r) -> void { append(broker.submit(std::move(r), now)); }
    auto submit(std::uint64_t id, lane priority = lane::ordinary) -> void { submit(request(id, priority)); }

    /// Completes a sent sub-request with an answer of the process `start`; 0 when no process answers.
    auto finish(std::uint64_t id, std::uint64_t start = 1, result_code code = result_code::ok) -> void {
        send_outcome outcome;
        outcome.code = code;
        outcome.start = start_id{start};
        outcome.snapshot = snapshot_id{7};
        append(broker.completed({link_id{1}, sub_request_id{id}}, outcome, now));
    }

    auto advance_to(std::int64_t ms) -> void {
        now = at_ms(ms);
        append(broker.advance(now));
    }

    /// Ids of the sub-requests sent, in order.
    [[nodiscard]] auto sent() const -> std::vector<std::uint64_t> {
        std::vector<std::uint64_t> ids;
        for (const auto& action : actions) {
            if (const auto* send = std::get_if<send_action>(&action)) {
                ids.push_back(send->request.key.id.value());
            }
        }
        return ids;
    }

    [[nodiscard]] auto last_send() const -> send_action {
        send_action last;
        for (const auto& action : actions) {
            if (const auto* send = std::get_if<send_action>(&action)) {
                last = *send;
            }
        }
        return last;
    }

    /// First answer to a sub-request; empty while there is none.
    [[nodiscard]] auto answer_to(std::uint64_t id) const -> std::optional<sub_answer> {
        for (const auto& action : actions) {
            const auto* answer = std::get_if<answer_action>(&action);
            if (answer != nullptr && answer->answer.key.id.value() == id) {
                return answer->answer;
            }
        }
        return std::nullopt;
    }

    /// Code of the first answer to a sub-request; empty while there is none.
    [[nodiscard]] auto code_of(std::uint64_t id) const -> std::optional<result_code> {
        auto answer = answer_to(id);
        return answer ? std::optional{answer->code} : std::nullopt;
    }

    /// First action of a type. There must be one.
    template <class Action>
    [[nodiscard]] auto first() const -> Action {
        auto found =
            std::ranges::find_if(actions, [](const auto& a) { return std::holds_alternative<Action>(a); });
        return std::get<Action>(*found);
    }

    template <class Action>
    [[nodiscard]] auto count() const -> std::size_t {
        return static_cast<std::size_t>(
            std::ranges::count_if(actions, [](const auto& a) { return std::holds_alternative<Action>(a); }));
    }

    time_point now = at_ms(0);
    upstream_broker broker;
    broker_actions actions;

  private:
    auto append(broker_actions more) -> void { std::ranges::move(more, std::back_inserter(actions)); }
};

}  // namespace eelgrassledge::test
