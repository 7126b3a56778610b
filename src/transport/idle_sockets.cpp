#include "idle_sockets.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

namespace eelgrassledge {

namespace {

/// Local port of a socket; zero if it is not bound.
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

auto idle_sockets::on_opened(int socket, const std::string& address) -> void {
    sockets_[socket] = {address, 0, false};
    by_address_[address].insert(socket);
    connecting_.insert(socket);
}

auto idle_sockets::on_closed(int socket) -> void {
    auto found = sockets_.find(socket);
    if (found == sockets_.end()) {
        return;
    }
    auto& same_address = by_address_[found->second.address];
    same_address.erase(socket);
    if (same_address.empty()) {
        by_address_.erase(found->second.address);
    }
    by_port_.erase(found->second.local_port);
    connecting_.erase(socket);
    sockets_.erase(found);
}

auto idle_sockets::mark_busy(std::uint16_t local_port) -> void {
    if (auto known = by_port_.find(local_port); known != by_port_.end()) {
        sockets_[known->second].busy = true;
        return;
    }
    for (auto socket : connecting_) {
        if (local_port_of(socket) == local_port) {
            auto& state = sockets_[socket];
            state.local_port = local_port;
            state.busy = true;
            by_port_[local_port] = socket;
            connecting_.erase(socket);
            return;
        }
    }
}

auto idle_sockets::mark_idle(std::uint16_t local_port) -> void {
    if (auto known = by_port_.find(local_port); known != by_port_.end()) {
        sockets_[known->second].busy = false;
    }
}

auto idle_sockets::shut_down_idle(const std::string& address) -> void {
    auto found = by_address_.find(address);
    if (found == by_address_.end()) {
        return;
    }
    for (auto socket : found->second) {
        const auto& state = sockets_[socket];
        if (state.local_port != 0 && !state.busy) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
}

}  // namespace eelgrassledge
