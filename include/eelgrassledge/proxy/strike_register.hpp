#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "eelgrassledge/proxy/watched_store.hpp"
#include "eelgrassledge/routing/crash_suspects.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Time since a strike, from the clock of this machine and that of the instance that recorded the strike;
/// zero when that instance's clock is ahead.
[[nodiscard]] auto strike_age(const strike& one) -> duration;

/// Keeps strikes in the store for as long as they count, whichever instance found them and whether or not
/// that instance still runs. A strike is one upstream that crashed while it ran a request.
///
/// Each strike is a key of its own under a lease that is never renewed. A strike that is not in the store is
/// written by the instance that found it, immediately and with retries until the write succeeds, and by the
/// few instances that are responsible for it, after a delay in which a write by another instance becomes
/// visible. The responsible instances also write it again when it disappears early.
class strike_register {
  public:
    /// `random` returns numbers in [0, 1). Keys start with `prefix`.
    strike_register(asio::io_context& loop, const watched_store& store, std::string prefix,
                    std::function<double()> random, event_log log);

    /// Sets the hook that returns whether this instance is responsible for a request.
    auto on_responsibility_check(std::function<bool(fingerprint)> hook) -> void {
        is_responsible_ = std::move(hook);
    }

    /// Takes a strike that this instance found, and writes it immediately.
    auto found_here(const strike& found) -> void;
    /// Takes a strike received directly from another instance. Schedules a delayed write if this instance is
    /// responsible for its request.
    auto received_from_peer(const strike& found) -> void;

    /// Records that a strike is present in the store.
    auto stored(const strike& found) -> void;
    /// Records that a strike is no longer present in the store.
    auto removed(const std::string& key) -> void;

    /// Schedules a write of each strike that this instance found or is responsible for, since the store was
    /// restored from a copy and may have lost it. A listing that still has the strike cancels the write.
    auto store_restored() -> void;

    /// Strikes that are not known to be present in the store.
    [[nodiscard]] auto unstored() const -> std::vector<strike>;

    /// Key of a strike.
    [[nodiscard]] auto key_of(const strike& found) const -> std::string;

  private:
    struct known_strike {
        strike recorded;
        /// When it is to be written; empty when it is present in the store.
        std::optional<time_point> due;
        bool found_here = false;
    };

    auto schedule_write(const strike& found, duration wait, bool found_here) -> void;
    /// A random time within which writes of several instances are spread.
    [[nodiscard]] auto spread() const -> duration;
    /// Writes the strike that is due first, or arms the timer for it.
    auto write_next_due() -> void;
    auto write(const std::string& key) -> void;
    auto write_failed(const std::string& key, const error& cause) -> void;
    /// Opens the lease for the next strikes.
    auto grant() -> void;
    /// Removes strikes older than `STRIKE_LIFETIME`.
    auto remove_expired() -> void;

    const watched_store& store_;
    std::string prefix_;
    std::function<double()> random_;
    event_log log_;
    std::function<bool(fingerprint)> is_responsible_;
    asio::steady_timer timer_;
    std::map<std::string, known_strike> known_;
    lease_id lease_;
    time_point granted_{};
    bool call_pending_ = false;
    bool timer_armed_ = false;
};

}  // namespace eelgrassledge
