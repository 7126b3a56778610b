#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"
#include "eelgrassledge/routing/work_estimate.hpp"

namespace eelgrassledge {

/// What an upstream publishes about itself in the instance list.
struct upstream_record {
    upstream_id id;
    service_id service;
    /// IP address and port. Another upstream may reuse it later, so it identifies an upstream only together
    /// with the id.
    std::string address;
    zone_id zone;
    std::uint32_t slots = 1;
    bool draining = false;
    duration warm_up_left{};
    /// Start time of this incarnation (one run of the upstream's process) in Unix milliseconds.
    std::int64_t born_unix_ms = 0;
    /// Rises with each change that this incarnation makes to its record.
    std::int64_t sequence = 0;
};

/// How strongly a new sub-request should avoid an upstream; higher values are avoided more.
enum class preference : std::uint8_t {
    normal,    ///< No reason to avoid it.
    degraded,  ///< Its answer is overdue, it failed recently or its zone is unresponsive.
    leaving,   ///< It drains or its entry vanished, but the end of its time for new work has not come.
    never,     ///< It must not get new work: it has left, or wants no requests for some time.
};

/// One incarnation of an upstream: its published record, and what this instance measured of it.
///
/// Not synchronized; operations are linear in the number of sub-requests in flight.
class upstream {
  public:
    upstream(upstream_record record, time_point now);

    [[nodiscard]] auto record() const -> const upstream_record& { return record_; }
    [[nodiscard]] auto id() const -> const upstream_id& { return record_.id; }

    /// Replaces the record by a newer one of the same incarnation.
    auto announce(upstream_record record, time_point now) -> void;

    /// Records that the entry vanished from the list, or that the upstream drains. It gets no new work from
    /// `last_send` on; a later time than one recorded before is ignored.
    auto leave(time_point last_send) -> void;

    /// Records that the upstream said in an answer that it leaves. Unlike `leave`, this is final: an entry
    /// may list the upstream for longer.
    auto said_leaving(time_point last_send) -> void;
    [[nodiscard]] auto has_said_leaving() const -> bool { return said_leaving_; }

    /// Records that the entry is present again and does not drain.
    auto cancel_leave() -> void;

    /// Records that the upstream refused a request and wants none from this instance for `wait`, of which at
    /// most `MAX_PAUSE` is used.
    auto pause(duration wait, time_point now) -> void;
    /// End of the time for which the upstream wants no requests; in the past if there is none.
    [[nodiscard]] auto paused_until() const -> time_point { return paused_until_; }

    /// Longest pause. A wrong value must not take an upstream out of service for long; a request that is sent
    /// after the pause starts a new one if the upstream still refuses.
    static constexpr duration MAX_PAUSE = seconds{60};

    /// Whether the latest answer is older than `since`.
    [[nodiscard]] auto is_unresponsive_since(time_point since) const -> bool { return last_answer_ < since; }
    [[nodiscard]] auto is_leaving() const -> bool { return last_send_.has_value(); }

    /// Records that a sub-request was sent that costs this much work on an upstream of ordinary speed.
    auto sent(time_point now, double cost_ms = UNKNOWN_COST_MS) -> void {
        in_flight_.push_back({now, cost_ms});
    }

    /// Sets how many sub-requests of this instance the upstream may run at once; zero for no limit.
    auto limit_in_flight(std::size_t count) -> void { in_flight_limit_ = count; }

    /// Whether sub-requests of this instance queue behind earlier ones while the upstream answers: an
    /// unresponsive upstream is not a sign of load.
    [[nodiscard]] auto is_saturated() const -> bool {
        return in_flight_limit_ > 0 && in_flight_.size() > in_flight_limit_ &&
               last_answer_ > in_flight_.front().sent;
    }

    /// Records an answer after `latency`; `healthy` is false for a failure that the upstream reported.
    auto answered(duration latency, bool healthy, time_point now) -> void;

    /// Records that a sub-request was abandoned after `elapsed`.
    auto abandoned(duration elapsed, time_point now) -> void;

    /// Records that the connection of a sub-request failed after `elapsed`, or that another process uses the
    /// address. New work avoids the upstream for a time that doubles, within bounds, with each failure after
    /// the previous time has passed.
    auto connection_failed(duration elapsed, time_point now) -> void;

    /// Records that an answer is overdue; new work avoids the upstream until it answers, at most until
    /// `until`.
    auto overdue(time_point until) -> void;

    [[nodiscard]] auto preference_at(time_point now) const -> preference;
    /// Whether the upstream has left: it will never get new work again.
    [[nodiscard]] auto is_gone(time_point now) const -> bool { return last_send_ && now >= *last_send_; }
    [[nodiscard]] auto is_cold(time_point now) const -> bool { return now < cold_until_; }

    /// Factor by which its recent answers took longer than their costs, work of other instances included.
    [[nodiscard]] auto slowness(time_point now) const -> double;

    /// Expected latency of one more sub-request with this cost, in milliseconds: the work that is left in
    /// flight, divided over the slots, and the work of the sub-request itself, with a surcharge for recent
    /// failures. If the oldest sub-request in flight takes longer than expected, its elapsed time is used for
    /// the work itself.
    [[nodiscard]] auto expected_ms(time_point now, double cost_ms = UNKNOWN_COST_MS) const -> double;

  private:
    struct sub_request_in_flight {
        time_point sent;
        double cost_ms = UNKNOWN_COST_MS;
    };

    /// Removes the sub-request that was sent at `sent` from those in flight, and returns its cost.
    auto erase_in_flight(time_point sent) -> double;
    /// `value`, moved towards `baseline` exponentially with the time since the latest observation.
    [[nodiscard]] auto decayed(double value, double baseline, time_point now) const -> double;

    upstream_record record_;
    std::optional<time_point> last_send_;
    bool said_leaving_ = false;
    time_point paused_until_{};
    time_point cold_until_{};
    time_point overdue_until_{};
    time_point avoid_until_{};
    duration avoid_for_{};
    time_point observed_{};
    double slowness_ = 1;
    double failure_share_ = 0;
    /// Oldest first.
    std::vector<sub_request_in_flight> in_flight_;
    std::size_t in_flight_limit_ = 0;
    time_point last_answer_{};
    /// Whether the latest connection failed, so that only one sub-request at a time tries the upstream again.
    bool needs_probe_ = false;
};

using shared_upstream = std::shared_ptr<upstream>;

}  // namespace eelgrassledge
