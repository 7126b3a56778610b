#include "eelgrassledge/runtime/broker_runtime.hpp"

#include <algorithm>
#include <atomic>

namespace eelgrassledge {

struct broker_runtime::upstream_state {
    upstream_state(const upstream_id& id, const upstream_limits& limits) : name(id), broker(id, limits) {}

    const upstream_id name;
    std::mutex lock;
    upstream_broker broker;
    std::string address;
    std::atomic<bool> owned{false};
    warmth last_warmth = warmth::unknown;
    wakeup_thread::slot timer = 0;
};

namespace {

auto limits_of(const service_spec& service) -> upstream_limits {
    upstream_limits limits;
    limits.slots = service.slots;
    limits.priority_slots = service.priority_slots;
    limits.queue_limit = service.queue_limit;
    limits.warm_up = {service.cold_rate_per_s, service.warm_rate_per_s, service.warm_up_requests};
    return limits;
}

auto to_string(warmth state) -> std::string {
    switch (state) {
        case warmth::unknown:
            return "unknown";
        case warmth::cold:
            return "cold";
        case warmth::warm:
            return "warm";
    }
    return "unknown";
}

}  // namespace

broker_runtime::broker_runtime(broker_hooks hooks, wakeup_thread& timers, metrics& counters, event_log log)
    : hooks_(std::move(hooks)), timers_(timers), metrics_(counters), log_(std::move(log)) {}

auto broker_runtime::find(const upstream_id& name) const -> std::shared_ptr<upstream_state> {
    std::shared_lock guard{lock_};
    auto found = upstreams_.find(name);
    return found == upstreams_.end() ? nullptr : found->second;
}

auto broker_runtime::address_of(upstream_state& upstream) -> std::string {
    std::scoped_lock guard{upstream.lock};
    return upstream.address;
}

auto broker_runtime::all_upstreams() const -> std::vector<std::shared_ptr<upstream_state>> {
    std::shared_lock guard{lock_};
    std::vector<std::shared_ptr<upstream_state>> upstreams;
    upstreams.reserve(upstreams_.size());
    for (const auto& [name, upstream] : upstreams_) {
        upstreams.push_back(upstream);
    }
    return upstreams;
}

template <class Event>
auto broker_runtime::handle(const std::shared_ptr<upstream_state>& upstream, Event event) -> void {
    broker_actions actions;
    {
        std::scoped_lock guard{upstream->lock};
        actions = event(upstream->broker, monotonic_now());
    }
    run(upstream, std::move(actions));
    arm_timer(upstream);
}

auto broker_runtime::arm_timer(const std::shared_ptr<upstream_state>& upstream) -> void {
    std::optional<time_point> next;
    warmth current_warmth{};
    auto changed = false;
    {
        std::scoped_lock guard{upstream->lock};
        next = upstream->broker.next_wakeup(monotonic_now());
        current_warmth = upstream->broker.warm_up().current();
        changed = current_warmth != upstream->last_warmth;
        upstream->last_warmth = current_warmth;
    }
    if (changed) {
        log_(log_level::info, "upstream_warmth",
             {{"upstream", upstream->broker.name().value()}, {"warmth", to_string(current_warmth)}});
    }
    if (next) {
        timers_.arm(upstream->timer, *next);
    }
}

auto broker_runtime::submit(sub_request request) -> void {
    auto upstream = find(request.upstream);
    if (!upstream) {
        broker_message message;
        message.answer.key = request.key;
        message.answer.code = result_code::not_owner;
        message.answer.snapshot = request.snapshot;
        message.answer.shard = request.shard;
        message.answer.load.upstream = request.upstream;
        message.answer.load.admitting = false;
        count_answer(message.answer);
        hooks_.on_message(std::move(message));
        return;
    }
    {
        std::scoped_lock guard{keys_lock_};
        upstream_by_key_[request.key] = request.upstream;
    }
    auto strikes = suspects_.strikes(request.print);
    handle(upstream, [&](upstream_broker& broker, time_point now) {
        return broker.submit(std::move(request), now, strikes);
    });
}

auto broker_runtime::cancel(const sub_key& key) -> void {
    upstream_id name;
    {
        std::scoped_lock guard{keys_lock_};
        auto found = upstream_by_key_.find(key);
        if (found == upstream_by_key_.end()) {
            return;
        }
        name = found->second;
        upstream_by_key_.erase(found);
    }
    if (auto upstream = find(name)) {
        handle(upstream, [&](upstream_broker& broker, time_point now) { return broker.cancel(key, now); });
    }
}

auto broker_runtime::cancel_link(link_id link) -> void {
    for (const auto& upstream : all_upstreams()) {
        handle(upstream,
               [&](upstream_broker& broker, time_point now) { return broker.cancel_link(link, now); });
    }
    std::scoped_lock guard{keys_lock_};
    std::erase_if(upstream_by_key_, [&](const auto& item) { return item.first.link == link; });
}

auto broker_runtime::run(const std::shared_ptr<upstream_state>& upstream, broker_actions actions) -> void {
    for (auto& action : actions) {
        if (auto* send = std::get_if<send_action>(&action)) {
            metrics_.count("eelgrassledge_upstream_requests_total",
                           {{"service", send->request.service.value()}});
            client_.send(address_of(*upstream), *send,
                         [this, upstream](const sub_key& key, const send_outcome& outcome) {
                             on_send_completed(upstream, key, outcome);
                         });
        } else if (auto* answer = std::get_if<answer_action>(&action)) {
            {
                std::scoped_lock guard{keys_lock_};
                upstream_by_key_.erase(answer->answer.key);
            }
            count_answer(answer->answer);
            hooks_.on_message({std::move(answer->answer), false});
        } else if (auto* slow = std::get_if<slow_action>(&action)) {
            broker_message message;
            message.answer.key = slow->key;
            message.slow = true;
            hooks_.on_message(std::move(message));
        } else if (auto* aborted = std::get_if<abort_action>(&action)) {
            metrics_.count("eelgrassledge_upstream_aborts_total",
                           {{"connection", aborted->close_connection ? "closed" : "kept"}});
            client_.abort(address_of(*upstream), *aborted);
        } else if (std::holds_alternative<close_idle_action>(action)) {
            metrics_.count("eelgrassledge_idle_connections_closed_total", {});
            client_.close_idle(address_of(*upstream));
        } else if (auto* strike = std::get_if<strike_action>(&action)) {
            record_strike(*strike);
        }
    }
}

auto broker_runtime::on_send_completed(const std::shared_ptr<upstream_state>& upstream, const sub_key& key,
                                       const send_outcome& outcome) -> void {
    if (!outcome.reason.empty()) {
        log_(log_level::info, "sub_request_failed",
             {{"sub_request", std::to_string(key.id.value())},
              {"upstream", upstream->name.value()},
              {"code", std::string{describe(outcome.code).name}},
              {"reason", outcome.reason}});
    }
    handle(upstream,
           [&](upstream_broker& broker, time_point now) { return broker.completed(key, outcome, now); });
}

auto broker_runtime::count_answer(const sub_answer& answer) -> void {
    metrics_.count("eelgrassledge_sub_answers_total", {{"code", std::string{describe(answer.code).name}}});
    if (answer.code == result_code::ok) {
        metrics_.observe("eelgrassledge_upstream_latency_seconds", {}, answer.service_time);
    }
}

auto broker_runtime::configure(const document& doc) -> void {
    for (const auto& [name, spec] : doc.upstreams) {
        auto limits = limits_of(doc.services.at(spec.service));
        auto upstream = find(name);
        if (upstream) {
            std::scoped_lock guard{upstream->lock};
            upstream->broker.configure(limits);
            upstream->address = spec.address;
            continue;
        }
        upstream = std::make_shared<upstream_state>(name, limits);
        upstream->address = spec.address;
        std::weak_ptr<upstream_state> weak = upstream;
        upstream->timer = timers_.add([this, weak] {
            if (auto alive = weak.lock()) {
                handle(alive, [](upstream_broker& broker, time_point now) { return broker.advance(now); });
            }
        });
        std::unique_lock guard{lock_};
        upstreams_[name] = upstream;
    }
}

auto broker_runtime::set_ownership(const std::vector<ownership>& owned) -> void {
    std::map<upstream_id, const ownership*> by_name;
    for (const auto& item : owned) {
        by_name[item.upstream] = &item;
    }
    for (const auto& upstream : all_upstreams()) {
        auto found = by_name.find(upstream->broker.name());
        auto now_owned = found != by_name.end() && found->second->authority.owned;
        if (!now_owned && !upstream->owned) {
            continue;
        }
        if (now_owned != upstream->owned) {
            log_(log_level::info, "ownership",
                 {{"upstream", upstream->broker.name().value()}, {"owned", now_owned ? "true" : "false"}});
            metrics_.count("eelgrassledge_ownership_changes_total",
                           {{"owned", now_owned ? "true" : "false"}});
            upstream->owned = now_owned;
        }
        handle(upstream, [&](upstream_broker& broker, time_point now) {
            if (!now_owned) {
                return broker.set_authority({}, now);
            }
            if (found->second->inherited) {
                broker.inherit(*found->second->inherited);
            }
            auto actions = broker.set_leaving(found->second->leaving, now);
            std::ranges::move(broker.set_authority(found->second->authority, now),
                              std::back_inserter(actions));
            return actions;
        });
    }
}

auto broker_runtime::record_strike(const strike_action& strike) -> void {
    auto state = suspects_.change(strike.print, monotonic_now(), [&](const suspicion& known) {
        switch (strike.change) {
            case strike_change::added:
                return with_strikes(known, strike.strikes);
            case strike_change::withdrawn:
                return with_one_strike_withdrawn(known);
            case strike_change::cleared:
                break;
        }
        return cleared(known);
    });
    hooks_.on_strike(strike.print, state);
}

auto broker_runtime::merge_strikes(fingerprint print, std::uint32_t strikes) -> suspicion {
    return suspects_.change(print, monotonic_now(),
                            [&](const suspicion& known) { return with_strikes(known, strikes); });
}

auto broker_runtime::merge_suspects(const std::vector<suspect_report>& reports) -> void {
    auto now = monotonic_now();
    for (const auto& received : reports) {
        suspects_.change(received.print, now - received.age,
                         [&](const suspicion& known) { return merged(known, received.state); });
    }
    suspects_.forget_before(now - SUSPECT_LIFETIME);
}

auto broker_runtime::poll_statuses() -> void {
    for (const auto& upstream : all_upstreams()) {
        if (!upstream->owned) {
            continue;
        }
        client_.poll(address_of(*upstream), [this, upstream](const std::optional<upstream_status>& status) {
            handle(upstream,
                   [&](upstream_broker& broker, time_point now) { return broker.polled(status, now); });
        });
    }
}

auto broker_runtime::summary() const -> report {
    report total;
    for (const auto& upstream : all_upstreams()) {
        std::scoped_lock guard{upstream->lock};
        const auto& broker = upstream->broker;
        total.running += broker.running();
        total.queued += broker.queued();
        if (!upstream->owned && broker.running() > 0) {
            total.busy.push_back(broker.name());
        }
        auto state = broker.warm_up().state();
        if (upstream->owned && state) {
            total.warm_ups.push_back({broker.name(), *state});
        }
    }
    return total;
}

auto broker_runtime::loads() const -> std::vector<upstream_load> {
    std::vector<upstream_load> loads;
    for (const auto& upstream : all_upstreams()) {
        std::scoped_lock guard{upstream->lock};
        if (upstream->owned) {
            loads.push_back(upstream->broker.load());
        }
    }
    return loads;
}

auto broker_runtime::stop() -> void {
    client_.stop();
}

}  // namespace eelgrassledge
