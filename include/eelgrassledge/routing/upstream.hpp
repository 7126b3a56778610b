#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// What an upstream announces of itself in the instance list.
struct upstream_record {
    upstream_id id;
    service_id service;
    /// IP address and port. It may pass to another upstream later, so it means nothing without the id.
    std::string address;
    zone_id zone;
    std::uint32_t slots = 1;
    bool draining = false;
    duration warm_up_left{};
    /// Start of this incarnation in Unix milliseconds.
    std::int64_t born_unix_ms = 0;
};

/// How urgently a new sub-request should avoid an upstream.
enum class preference : std::uint8_t {
    normal,    ///< Nothing speaks against it.
    degraded,  ///< It is overdue or failed lately.
    leaving,   ///< It is draining or its entry vanished, and its last moment for new work has not come.
    never,     ///< It must not get new work.
};

/// One incarnation of an upstream: its announcement, and what this instance observed of it.
///
/// Not synchronized; operations are linear in the sub-requests in flight.
class upstream {
  public:
    upstream(upstream_record record, time_point now);

    [[nodiscard]] auto record() const -> const upstream_record& { return record_; }
    [[nodiscard]] auto id() const -> const upstream_id& { return record_.id; }

    /// Takes a newer announcement of the same incarnation.
    auto announce(upstream_record record, time_point now) -> void;

    /// Records that the entry vanished from the list, or that the upstream drains. New work ends at
    /// `last_send`.
    auto leave(time_point last_send) -> void;

    /// Records that the entry is back.
    auto stay() -> void { last_send_.reset(); }

    /// Whether it has answered nothing since a moment.
    [[nodiscard]] auto is_unresponsive_since(time_point since) const -> bool { return last_answer_ < since; }
    [[nodiscard]] auto is_leaving() const -> bool { return last_send_.has_value(); }

    /// Records that a sub-request was sent.
    auto sent(time_point now) -> void { in_flight_.push_back(now); }

    /// Records how many sub-requests this instance may have with the upstream at once; zero for any number.
    auto limit_in_flight(std::size_t count) -> void { allowed_at_once_ = count; }

    /// Whether sub-requests of this instance wait here for earlier ones to end, while the upstream answers:
    /// one that is silent has another trouble than load.
    [[nodiscard]] auto is_saturated() const -> bool {
        return allowed_at_once_ > 0 && in_flight_.size() > allowed_at_once_ &&
               last_answer_ > in_flight_.front();
    }

    /// Records an answer after `latency`; `healthy` is false for a failure that the upstream itself reported.
    auto answered(duration latency, bool healthy, time_point now) -> void;

    /// Records that a sub-request was given up after `elapsed`.
    auto abandoned(duration elapsed, time_point now) -> void;

    /// Records that the connection of a sub-request failed after `elapsed`, or that another process has the
    /// address.
    auto connection_failed(duration elapsed, time_point now) -> void;

    /// Records that an answer is overdue; new work avoids the upstream until an answer comes or `until`.
    auto overdue(time_point until) -> void;

    [[nodiscard]] auto preference_at(time_point now) const -> preference;
    [[nodiscard]] auto is_cold(time_point now) const -> bool { return now < cold_until_; }

    /// Expected latency of one more sub-request in milliseconds, with a surcharge for recent failures. A
    /// sub-request in flight that already takes longer than those before counts as a sample.
    [[nodiscard]] auto expected_ms(time_point now) const -> double;

  private:
    auto done(time_point sent) -> void;
    [[nodiscard]] auto faded(double value, double rest, time_point now) const -> double;

    upstream_record record_;
    std::optional<time_point> last_send_;
    time_point cold_until_{};
    time_point overdue_until_{};
    time_point avoid_until_{};
    duration avoid_for_{};
    time_point observed_{};
    double latency_ms_;
    double failure_share_ = 0;
    /// When the sub-requests in flight were sent, oldest first.
    std::vector<time_point> in_flight_;
    std::size_t allowed_at_once_ = 0;
    time_point last_answer_{};
    bool on_trial_ = false;
};

using shared_upstream = std::shared_ptr<upstream>;

}  // namespace eelgrassledge
