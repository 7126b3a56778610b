#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "eelgrassledge/proxy/watched_store.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Keeps one key in the store under a lease for as long as this process runs. The lease is renewed; if it is
/// lost, a new one is requested and the key is written again.
class instance_registration {
  public:
    /// `min_time_to_live` is the shortest time to live that the store accepts for a lease.
    instance_registration(asio::io_context& loop, const watched_store& store, std::string key,
                          std::string value, duration min_time_to_live, event_log log);

    /// Sets hooks that are called when the lease was granted or renewed, with the time at which the call
    /// began, and when it was lost.
    auto on_lease(std::function<void(lease_id, time_point asked)> renewed, std::function<void()> lost)
        -> void {
        renewed_ = std::move(renewed);
        lost_ = std::move(lost);
    }

    /// Time to live of the lease at a store that grants none below `min_time_to_live`.
    [[nodiscard]] static auto lease_time(duration min_time_to_live) -> duration;

    auto start() -> void { request_lease(); }

    /// Requests a new lease and writes the key again, since the store was restored from a copy: the lease may
    /// be lost, or its id may be assigned to another owner. Answers to earlier calls are ignored.
    auto store_restored() -> void;

    /// Revokes the lease, so that other instances see at once that this one leaves.
    auto leave() -> void;

  private:
    auto request_lease() -> void;
    auto write_key() -> void;
    auto renew_lease() -> void;
    /// Calls `step` after `wait`, unless the instance leaves meanwhile.
    auto schedule(duration wait, void (instance_registration::*step)()) -> void;

    const watched_store& store_;
    std::string key_;
    std::string value_;
    duration time_to_live_;
    event_log log_;
    asio::steady_timer timer_;
    lease_id lease_;
    /// Number of the current sequence of calls, which ends when the store is restored.
    std::uint64_t sequence_ = 0;
    bool leaving_ = false;
    std::function<void(lease_id, time_point)> renewed_;
    std::function<void()> lost_;
};

}  // namespace eelgrassledge
