#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "eelgrassledge/proxy/http_connection.hpp"

namespace eelgrassledge::review {

/// Forwards connections to one server. `silence` makes the connections that are open pass nothing more, in
/// either direction and without a reset; later ones work.
class silent_proxy {
  public:
    silent_proxy(network_context& network, const std::string& address, const std::string& server);

    auto silence() -> void;
    /// Closes all open connections with a reset.
    auto reset() -> void;
    [[nodiscard]] auto address() const -> const std::string& { return address_; }

  private:
    struct link {
        asio::ip::tcp::socket caller;
        asio::ip::tcp::socket server;
        bool is_silent = false;
        bool is_closed = false;
        std::array<char, 16384> to_server{};
        std::array<char, 16384> to_caller{};
    };
    using shared_link = std::shared_ptr<link>;

    auto accept_next() -> void;
    auto relay(const shared_link& on, asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
               std::array<char, 16384>& buffer) -> void;
    static auto close(const shared_link& on) -> void;

    network_context& network_;
    std::string address_;
    asio::ip::tcp::endpoint server_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<link>> links_;
};

}  // namespace eelgrassledge::review
