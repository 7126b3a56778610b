#include "eelgrassledge/proxy/http_connection.hpp"

#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

using namespace eelgrassledge;

TEST_CASE("a request that could not be written to a reset connection counts as not sent") {
    network_context network;
    asio::io_context server_loop;
    asio::ip::tcp::acceptor acceptor{server_loop, {asio::ip::address_v4::loopback(), 0}};
    auto connection = std::make_shared<http_connection>(network, acceptor.local_endpoint());
    std::vector<exchange_result> results;
    auto exchange = [&] {
        connection->exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, 1000,
                             [&](exchange_result result) { results.push_back(std::move(result)); });
    };
    auto run_loop = [&] {
        network.loop.restart();
        network.loop.run_for(std::chrono::milliseconds{50});
    };
    exchange();
    run_loop();
    auto server = acceptor.accept();
    std::string request;
    asio::read_until(server, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(server, asio::buffer(std::string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}));
    run_loop();
    REQUIRE(results.size() == 1);
    REQUIRE(connection->is_reusable());
    // The reset arrives while this side is busy and does not read.
    server.set_option(asio::socket_base::linger{true, 0});
    server.close();
    exchange();
    run_loop();
    REQUIRE(results.size() == 2);
    CHECK(results[1].end == exchange_end::not_connected);
}
