#include "idle_sockets.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

namespace eelgrassledge {

namespace {

/// Local port of a socket; zero when it has none.
auto local_port_of(int socket) -> std::uint16_t {
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return 0;
    }
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
    }
    return address.ss_family == AF_INET ? ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port) : 0;
}

}  // namespace

auto idle_sockets::opened(int socket, std::string address) -> void {
    sockets_[socket] = {std::move(address), 0};
    connecting_.insert(socket);
}

auto idle_sockets::closed(int socket) -> void {
    sockets_.erase(socket);
    connecting_.erase(socket);
}

auto idle_sockets::connected(std::uint16_t local_port) -> void {
    for (auto socket : connecting_) {
        if (local_port_of(socket) == local_port) {
            sockets_[socket].local_port = local_port;
            connecting_.erase(socket);
            return;
        }
    }
}

auto idle_sockets::shut_down(const std::string& address, const std::set<std::uint16_t>& busy) -> void {
    for (const auto& [socket, kept] : sockets_) {
        if (kept.address == address && kept.local_port != 0 && !busy.contains(kept.local_port)) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
}

}  // namespace eelgrassledge
