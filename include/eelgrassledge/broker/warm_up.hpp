#pragma once

#include <cstdint>
#include <optional>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// How much load an upstream can take, as far as known.
enum class warmth : std::uint8_t {
    unknown,  ///< No answer since the broker started or a connection failed: one sub-request at a time.
    cold,     ///< Started recently: the rate is limited and rises with each completed sub-request.
    warm,     ///< Takes its full rate.
};

/// Warm-up progress of an upstream, handed over when its owner changes.
struct warm_up_state {
    start_id start;
    std::uint64_t completed = 0;  ///< Sub-requests completed since the start.
    bool warm = false;

    friend auto operator==(const warm_up_state&, const warm_up_state&) -> bool = default;
};

/// Limits of the warm-up ramp, from the service's section of the configuration document.
struct warm_up_limits {
    double cold_rate_per_s = 20;
    double warm_rate_per_s = 200;
    std::uint64_t requests = 200;  ///< Sub-requests to complete before the upstream counts as warm.
};

/// Rate limit of one upstream from its start until it is warm.
///
/// The permitted rate rises from the cold rate to the warm rate with the number of sub-requests that the
/// upstream completed since its start, and drops when the upstream sheds a sub-request. An answer with a
/// start id other than the known one restarts the ramp. All operations take constant time.
class warm_up_ramp {
  public:
    explicit warm_up_ramp(warm_up_limits limits);

    /// Whether one more sub-request may be sent now, given how many are running.
    [[nodiscard]] auto may_send(time_point now, std::uint32_t running, std::uint32_t slots) const -> bool;

    /// Earliest time at which the rate permits the next sub-request; empty when it permits one now.
    [[nodiscard]] auto next_send_time(time_point now) const -> std::optional<time_point>;

    /// Records that a sub-request was sent.
    auto sent(time_point now) -> void;

    /// Records an answer with the upstream's start id; a start id other than the known one begins a new
    /// warm-up.
    auto answered(start_id start) -> void;

    /// Records a failed connection. The warmth is unknown until the next answer, as the upstream may have
    /// restarted.
    auto connection_failed() -> void;

    /// Records that the upstream shed a sub-request because of overload; lowers the rate of a cold upstream.
    auto request_shed(time_point now) -> void;

    /// Takes over the state of the previous owner. It takes effect once an answer shows the same start id.
    auto inherit(const warm_up_state& state) -> void;

    /// State for the next owner; empty before the first answer or inherited state.
    [[nodiscard]] auto state() const -> std::optional<warm_up_state>;

    [[nodiscard]] auto current() const -> warmth { return warmth_; }

    /// Permitted rate in sub-requests per second; for a cold upstream after the safety margin.
    [[nodiscard]] auto rate_per_s() const -> double;

    /// Number of the given slots that may be in use at once.
    [[nodiscard]] auto concurrency(std::uint32_t slots) const -> std::uint32_t;

  private:
    auto restart(start_id start) -> void;

    warm_up_limits limits_;
    warmth warmth_ = warmth::unknown;
    std::optional<warm_up_state> state_;
    double rate_factor_ = 1.0;  ///< Factor on the permitted rate, lowered when the upstream sheds.
    std::optional<time_point> last_sent_;
};

}  // namespace eelgrassledge
