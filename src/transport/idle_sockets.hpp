#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrassledge {

/// Tracks the sockets of a libcurl multi handle by remote address, to shut down the idle ones of one address.
///
/// libcurl has no function to close the idle connections of one address. It detects that a socket shut down
/// here is closed, and closes it before it would be reused. Not thread-safe: use it only on the thread that
/// runs the handle.
class idle_sockets {
  public:
    auto on_opened(int socket, const std::string& address) -> void;
    auto on_closed(int socket) -> void;

    /// Records that a request is being sent on the connection with this local port.
    auto mark_busy(std::uint16_t local_port) -> void;
    /// Records that the request on the connection with this local port has ended.
    auto mark_idle(std::uint16_t local_port) -> void;

    /// Shuts down the connections to an address on which no request is in progress. Connections that are
    /// still being established are left open. Linear in the number of sockets to the address.
    auto shut_down_idle(const std::string& address) -> void;

  private:
    struct socket_state {
        std::string address;
        std::uint16_t local_port = 0;  ///< Zero until the connection is established and first used.
        bool busy = false;
    };

    std::map<int, socket_state> sockets_;
    std::map<std::string, std::set<int>> by_address_;
    std::map<std::uint16_t, int> by_port_;
    std::set<int> connecting_;
};

}  // namespace eelgrassledge
