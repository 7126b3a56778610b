#include "eelgrassledge/runtime/application.hpp"

namespace eelgrassledge {

namespace {

/// How long a stopping daemon still accepts queries, so that the load balancer can detect that it is not
/// ready.
constexpr duration STOP_ACCEPT_TIME = milliseconds{1500};
/// How long an idle stopping daemon waits for successors to take over its upstreams.
constexpr duration HANDOVER_TIMEOUT = milliseconds{3000};
/// Interval between checks of the progress of a drain.
constexpr duration DRAIN_POLL_INTERVAL = milliseconds{20};
/// Shortest interval between log lines about evicted sessions.
constexpr duration EVICTION_LINE_INTERVAL = seconds{1};
/// Link of sub-requests from this daemon's own entry.
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
    entry.on_suspect = [this](fingerprint print, std::uint32_t strikes) {
        auto state = broker_->merge_strikes(print, strikes);
        std::scoped_lock guard{coordinator_.lock};
        coordinator_.decisions.report_suspect(print, state, monotonic_now());
    };
    entry_ = std::make_unique<entry_runtime>(std::move(entry), timers_, metrics_, log_);
    broker_hooks broker;
    broker.on_message = [this](broker_message message) { on_broker_message(std::move(message)); };
    broker.on_strike = [this](fingerprint print, const suspicion& state) { on_strike(print, state); };
    broker_ = std::make_unique<broker_runtime>(std::move(broker), timers_, metrics_, log_);
    peers_ = std::make_unique<peer_network>(
        settings_.peer_address, peer_limits(settings_.memory_mb, settings_.max_fds), make_peer_hooks());
    if (!peers_->listening()) {
        return;
    }
    platform_ = std::make_unique<platform_link>(settings_.platform_addresses, coordinator_, metrics_, log_);
    control_ = std::thread{[this] { run_control(); }};
}

application::~application() {
    stop_control_ = true;
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
    hooks.on_session_evicted = [this](eviction_reason reason, session_stage stage, std::size_t bytes) {
        record_eviction("peers", reason, stage, bytes);
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

// ---- Messages between the entry and the brokers ----

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

auto application::current_document() -> std::shared_ptr<const document> {
    std::scoped_lock guard{document_lock_};
    return document_;
}

// ---- HTTP interface ----

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

auto application::record_eviction(const std::string& listener, eviction_reason reason, session_stage stage,
                                  std::size_t bytes) -> void {
    metrics_.count("eelgrassledge_sessions_evicted_total",
                   {{"listener", listener}, {"reason", to_string(reason)}, {"stage", to_string(stage)}});
    std::scoped_lock guard{evictions_lock_};
    auto now = monotonic_now();
    if (now < next_eviction_line_) {
        ++unlogged_evictions_;
        return;
    }
    next_eviction_line_ = now + EVICTION_LINE_INTERVAL;
    log_(log_level::warning, "session_evicted",
         {{"listener", listener},
          {"reason", to_string(reason)},
          {"stage", to_string(stage)},
          {"bytes", std::to_string(bytes)},
          {"not_logged", std::to_string(std::exchange(unlogged_evictions_, 0))}});
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
    auto started = monotonic_now();
    auto idle_since = started;
    auto released = [this] {
        std::scoped_lock guard{coordinator_.lock};
        return coordinator_.decisions.handover_complete();
    };
    while (monotonic_now() < started + settings_.stop_grace) {
        refuse_new_queries_ = monotonic_now() >= started + STOP_ACCEPT_TIME;
        auto load = broker_->summary();
        auto idle = entry_->running() == 0 && load.running == 0 && load.queued == 0;
        if (!refuse_new_queries_ || !idle) {
            idle_since = monotonic_now();
        }
        auto handed_over = released();
        if (refuse_new_queries_ && idle &&
            (handed_over || monotonic_now() >= idle_since + HANDOVER_TIMEOUT)) {
            log_(log_level::info, "stopped",
                 {{"clean", "true"}, {"handed_over", handed_over ? "true" : "false"}});
            return true;
        }
        std::this_thread::sleep_for(DRAIN_POLL_INTERVAL);
    }
    refuse_new_queries_ = true;
    log_(log_level::warning, "stopped", {{"clean", "false"}});
    return false;
}

}  // namespace eelgrassledge
