#include "silent_proxy.hpp"

#include <asio/write.hpp>

namespace eelgrassledge::review {

silent_proxy::silent_proxy(network_context& network, const std::string& address, const std::string& server)
    : network_(network),
      address_(address),
      server_(parse_endpoint(server).value()),
      acceptor_(network.loop, parse_endpoint(address).value()) {
    accept_next();
}

auto silent_proxy::accept_next() -> void {
    acceptor_.async_accept([this](const asio::error_code& fault, asio::ip::tcp::socket socket) {
        if (fault) {
            return;
        }
        auto accepted = std::make_shared<link>(
            link{std::move(socket), asio::ip::tcp::socket{network_.loop}, false, false, {}, {}});
        links_.push_back(accepted);
        accepted->server.async_connect(server_, [this, accepted](const asio::error_code& failed) {
            if (failed) {
                close(accepted);
                return;
            }
            relay(accepted, accepted->caller, accepted->server, accepted->to_server);
            relay(accepted, accepted->server, accepted->caller, accepted->to_caller);
        });
        accept_next();
    });
}

auto silent_proxy::relay(const shared_link& on, asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
                         std::array<char, 16384>& buffer) -> void {
    from.async_read_some(asio::buffer(buffer), [this, on, &from, &to, &buffer](const asio::error_code& fault,
                                                                               std::size_t count) {
        if (on->is_closed) {
            return;
        }
        if (fault) {
            if (!on->is_silent) {
                close(on);
            }
            return;
        }
        if (on->is_silent) {
            relay(on, from, to, buffer);
            return;
        }
        asio::async_write(to, asio::buffer(buffer.data(), count),
                          [this, on, &from, &to, &buffer](const asio::error_code& failed, std::size_t) {
                              if (failed) {
                                  close(on);
                              } else {
                                  relay(on, from, to, buffer);
                              }
                          });
    });
}

auto silent_proxy::close(const shared_link& on) -> void {
    on->is_closed = true;
    asio::error_code ignored;
    on->caller.close(ignored);
    on->server.close(ignored);
}

auto silent_proxy::silence() -> void {
    for (const auto& known : links_) {
        if (auto open = known.lock()) {
            open->is_silent = true;
        }
    }
}

auto silent_proxy::reset() -> void {
    for (const auto& known : links_) {
        if (auto open = known.lock()) {
            asio::error_code ignored;
            open->caller.set_option(asio::socket_base::linger{true, 0}, ignored);
            close(open);
        }
    }
}

}  // namespace eelgrassledge::review
