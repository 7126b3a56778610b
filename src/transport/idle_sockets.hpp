#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrassledge {

/// The sockets that a multi handle of libcurl keeps, by the address they lead to. libcurl cannot close the
/// idle connections of one address; a socket that is shut down here is found dead and closed by libcurl
/// before it would be used again. Not synchronized: for the thread that runs the handle.
class idle_sockets {
  public:
    auto opened(int socket, std::string address) -> void;
    auto closed(int socket) -> void;

    /// Records that a request goes out on the connection with this local port.
    auto connected(std::uint16_t local_port) -> void;

    /// Shuts down the connections to an address on which no request runs; `busy` holds the local ports of the
    /// others. Connections that are still being made stay. Linear in the number of sockets.
    auto shut_down(const std::string& address, const std::set<std::uint16_t>& busy) -> void;

  private:
    struct entry {
        std::string address;
        std::uint16_t local_port = 0;  ///< Zero until the connection is made.
    };
    std::map<int, entry> sockets_;
    std::set<int> connecting_;
};

}  // namespace eelgrassledge
