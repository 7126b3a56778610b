#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
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

    auto start() -> void { request_lease(); }

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
    bool leaving_ = false;
};

}  // namespace eelgrassledge
