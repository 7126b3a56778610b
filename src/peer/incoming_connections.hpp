#pragma once

// Connections accepted at the address for other daemons and the memory they hold. Used only on the peer
// network's thread. Private to this folder.

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <functional>

#include "eelgrassledge/config/session_limits.hpp"
#include "eelgrassledge/core/session_memory.hpp"

namespace eelgrassledge {

/// Accepts connections and serves them until they end. Any client may connect and begin messages that it does
/// not complete: their bytes are counted, and connections above the limits are closed.
class incoming_connections {
  public:
    /// Called for each evicted connection with its stage and the bytes it held.
    using evicted_hook = std::function<void(eviction_reason, session_stage, std::size_t)>;

    incoming_connections(capnp::TwoPartyServer& server, kj::ConnectionReceiver& receiver, kj::Timer& timer,
                         kj::TaskSet::ErrorHandler& on_failure, session_limits limits,
                         evicted_hook on_evicted);

    /// Accepts connections; the promise never resolves.
    auto accept_all() -> kj::Promise<void>;

  private:
    class counted_stream;

    auto add(kj::Own<kj::AsyncIoStream> stream) -> void;
    auto enforce_memory() -> void;

    capnp::TwoPartyServer& server_;
    kj::ConnectionReceiver& receiver_;
    kj::Timer& timer_;
    kj::TaskSet::ErrorHandler& on_failure_;
    std::size_t max_connections_;
    std::size_t open_ = 0;
    evicted_hook on_evicted_;
    session_memory memory_;
    kj::TaskSet connections_;
};

}  // namespace eelgrassledge
