#pragma once

#include <asio/steady_timer.hpp>
#include <vector>

#include "eelgrassledge/proxy/http_server.hpp"
#include "eelgrassledge/proxy/store_replica.hpp"

namespace eelgrassledge {

/// Header of a request for changes; its value is the revision after which changes are requested.
inline constexpr std::string_view FEED_AFTER_HEADER = "X-Eelgrassledge-Feed-After";

/// Era of that revision. A request without it is from an instance that knows no eras.
inline constexpr std::string_view FEED_ERA_HEADER = "X-Eelgrassledge-Feed-Era";

/// Serves the feed, the changes of the store that one instance passes on to others. A request is answered at
/// once when there are changes, else when the replica changes or after a wait.
class feed_server {
  public:
    feed_server(network_context& network, const store_replica& replica)
        : replica_(replica), timer_(network.loop) {}

    /// Sets the hook that fills in the fields of each answer that the replica does not hold.
    auto on_answer(std::function<void(feed_answer&)> hook) -> void { amend_answer_ = std::move(hook); }

    [[nodiscard]] static auto is_feed_request(const inbound_request& request) -> bool {
        return has_header(request.headers, FEED_AFTER_HEADER);
    }

    /// Answers a request for changes, now or later: 400 when the header holds no revision, 503 when the
    /// replica has no listing yet.
    auto handle(const shared_session& session, const inbound_request& request) -> void;

    /// Answers all waiting requests; call after the replica has changed.
    auto replica_changed() -> void;

    /// Whether another instance requested changes recently and therefore depends on this one.
    [[nodiscard]] auto has_followers(time_point now) const -> bool;

  private:
    struct waiting_request {
        shared_session session;
        /// Position after which changes are requested.
        store_position seen;
        /// When the request is answered even without changes.
        time_point until;
    };
    auto answer(const waiting_request& request) -> void;
    auto arm() -> void;
    auto answer_due(time_point now) -> void;

    const store_replica& replica_;
    std::function<void(feed_answer&)> amend_answer_;
    asio::steady_timer timer_;
    std::vector<waiting_request> waiting_;
    time_point last_request_{};
};

}  // namespace eelgrassledge
