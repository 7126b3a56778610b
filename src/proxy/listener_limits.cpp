// Part of `forwarding_node` that limits the sessions of its listeners.

#include "eelgrassledge/proxy/forwarding_node.hpp"
#include "eelgrassledge/proxy/peer_protocol.hpp"

namespace eelgrassledge {

namespace {

/// Descriptors that the machine keeps for files.
constexpr std::size_t DESCRIPTORS_FOR_FILES = 200;

/// Parts of the other descriptors that the sessions of a listener may use. The rest, a third, is left for
/// connections to upstreams, to other instances and to the store.
constexpr std::size_t CALLERS_DIVISOR = 2;
constexpr std::size_t PEERS_DIVISOR = 8;
constexpr std::size_t READINESS_DIVISOR = 16;
constexpr std::size_t METRICS_DIVISOR = 32;

/// Upper limits of the listeners that serve the platform's checks, which use few connections.
constexpr std::size_t MAX_READINESS_SESSIONS = 64;
constexpr std::size_t MAX_METRICS_SESSIONS = 16;

/// Interval of the log lines about lost sessions; those in between are counted in the next line.
constexpr duration LOSS_LOG_INTERVAL = milliseconds{200};

}  // namespace

auto forwarding_node::limit_listeners() -> void {
    auto available = settings_.max_descriptors - std::min(settings_.max_descriptors, DESCRIPTORS_FOR_FILES);
    auto part = [&](std::size_t divisor) { return std::max<std::size_t>(1, available / divisor); };
    listener_policy callers;
    callers.max_sessions = part(CALLERS_DIVISOR);
    callers_.set_policy(callers);
    listener_policy peers;
    peers.max_sessions = part(PEERS_DIVISOR);
    peers_.set_policy(peers);
    // Checks are answered as soon as they arrive, so the oldest session is replaced without a delay.
    listener_policy checks;
    checks.min_stage_time = {};
    checks.is_exempt = true;
    checks.serves_targets_only = true;
    checks.max_sessions = std::min(MAX_READINESS_SESSIONS, part(READINESS_DIVISOR));
    readiness_.set_policy(checks);
    checks.max_sessions = std::min(MAX_METRICS_SESSIONS, part(METRICS_DIVISOR));
    metrics_.set_policy(checks);
    callers_.on_head([this](const inbound_request& head) { return forwarder_.refusal_of_head(head); });
    peers_.on_head([this](const inbound_request& head) -> std::optional<outbound_response> {
        auto is_service_call = feed_server::is_feed_request(head) || strike_exchange::is_report(head) ||
                               quota_exchange::is_quota_request(head) || is_probe(head);
        return is_service_call ? std::nullopt : forwarder_.refusal_of_peer_head(head);
    });
    std::pair<http_server*, const char*> listeners[] = {
        {&callers_, "callers"}, {&peers_, "peers"}, {&readiness_, "readiness"}, {&metrics_, "metrics"}};
    for (auto& [server, name] : listeners) {
        server->on_loss([this, listener = name](const session_loss& loss) { report_loss(listener, loss); });
    }
}

auto forwarding_node::report_loss(const char* listener, const session_loss& loss) -> void {
    counters_.count("eelgrassledge_sessions_lost_total",
                    {{"listener", listener}, {"reason", loss.reason}, {"stage", to_string(loss.stage)}});
    auto now = monotonic_now();
    if (now - loss_logged_ < LOSS_LOG_INTERVAL) {
        ++losses_unlogged_;
        return;
    }
    loss_logged_ = now;
    log_(log_level::warning, "session_lost",
         {{"listener", listener},
          {"reason", loss.reason},
          {"stage", to_string(loss.stage)},
          {"bytes", std::to_string(loss.bytes)},
          {"age_ms", std::to_string(loss.age / milliseconds{1})},
          {"all_bytes", std::to_string(network_.sessions.held())},
          {"limit_bytes", std::to_string(network_.sessions.limit())},
          {"others_unlogged", std::to_string(std::exchange(losses_unlogged_, 0))}});
}

auto forwarding_node::update_session_metrics() -> void {
    counters_.set("eelgrassledge_session_bytes", {}, static_cast<double>(network_.sessions.held()));
    std::pair<const http_server*, const char*> listeners[] = {
        {&callers_, "callers"}, {&peers_, "peers"}, {&readiness_, "readiness"}, {&metrics_, "metrics"}};
    for (auto& [server, name] : listeners) {
        counters_.set("eelgrassledge_sessions", {{"listener", name}},
                      static_cast<double>(server->sessions()));
    }
}

}  // namespace eelgrassledge
