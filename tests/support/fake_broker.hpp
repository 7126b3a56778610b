#pragma once

#include <algorithm>
#include <vector>

#include "eelgrassledge/broker/upstream_broker.hpp"
#include "test_clock.hpp"

namespace eelgrassledge::test {

/// A broker of one upstream with a clock set by hand.
class broker_bench {
  public:
    explicit broker_bench(upstream_limits limits = {}) : broker(upstream_id{"u"}, limits) {}

    auto own(std::int64_t confirmed_ms = 1'000'000) -> void {
        keep(broker.set_authority({true, at_ms(confirmed_ms)}, now));
    }

    /// Settles that the upstream is warm, by an answer with an inherited start id.
    auto make_warm(std::uint64_t start = 1) -> void {
        broker.inherit({start_id{start}, 1'000'000, true});
        own();
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

    auto submit(sub_request r) -> void { keep(broker.submit(std::move(r), now)); }
    auto submit(std::uint64_t id, lane priority = lane::ordinary) -> void { submit(request(id, priority)); }

    auto finish(std::uint64_t id, std::uint64_t start = 1, result_code code = result_code::ok) -> void {
        send_outcome o;
        o.code = code;
        o.start = start_id{start};
        o.snapshot = snapshot_id{7};
        keep(broker.completed({link_id{1}, sub_request_id{id}}, o, now));
    }

    auto advance_to(std::int64_t ms) -> void {
        now = at_ms(ms);
        keep(broker.advance(now));
    }

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

    [[nodiscard]] auto code_of(std::uint64_t id) const -> std::optional<result_code> {
        for (const auto& action : actions) {
            const auto* answer = std::get_if<answer_action>(&action);
            if (answer != nullptr && answer->answer.key.id.value() == id) {
                return answer->answer.code;
            }
        }
        return std::nullopt;
    }

    /// The first action of a kind; fails when there is none.
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
    auto keep(broker_actions more) -> void { std::ranges::move(more, std::back_inserter(actions)); }
};

}  // namespace eelgrassledge::test
