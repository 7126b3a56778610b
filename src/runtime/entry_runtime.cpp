#include "eelgrassledge/runtime/entry_runtime.hpp"

#include <algorithm>

namespace eelgrassledge {

struct entry_runtime::service_state {
    service_state(const service_spec& spec, entry_service::id_source numbers)
        : name(spec.name), entry(spec, entry_policy{}, std::move(numbers)) {}

    struct waiting_caller {
        reply done;
        time_point received;
        lane priority = lane::ordinary;
    };

    const service_id name;
    std::mutex lock;
    entry_service entry;
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

auto entry_runtime::find(const service_id& name) const -> std::shared_ptr<service_state> {
    std::shared_lock guard{lock_};
    auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

auto entry_runtime::all_services() const -> std::vector<std::shared_ptr<service_state>> {
    std::shared_lock guard{lock_};
    std::vector<std::shared_ptr<service_state>> services;
    for (const auto& [name, service] : services_) {
        services.push_back(service);
    }
    return services;
}

template <class Event>
auto entry_runtime::handle(const std::shared_ptr<service_state>& service, Event event) -> void {
    entry_actions actions;
    {
        std::scoped_lock guard{service->lock};
        actions = event(service->entry, monotonic_now());
    }
    run(service, std::move(actions));
    arm_timer(service);
}

auto entry_runtime::arm_timer(const std::shared_ptr<service_state>& service) -> void {
    std::optional<time_point> next;
    {
        std::scoped_lock guard{service->lock};
        next = service->entry.next_wakeup();
    }
    if (next) {
        timers_.arm(service->timer, *next);
    }
}

auto entry_runtime::configure(const document& doc, const std::map<zone_id, assignment>& assignments,
                              const std::vector<suspect_report>& suspects) -> void {
    for (const auto& [name, spec] : doc.services) {
        auto service = find(name);
        if (!service) {
            service = std::make_shared<service_state>(spec, [this] { return next_number_++; });
            std::weak_ptr<service_state> weak = service;
            service->timer = timers_.add([this, weak] {
                if (auto alive = weak.lock()) {
                    handle(alive, [](entry_service& entry, time_point now) { return entry.advance(now); });
                }
            });
            std::unique_lock guard{lock_};
            services_[name] = service;
        }
        auto routes = routes_of(doc, assignments, name);
        std::scoped_lock guard{service->lock};
        service->entry.configure(spec);
        service->entry.view().set_routes(routes);
        for (const auto& report : suspects) {
            service->entry.merge_suspicion(report.print, report.state);
        }
    }
    std::unique_lock guard{lock_};
    std::erase_if(services_, [&](const auto& item) { return !doc.services.contains(item.first); });
}

auto entry_runtime::submit(search_request request, reply done) -> void {
    auto service = find(request.service);
    if (!service) {
        search_answer answer;
        answer.request = request.request;
        answer.code = result_code::unknown_service;
        answer.state = run_state::not_run;
        done(answer);
        return;
    }
    handle(service, [&](entry_service& entry, time_point now) {
        auto priority = request.priority;
        auto [id, actions] = entry.submit(std::move(request), now);
        service->callers[id] = {std::move(done), now, priority};
        return std::move(actions);
    });
}

auto entry_runtime::run(const std::shared_ptr<service_state>& service, entry_actions actions) -> void {
    for (auto& action : actions) {
        if (auto* dispatch = std::get_if<dispatch_action>(&action)) {
            auto id = dispatch->request.key.id;
            auto& stripe = stripes_[id.value() % stripes_.size()];
            {
                std::scoped_lock guard{stripe.lock};
                stripe.service_by_sub_request[id] = service;
            }
            hooks_.send(dispatch->broker, std::move(dispatch->request));
        } else if (auto* withdraw = std::get_if<withdraw_action>(&action)) {
            auto& stripe = stripes_[withdraw->id.value() % stripes_.size()];
            {
                std::scoped_lock guard{stripe.lock};
                stripe.service_by_sub_request.erase(withdraw->id);
            }
            hooks_.withdraw(withdraw->broker, withdraw->upstream, withdraw->id);
        } else if (auto* done = std::get_if<reply_action>(&action)) {
            finish(service, *done);
        } else if (auto* note = std::get_if<note_action>(&action)) {
            record_extra_work(*service, *note);
        } else if (auto* suspect = std::get_if<suspect_action>(&action)) {
            hooks_.on_suspect(suspect->print, suspect->strikes);
        }
    }
}

auto entry_runtime::finish(const std::shared_ptr<service_state>& service, const reply_action& done) -> void {
    service_state::waiting_caller caller;
    {
        std::scoped_lock guard{service->lock};
        auto found = service->callers.find(done.query);
        if (found == service->callers.end()) {
            return;
        }
        caller = std::move(found->second);
        service->callers.erase(found);
    }
    const auto& answer = done.answer;
    auto code = std::string{describe(answer.code).name};
    auto state = std::string{to_string(answer.state)};
    metrics_.count("eelgrassledge_answers_total", {{"service", service->name.value()},
                                                   {"lane", lane_name(caller.priority)},
                                                   {"code", code},
                                                   {"state", state}});
    metrics_.observe("eelgrassledge_answer_latency_seconds",
                     {{"service", service->name.value()}, {"lane", lane_name(caller.priority)}},
                     monotonic_now() - caller.received);
    if (answer.code != result_code::ok || answer.state != run_state::ran) {
        log_(log_level::info, "incomplete_answer",
             {{"request_id", answer.request.value()},
              {"service", service->name.value()},
              {"code", code},
              {"state", state},
              {"answered", std::to_string(answer.shards_answered)},
              {"total", std::to_string(answer.shards_total)}});
    }
    caller.done(answer);
}

auto entry_runtime::record_extra_work(const service_state& service, const note_action& note) -> void {
    auto reason = std::string{to_string(note.reason)};
    auto cause = std::string{describe(note.cause).name};
    metrics_.count("eelgrassledge_extra_work_total",
                   {{"service", service.name.value()}, {"reason", reason}, {"cause", cause}});
    log_(log_level::info, reason,
         {{"request_id", note.request.value()}, {"cause", cause}, {"upstream", note.upstream.value()}});
}

auto entry_runtime::on_message(const broker_message& message) -> void {
    const auto& answer = message.answer;
    std::shared_ptr<service_state> service;
    auto& stripe = stripes_[answer.key.id.value() % stripes_.size()];
    {
        std::scoped_lock guard{stripe.lock};
        auto found = stripe.service_by_sub_request.find(answer.key.id);
        if (found == stripe.service_by_sub_request.end()) {
            return;
        }
        service = found->second.lock();
        if (!message.slow) {
            stripe.service_by_sub_request.erase(found);
        }
    }
    if (!service) {
        return;
    }
    if (answer.strikes > 0 && !message.slow) {
        metrics_.count("eelgrassledge_strikes_seen_total", {});
    }
    handle(service, [&](entry_service& entry, time_point now) {
        return message.slow ? entry.on_slow(answer.key.id, now) : entry.on_answer(answer, now);
    });
}

auto entry_runtime::on_broker_lost(const instance_id& broker) -> void {
    for (const auto& service : all_services()) {
        handle(service,
               [&](entry_service& entry, time_point now) { return entry.on_broker_lost(broker, now); });
    }
}

auto entry_runtime::record_loads(const std::vector<upstream_load>& loads) -> void {
    for (const auto& service : all_services()) {
        std::scoped_lock guard{service->lock};
        for (const auto& load : loads) {
            service->entry.view().record_load(load, monotonic_now());
        }
    }
}

auto entry_runtime::brokers_to_ask() const -> std::set<instance_id> {
    std::set<instance_id> brokers;
    for (const auto& service : all_services()) {
        std::scoped_lock guard{service->lock};
        brokers.merge(service->entry.view().brokers_to_ask(monotonic_now()));
    }
    return brokers;
}

auto entry_runtime::running() const -> std::size_t {
    std::size_t total = 0;
    for (const auto& service : all_services()) {
        std::scoped_lock guard{service->lock};
        total += service->entry.running();
    }
    return total;
}

}  // namespace eelgrassledge
