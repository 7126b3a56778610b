#include "eelgrassledge/runtime/application.hpp"

#include <algorithm>

#include "eelgrassledge/claims/claim.hpp"

namespace eelgrassledge {

namespace {

constexpr duration CONTROL_STEP = milliseconds{20};
constexpr duration OWNERSHIP_INTERVAL = milliseconds{100};
constexpr duration POLL_INTERVAL = milliseconds{1000};
constexpr duration LOADS_INTERVAL = milliseconds{1000};
/// Brokers asked for loads at a time, so that a daemon that starts does not ask a whole fleet at once.
constexpr std::size_t MAX_LOADS_ASKED = 32;
/// While it stops, a daemon still takes work for this long, so that the balancer can notice.
constexpr duration STOP_NOTICE = milliseconds{1500};
/// An entry whose zone or instance was taken out still takes work for this long.
constexpr duration OUT_NOTICE = milliseconds{3000};
/// Once its own work is finished, a daemon waits this long for a successor to take its upstreams over.
constexpr duration RELEASE_WAIT = milliseconds{3000};
constexpr duration DRAIN_STEP = milliseconds{20};
/// A lease for claims is replaced when it has this long to live less than a claim should.
constexpr duration CLAIM_LEASE_AGE = seconds{3600};
const link_id LOCAL_LINK{0};

auto member_of(const daemon_settings& settings) -> member_info {
    return {settings.instance,
            settings.zone,
            settings.http_address,
            settings.peer_address,
            settings.broker,
            false,
            {}};
}

auto times_of(const daemon_settings& settings) -> coordinator_times {
    coordinator_times times;
    times.lease_ttl = settings.lease_ttl;
    return times;
}

auto random_number() -> std::uint64_t {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

auto json_response(int status, std::string body) -> api_response {
    return {status, "application/json", std::move(body), std::nullopt};
}

}  // namespace

application::application(daemon_settings settings, event_log log)
    : settings_(std::move(settings)),
      log_(std::move(log)),
      coordinator_{
          {},
          zone_coordinator{member_of(settings_), times_of(settings_), settings_.seed_peers, random_number()}},
      nonce_(std::to_string(random_number())) {
    entry_hooks entry;
    entry.send = [this](const instance_id& broker, sub_request request) {
        route_to_broker(broker, std::move(request));
    };
    entry.withdraw = [this](const instance_id& broker, const upstream_id&, sub_request_id id) {
        if (broker == settings_.instance) {
            broker_->cancel({LOCAL_LINK, id});
        } else if (auto address = peer_address_of(broker); !address.empty()) {
            peers_->cancel(address, id);
        }
    };
    entry.on_suspect = [this](fingerprint print, const suspicion& state) {
        broker_->learn_suspects({{print, state, duration{0}}});
        std::scoped_lock guard{coordinator_.lock};
        coordinator_.decisions.report_suspect(print, state, monotonic_now());
    };
    entry_ = std::make_unique<entry_runtime>(std::move(entry), timers_, metrics_, log_);
    broker_hooks broker;
    broker.on_message = [this](broker_message message) { on_broker_message(std::move(message)); };
    broker.on_strike = [this](fingerprint print, const suspicion& state) { on_strike(print, state); };
    broker_ = std::make_unique<broker_runtime>(std::move(broker), timers_, metrics_, log_);
    peers_ = std::make_unique<peer_network>(settings_.peer_address, make_peer_hooks());
    if (!peers_->listening()) {
        return;
    }
    platform_ = std::make_unique<platform_link>(settings_.platform_addresses, coordinator_, metrics_, log_);
    control_ = std::thread{[this] { run_control(); }};
}

application::~application() {
    ended_ = true;
    if (control_.joinable()) {
        control_.join();
    }
    if (platform_) {
        platform_->stop();
    }
    peers_->stop();
    timers_.stop();
    broker_->stop();
}

auto application::listening() const -> bool {
    return peers_->listening();
}

auto application::make_peer_hooks() -> peer_hooks {
    peer_hooks hooks;
    hooks.on_sub_request = [this](sub_request request) { broker_->submit(std::move(request)); };
    hooks.on_cancel = [this](sub_key key) { broker_->cancel(key); };
    hooks.on_link_closed = [this](link_id link) { broker_->cancel_link(link); };
    hooks.on_message = [this](const broker_message& message) { entry_->on_message(message); };
    hooks.on_ask_loads = [this] { return broker_->loads(); };
    hooks.on_loads = [this](const std::vector<upstream_load>& loads) { entry_->record_loads(loads); };
    hooks.on_broker_lost = [this](const std::string& address) {
        instance_id broker;
        {
            std::scoped_lock guard{addresses_lock_};
            broker = instance_by_address_[address];
        }
        log_(log_level::info, "broker_lost", {{"instance", broker.value()}, {"address", address}});
        metrics_.count("eelgrassledge_broker_links_lost_total", {});
        entry_->on_broker_lost(broker);
    };
    hooks.on_sync = [this](const sync_request& request) {
        std::scoped_lock guard{coordinator_.lock};
        return coordinator_.decisions.on_sync_request(request, monotonic_now());
    };
    hooks.on_sync_reply = [this](const std::string& address, const sync_reply& reply, time_point sent) {
        std::scoped_lock guard{coordinator_.lock};
        coordinator_.decisions.on_sync_reply(address, reply, sent, monotonic_now());
    };
    hooks.on_sync_failed = [this](const std::string& address) {
        std::scoped_lock guard{coordinator_.lock};
        coordinator_.decisions.on_sync_failed(address, monotonic_now());
    };
    hooks.on_task_failed = [this](const std::string& reason) {
        log_(log_level::warning, "peer_task_failed", {{"reason", reason}});
    };
    return hooks;
}

// ---- joining entry and brokers ----

auto application::peer_address_of(const instance_id& instance) -> std::string {
    std::scoped_lock guard{addresses_lock_};
    auto found = address_by_instance_.find(instance);
    return found == address_by_instance_.end() ? std::string{} : found->second;
}

auto application::route_to_broker(const instance_id& broker, sub_request request) -> void {
    if (broker == settings_.instance) {
        request.key.link = LOCAL_LINK;
        broker_->submit(std::move(request));
        return;
    }
    auto address = peer_address_of(broker);
    if (!address.empty()) {
        peers_->send(address, std::move(request));
        return;
    }
    broker_message message;
    message.answer.key = request.key;
    message.answer.code = result_code::upstream_unreachable;
    message.answer.snapshot = request.snapshot;
    message.answer.shard = request.shard;
    entry_->on_message(message);
}

auto application::on_broker_message(broker_message message) -> void {
    if (message.answer.key.link == LOCAL_LINK) {
        entry_->on_message(message);
    } else {
        peers_->reply(std::move(message));
    }
}

auto application::on_strike(fingerprint print, const suspicion& state) -> void {
    log_(log_level::warning, "suspect_request",
         {{"fingerprint", std::to_string(print.value())}, {"strikes", std::to_string(state.strikes)}});
    metrics_.count("eelgrassledge_strikes_total", {});
    std::scoped_lock guard{coordinator_.lock};
    coordinator_.decisions.report_suspect(print, state, monotonic_now());
}

// ---- control loop ----

auto application::run_control() -> void {
    time_point next_ownership{};
    time_point next_poll{};
    time_point next_loads{};
    while (!ended_) {
        auto now = monotonic_now();
        send_syncs();
        apply_membership();
        if (now >= next_ownership) {
            next_ownership = now + OWNERSHIP_INTERVAL;
            renew_ownership();
        }
        if (now >= next_poll) {
            next_poll = now + POLL_INTERVAL;
            broker_->poll_statuses();
        }
        if (now >= next_loads) {
            next_loads = now + LOADS_INTERVAL;
            ask_for_loads();
        }
        std::this_thread::sleep_for(CONTROL_STEP);
    }
}

auto application::send_syncs() -> void {
    auto report = broker_->summary();
    std::vector<std::string> due;
    sync_request request;
    {
        std::scoped_lock guard{coordinator_.lock};
        auto& decisions = coordinator_.decisions;
        decisions.report_warm_ups(std::move(report.warm_ups));
        decisions.report_busy(std::move(report.busy));
        due = decisions.due_syncs(monotonic_now());
        if (due.empty()) {
            return;
        }
        request = decisions.make_sync_request(monotonic_now());
    }
    for (const auto& address : due) {
        peers_->sync(address, request);
    }
}

auto application::apply_membership() -> void {
    std::optional<document_version> version;
    std::map<zone_id, assignment> assignments;
    std::vector<suspect_report> suspects;
    {
        std::scoped_lock guard{coordinator_.lock};
        const auto& decisions = coordinator_.decisions;
        if (decisions.version() == applied_version_) {
            return;
        }
        applied_version_ = decisions.version();
        version = decisions.current_document();
        assignments = decisions.assignments();
        suspects = decisions.suspects(monotonic_now());
    }
    std::size_t entries = 0;
    {
        std::scoped_lock guard{addresses_lock_};
        for (const auto& [zone, value] : assignments) {
            entries += value.members.size();
            for (const auto& member : value.members) {
                address_by_instance_[member.instance] = member.peer_address;
                instance_by_address_[member.peer_address] = member.instance;
            }
        }
    }
    entries_ = std::max<std::size_t>(1, entries);
    if (!version) {
        return;
    }
    {
        std::scoped_lock guard{document_lock_};
        document_ = version->parsed;
    }
    if (version->number != applied_revision_) {
        applied_revision_ = version->number;
        broker_->configure(*version->parsed);
        log_(log_level::info, "configuration", {{"revision", std::to_string(version->number.value())}});
        metrics_.set("eelgrassledge_revision_in_force", {}, static_cast<double>(version->number.value()));
    }
    broker_->learn_suspects(suspects);
    entry_->configure(*version->parsed, assignments, suspects);
    renew_ownership();
    auto out =
        !version->parsed->zone_is_in(settings_.zone) || !version->parsed->instance_is_in(settings_.instance);
    if (!out) {
        out_since_ = 0;
    } else if (out_since_ == 0) {
        out_since_ = monotonic_now().time_since_epoch().count();
    }
}

auto application::renew_ownership() -> void {
    auto doc = current_document();
    if (!doc) {
        return;
    }
    std::vector<broker_runtime::ownership> owned;
    {
        std::scoped_lock guard{coordinator_.lock};
        const auto& decisions = coordinator_.decisions;
        const auto& leaving = decisions.leaving_upstreams();
        auto now = monotonic_now();
        for (const auto& [name, upstream] : doc->upstreams) {
            auto authority = decisions.authority(name, now);
            if (!authority.owned) {
                continue;
            }
            auto is_leaving =
                std::ranges::find(leaving, name) != leaving.end() || !doc->zone_is_in(upstream.zone);
            owned.push_back({name, authority, decisions.inherited(name), is_leaving});
        }
    }
    broker_->set_ownership(owned);
}

auto application::ask_for_loads() -> void {
    entry_->record_loads(broker_->loads());
    std::size_t asked = 0;
    for (const auto& broker : entry_->brokers_to_ask()) {
        auto address = broker == settings_.instance ? std::string{} : peer_address_of(broker);
        if (!address.empty() && asked++ < MAX_LOADS_ASKED) {
            peers_->ask_loads(address);
        }
    }
}

auto application::current_document() -> std::shared_ptr<const document> {
    std::scoped_lock guard{document_lock_};
    return document_;
}

// ---- searches ----

auto application::refuse(const respond& done, result_code code, std::string_view message,
                         const request_id& request) -> void {
    auto reason = std::string{describe(code).name};
    metrics_.count("eelgrassledge_refusals_total", {{"reason", reason}});
    log_(log_level::info, "refused", {{"request_id", request.value()}, {"code", reason}});
    auto response = json_response(http_status_of(code), encode_refusal(code, message, request));
    if (response.status == 503) {
        response.retry_after = seconds{1};
    }
    done(std::move(response));
}

auto application::find_caller(const document& doc, const std::string& key) const -> const caller_spec* {
    auto digest = sha256_hex(key);
    const caller_spec* found = nullptr;
    for (const auto& caller : doc.callers) {
        if (same_digest(caller.key_sha256, digest)) {
            found = &caller;
        }
    }
    return found;
}

auto application::lane_for(const caller_spec& caller, lane wanted) -> lane {
    if (wanted == lane::ordinary || caller.highest_lane == lane::ordinary) {
        return lane::ordinary;
    }
    auto rate = static_cast<double>(caller.priority_rate_per_s);
    std::scoped_lock guard{lanes_lock_};
    auto bucket = lane_rates_.try_emplace(caller.name, rate / static_cast<double>(entries_), rate).first;
    if (bucket->second.take(monotonic_now())) {
        return lane::priority;
    }
    metrics_.count("eelgrassledge_lane_rate_exceeded_total", {{"caller", caller.name.value()}});
    return lane::ordinary;
}

auto application::takes_work() const -> bool {
    if (refuse_new_) {
        return false;
    }
    auto out_since = out_since_.load();
    auto out_for = monotonic_now().time_since_epoch().count() - out_since;
    return out_since == 0 || out_for < OUT_NOTICE.count();
}

auto application::search(const api_request& request, respond done) -> void {
    if (request.body.size() > settings_.max_body_bytes) {
        refuse(done, result_code::body_too_large, "the body exceeds the size limit", {});
        return;
    }
    auto wanted = decode_search(request.body);
    if (!wanted) {
        refuse(done, wanted.error().code, wanted.error().message, {});
        return;
    }
    start_search(request, *wanted, std::move(done));
}

auto application::start_search(const api_request& request, const caller_search& wanted, respond done)
    -> void {
    auto doc = current_document();
    if (!doc) {
        refuse(done, result_code::no_configuration, "no configuration yet", wanted.request);
        return;
    }
    const auto* caller = find_caller(*doc, request.caller_key);
    if (caller == nullptr) {
        refuse(done, result_code::unknown_caller, "the caller's key is missing or wrong", wanted.request);
        return;
    }
    if (!takes_work()) {
        refuse(done, result_code::stopping, "this instance takes no new work", wanted.request);
        return;
    }
    auto service = doc->services.find(wanted.service);
    if (service == doc->services.end()) {
        refuse(done, result_code::unknown_service, "no such service", wanted.request);
        return;
    }
    const auto& spec = service->second;
    search_request search;
    search.prefer = wanted.prefer.value_or(spec.prefer);
    auto usual = search.prefer == preference::coverage ? spec.max_deadline : spec.deadline;
    auto allowed = wanted.deadline_ms ? duration{milliseconds{*wanted.deadline_ms}} : usual;
    if (allowed < milliseconds{1} || allowed > spec.max_deadline) {
        refuse(done, result_code::bad_deadline, "deadline_ms: outside 1 to max_deadline_ms", wanted.request);
        return;
    }
    search.request = wanted.request;
    search.caller = caller->name;
    search.service = wanted.service;
    search.priority = lane_for(*caller, wanted.wanted_lane);
    search.idempotent = wanted.idempotent;
    search.received = monotonic_now();
    search.deadline = search.received + allowed;
    search.text = wanted.text;
    search.limit = wanted.limit;
    search.print = fingerprint_of(wanted.service, wanted.text, wanted.limit);
    if (!search.idempotent) {
        run_claimed(std::move(search), done);
        return;
    }
    entry_->submit(std::move(search), [done = std::move(done)](const search_answer& answer) {
        auto response = json_response(http_status_of(answer.code), encode_answer(answer));
        response.retry_after = answer.retry_after;
        done(std::move(response));
    });
}

auto application::claim_lifetime() -> result<lease_id> {
    std::scoped_lock guard{claims_lock_};
    if (claim_lease_ && monotonic_now() < claim_lease_until_) {
        return *claim_lease_;
    }
    auto granted = platform_->platform_store().grant(CLAIM_LIFETIME +
                                                     std::chrono::duration_cast<seconds>(CLAIM_LEASE_AGE));
    if (granted) {
        claim_lease_ = *granted;
        claim_lease_until_ = monotonic_now() + CLAIM_LEASE_AGE;
    }
    return granted;
}

auto application::run_claimed(search_request request, const respond& done) -> void {
    std::thread{[this, request = std::move(request), done]() mutable {
        const auto& platform = platform_->platform_store();
        auto lifetime = claim_lifetime();
        if (!lifetime) {
            refuse(done, result_code::claim_unavailable, "the platform's store cannot be reached",
                   request.request);
            return;
        }
        auto attempt = settings_.instance.value() + "/" + nonce_ + "/" + std::to_string(next_attempt_++);
        auto held = take_claim(platform, request.caller, request.request, attempt, *lifetime);
        if (!held) {
            refuse(done, held.error().code, held.error().message, request.request);
            return;
        }
        entry_->submit(std::move(request), [this, held = *held, done](const search_answer& answer) {
            auto response = json_response(http_status_of(answer.code), encode_answer(answer));
            response.retry_after = answer.retry_after;
            if (answer.state == run_state::not_run) {
                std::thread{[this, held] { release_claim(platform_->platform_store(), held); }}.detach();
            }
            done(std::move(response));
        });
    }}.detach();
}

// ---- HTTP interface ----

auto application::handle(const api_request& request, respond done) -> void {
    if (request.method == "POST" && request.path == "/search") {
        search(request, std::move(done));
    } else if (request.path == "/metrics") {
        done({200, "text/plain; version=0.0.4", metrics_.text(), std::nullopt});
    } else if (request.path == "/healthz") {
        done(json_response(200, "{\"alive\":true}"));
    } else if (request.path == "/readyz") {
        done(readiness_page());
    } else if (request.path.starts_with("/admin/")) {
        administer(request, done);
    } else {
        refuse(done, result_code::not_found, "no such path", {});
    }
}

auto application::readiness_page() -> api_response {
    auto doc = current_document();
    auto ready = doc && !stopping_ && out_since_ == 0 && settings_.entry;
    return json_response(ready ? 200 : 503, ready ? "{\"ready\":true}" : "{\"ready\":false}");
}

auto application::drain() -> bool {
    stopping_ = true;
    log_(log_level::info, "stopping", {});
    {
        std::scoped_lock guard{coordinator_.lock};
        coordinator_.decisions.leave();
    }
    auto begun = monotonic_now();
    auto idle_since = begun;
    auto released = [this] {
        std::scoped_lock guard{coordinator_.lock};
        return coordinator_.decisions.released();
    };
    while (monotonic_now() < begun + settings_.stop_grace) {
        refuse_new_ = monotonic_now() >= begun + STOP_NOTICE;
        auto work = broker_->summary();
        auto idle = entry_->running() == 0 && work.running == 0 && work.queued == 0;
        if (!refuse_new_ || !idle) {
            idle_since = monotonic_now();
        }
        auto handed_over = released();
        if (refuse_new_ && idle && (handed_over || monotonic_now() >= idle_since + RELEASE_WAIT)) {
            log_(log_level::info, "stopped",
                 {{"clean", "true"}, {"handed_over", handed_over ? "true" : "false"}});
            return true;
        }
        std::this_thread::sleep_for(DRAIN_STEP);
    }
    refuse_new_ = true;
    log_(log_level::warning, "stopped", {{"clean", "false"}});
    return false;
}

}  // namespace eelgrassledge
