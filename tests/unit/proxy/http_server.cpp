#include "eelgrassledge/proxy/http_server.hpp"

#include <asio/write.hpp>
#include <catch2/catch.hpp>

using namespace eelgrassledge;

TEST_CASE("closing the idle connections of a server") {
    network_context network;
    http_server server{network, [](const shared_session& session, const inbound_request&) {
                           session->respond({200, {}, ""});
                       }};
    REQUIRE(server.listen({asio::ip::address_v4::loopback(), 0}));
    auto run_loop = [&] {
        network.loop.restart();
        network.loop.run_for(std::chrono::milliseconds{50});
    };
    asio::io_context caller_loop;
    asio::ip::tcp::socket caller{caller_loop};
    caller.connect(server.address());
    run_loop();
    REQUIRE(server.sessions() == 1);
    auto received = [&] {
        caller.non_blocking(true);
        std::string text(1000, '\0');
        asio::error_code fault;
        text.resize(caller.read_some(asio::buffer(text), fault));
        return text;
    };
    SECTION("closes those without a request") {
        server.close_idle();
        run_loop();
        CHECK(received().empty());
    }
    SECTION("answers a request that has arrived and was not read yet (planned stop under load)") {
        asio::write(caller, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}));
        server.close_after_answers(true);
        server.close_idle();
        run_loop();
        CHECK(received().starts_with("HTTP/1.1 200"));
    }
    SECTION("leaves new connections to the listening socket until that is closed") {
        server.stop_listening();
        run_loop();
        asio::ip::tcp::socket late{caller_loop};
        asio::error_code fault;
        late.connect(caller.remote_endpoint(), fault);
        CHECK(fault == asio::error::connection_refused);
    }
}
