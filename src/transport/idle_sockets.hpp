#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrassledge {

/// The sockets that a multi handle of libcurl keeps, by the address they lead to.
///
/// libcurl cannot close the idle connections of one address. A socket that is shut down here is found dead
/// and closed by libcurl before it would be used again. Not synchronized: for the thread that runs the
/// handle.
class idle_sockets {
  public:
    auto opened(int socket, const std::string& address) -> void;
    auto closed(int socket) -> void;

    /// Records that a request goes out on the connection with this local port, and that it ended.
    auto in_use(std::uint16_t local_port) -> void;
    auto idle_again(std::uint16_t local_port) -> void;

    /// Shuts down the connections to an address on which no request runs. Connections that are still being
    /// made stay. Linear in the number of sockets to the address.
    auto shut_down(const std::string& address) -> void;

  private:
    struct socket_state {
        std::string address;
        std::uint16_t local_port = 0;  ///< Zero until the connection is made.
        bool busy = false;
    };

    std::map<int, socket_state> sockets_;
    std::map<std::string, std::set<int>> by_address_;
    std::map<std::uint16_t, int> by_port_;
    std::set<int> connecting_;
};

}  // namespace eelgrassledge
