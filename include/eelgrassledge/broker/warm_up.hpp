#pragma once

#include <cstdint>
#include <optional>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// How much is known about an upstream's ability to carry load.
enum class warmth : std::uint8_t {
    unknown,  ///< Nothing, or its connections failed: one probe at a time.
    cold,     ///< It started recently: its rate is limited and rises with its work.
    warm,     ///< It carries its full rate.
};

/// What one owner of an upstream passes to the next one.
struct warm_up_state {
    start_id start;
    std::uint64_t completed = 0;
    bool warm = false;

    friend auto operator==(const warm_up_state&, const warm_up_state&) -> bool = default;
};

/// Limits of the ramp, from the service's section of the document.
struct warm_up_limits {
    double cold_rate_per_s = 20;
    double warm_rate_per_s = 200;
    std::uint64_t requests = 200;  ///< Sub-requests completed before the full rate.
};

/// Rate limit of one upstream from its start until it is warm.
///
/// The permitted rate rises with the number of sub-requests that the upstream completed since its
/// start, from the cold rate to the warm rate, and drops when answers fail or slow down. A start id
/// that differs from the one known starts the ramp again. All operations are constant time.
class warm_up_ramp {
  public:
    explicit warm_up_ramp(warm_up_limits limits);

    /// Whether one more sub-request may be sent now, given how many are running.
    [[nodiscard]] auto may_send(time_point now, std::uint32_t running, std::uint32_t slots) const -> bool;

    /// When `may_send` can next become true by the passage of time alone; empty when it is true now or
    /// waits for an answer.
    [[nodiscard]] auto next_send_time(time_point now) const -> std::optional<time_point>;

    /// Records that a sub-request was sent.
    auto sent(time_point now) -> void;

    /// Records an answer with the upstream's start id; another start than before begins a new warm-up.
    auto answered(start_id start) -> void;

    /// Records that a connection failed: the upstream may have restarted.
    auto connection_failed() -> void;

    /// Records that the upstream could not carry what it got, such as a shed sub-request.
    auto strained(time_point now) -> void;

    /// Takes over what the previous owner knew. It counts only once an answer shows the same start id.
    auto inherit(const warm_up_state& state) -> void;

    /// What the next owner should know; empty while nothing is known.
    [[nodiscard]] auto state() const -> std::optional<warm_up_state>;

    [[nodiscard]] auto current() const -> warmth { return warmth_; }

    /// Permitted rate in sub-requests per second.
    [[nodiscard]] auto rate_per_s() const -> double;

    /// How many sub-requests may run at once, of the given slots.
    [[nodiscard]] auto concurrency(std::uint32_t slots) const -> std::uint32_t;

  private:
    auto restart(start_id start) -> void;

    warm_up_limits limits_;
    warmth warmth_ = warmth::unknown;
    std::optional<warm_up_state> known_;
    double damping_ = 1.0;  ///< Share of the permitted rate left after signs of strain.
    std::optional<time_point> last_sent_;
};

}  // namespace eelgrassledge
