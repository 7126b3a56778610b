#include "eelgrassledge/runtime/entry_runtime.hpp"

#include <algorithm>

namespace eelgrassledge {

struct entry_runtime::service_shard {
    service_shard(const service_spec& spec, entry_service::id_source numbers)
        : name(spec.name), service(spec, entry_policy{}, std::move(numbers)) {}

    struct waiting_caller {
        reply done;
        time_point received;
        lane priority = lane::ordinary;
    };

    const service_id name;
    std::mutex lock;
    entry_service service;
    std::map<query_id, waiting_caller> callers;
    wakeup_thread::slot timer = 0;
};

namespace {

auto lane_name(lane value) -> std::string {
    return value == lane::priority ? "priority" : "ordinary";
}

auto routes_of(const document& doc, const std::map<zone_id, assignment>& assignments,
               const service_id& service) -> std::vector<upstream_route> {
    std::vector<upstream_route> routes;
    for (const auto& [name, upstream] : doc.upstreams) {
        if (upstream.service != service) {
            continue;
        }
        upstream_route route{name, upstream.zone, {}, doc.zone_is_in(upstream.zone)};
        auto zone = assignments.find(upstream.zone);
        if (zone != assignments.end()) {
            auto owner = zone->second.owners.find(name);
            route.broker = owner == zone->second.owners.end() ? instance_id{} : owner->second;
        }
        routes.push_back(std::move(route));
    }
    return routes;
}

}  // namespace

entry_runtime::entry_runtime(entry_hooks hooks, wakeup_thread& timers, metrics& counters, event_log log)
    : hooks_(std::move(hooks)), timers_(timers), metrics_(counters), log_(std::move(log)) {}

auto entry_runtime::find(const service_id& name) const -> std::shared_ptr<service_shard> {
    std::shared_lock guard{lock_};
    auto found = shards_.find(name);
    return found == shards_.end() ? nullptr : found->second;
}

auto entry_runtime::all() const -> std::vector<std::shared_ptr<service_shard>> {
    std::shared_lock guard{lock_};
    std::vector<std::shared_ptr<service_shard>> shards;
    for (const auto& [name, shard] : shards_) {
        shards.push_back(shard);
    }
    return shards;
}

// Runs one event under the service's lock and its actions outside it.
template <class Event>
auto entry_runtime::handle(const std::shared_ptr<service_shard>& shard, Event event) -> void {
    entry_actions actions;
    {
        std::scoped_lock guard{shard->lock};
        actions = event(shard->service, monotonic_now());
    }
    run(shard, std::move(actions));
    arm(shard);
}

auto entry_runtime::arm(const std::shared_ptr<service_shard>& shard) -> void {
    std::optional<time_point> next;
    {
        std::scoped_lock guard{shard->lock};
        next = shard->service.next_wakeup();
    }
    if (next) {
        timers_.arm(shard->timer, *next);
    }
}

auto entry_runtime::configure(const document& doc, const std::map<zone_id, assignment>& assignments,
                              const std::vector<suspect_report>& suspects) -> void {
    for (const auto& [name, spec] : doc.services) {
        auto shard = find(name);
        if (!shard) {
            shard = std::make_shared<service_shard>(spec, [this] { return next_number_++; });
            std::weak_ptr<service_shard> weak = shard;
            shard->timer = timers_.add([this, weak] {
                if (auto alive = weak.lock()) {
                    handle(alive,
                           [](entry_service& service, time_point now) { return service.advance(now); });
                }
            });
            std::unique_lock guard{lock_};
            shards_[name] = shard;
        }
        auto routes = routes_of(doc, assignments, name);
        std::scoped_lock guard{shard->lock};
        shard->service.configure(spec);
        shard->service.view().set_routes(routes);
        for (const auto& report : suspects) {
            shard->service.merge_suspicion(report.print, report.state);
        }
    }
    std::unique_lock guard{lock_};
    std::erase_if(shards_, [&](const auto& item) { return !doc.services.contains(item.first); });
}

auto entry_runtime::submit(search_request request, reply done) -> void {
    auto shard = find(request.service);
    if (!shard) {
        search_answer answer;
        answer.request = request.request;
        answer.code = result_code::unknown_service;
        answer.state = run_state::not_run;
        done(answer);
        return;
    }
    handle(shard, [&](entry_service& service, time_point now) {
        auto priority = request.priority;
        auto [id, actions] = service.submit(std::move(request), now);
        shard->callers[id] = {std::move(done), now, priority};
        return std::move(actions);
    });
}

auto entry_runtime::run(const std::shared_ptr<service_shard>& shard, entry_actions actions) -> void {
    for (auto& action : actions) {
        if (auto* dispatch = std::get_if<dispatch_action>(&action)) {
            auto id = dispatch->request.key.id;
            auto& home = waiting_[id.value() % waiting_.size()];
            {
                std::scoped_lock guard{home.lock};
                home.service_by_sub[id] = shard;
            }
            hooks_.send(dispatch->broker, std::move(dispatch->request));
        } else if (auto* withdraw = std::get_if<withdraw_action>(&action)) {
            auto& home = waiting_[withdraw->id.value() % waiting_.size()];
            {
                std::scoped_lock guard{home.lock};
                home.service_by_sub.erase(withdraw->id);
            }
            hooks_.withdraw(withdraw->broker, withdraw->upstream, withdraw->id);
        } else if (auto* done = std::get_if<reply_action>(&action)) {
            finish(shard, *done);
        } else if (auto* note = std::get_if<note_action>(&action)) {
            count_note(*shard, *note);
        } else if (auto* suspect = std::get_if<suspect_action>(&action)) {
            hooks_.on_suspect(suspect->print, suspect->strikes);
        }
    }
}

auto entry_runtime::finish(const std::shared_ptr<service_shard>& shard, const reply_action& done) -> void {
    service_shard::waiting_caller caller;
    {
        std::scoped_lock guard{shard->lock};
        auto found = shard->callers.find(done.query);
        if (found == shard->callers.end()) {
            return;
        }
        caller = std::move(found->second);
        shard->callers.erase(found);
    }
    const auto& answer = done.answer;
    auto code = std::string{describe(answer.code).name};
    auto state = std::string{to_string(answer.state)};
    metrics_.count("eelgrassledge_answers_total", {{"service", shard->name.value()},
                                                   {"lane", lane_name(caller.priority)},
                                                   {"code", code},
                                                   {"state", state}});
    metrics_.observe("eelgrassledge_answer_latency_seconds",
                     {{"service", shard->name.value()}, {"lane", lane_name(caller.priority)}},
                     monotonic_now() - caller.received);
    if (answer.code != result_code::ok || answer.state != run_state::ran) {
        log_(log_level::info, "incomplete_answer",
             {{"request_id", answer.request.value()},
              {"service", shard->name.value()},
              {"code", code},
              {"state", state},
              {"answered", std::to_string(answer.shards_answered)},
              {"total", std::to_string(answer.shards_total)}});
    }
    caller.done(answer);
}

auto entry_runtime::count_note(const service_shard& shard, const note_action& note) -> void {
    auto reason = std::string{to_string(note.reason)};
    auto cause = std::string{describe(note.cause).name};
    metrics_.count("eelgrassledge_extra_work_total",
                   {{"service", shard.name.value()}, {"reason", reason}, {"cause", cause}});
    log_(log_level::info, reason,
         {{"request_id", note.request.value()}, {"cause", cause}, {"upstream", note.upstream.value()}});
}

auto entry_runtime::on_message(const broker_message& message) -> void {
    const auto& answer = message.answer;
    std::shared_ptr<service_shard> shard;
    auto& home = waiting_[answer.key.id.value() % waiting_.size()];
    {
        std::scoped_lock guard{home.lock};
        auto found = home.service_by_sub.find(answer.key.id);
        if (found == home.service_by_sub.end()) {
            return;
        }
        shard = found->second.lock();
        if (!message.slow) {
            home.service_by_sub.erase(found);
        }
    }
    if (!shard) {
        return;
    }
    if (answer.strikes > 0 && !message.slow) {
        metrics_.count("eelgrassledge_strikes_seen_total", {});
    }
    handle(shard, [&](entry_service& service, time_point now) {
        return message.slow ? service.on_slow(answer.key.id, now) : service.on_answer(answer, now);
    });
}

auto entry_runtime::on_broker_lost(const instance_id& broker) -> void {
    for (const auto& shard : all()) {
        handle(shard,
               [&](entry_service& service, time_point now) { return service.on_broker_lost(broker, now); });
    }
}

auto entry_runtime::record_loads(const std::vector<upstream_load>& loads) -> void {
    for (const auto& shard : all()) {
        std::scoped_lock guard{shard->lock};
        for (const auto& load : loads) {
            shard->service.view().record_load(load, monotonic_now());
        }
    }
}

auto entry_runtime::brokers_to_ask() const -> std::set<instance_id> {
    std::set<instance_id> brokers;
    for (const auto& shard : all()) {
        std::scoped_lock guard{shard->lock};
        brokers.merge(shard->service.view().brokers_to_ask(monotonic_now()));
    }
    return brokers;
}

auto entry_runtime::running() const -> std::size_t {
    std::size_t total = 0;
    for (const auto& shard : all()) {
        std::scoped_lock guard{shard->lock};
        total += shard->service.running();
    }
    return total;
}

}  // namespace eelgrassledge
