#include "eelgrassledge/proxy/connection_pool.hpp"

#include <catch2/catch.hpp>

#include "eelgrassledge/proxy/http_server.hpp"

using namespace eelgrassledge;

TEST_CASE("requests queued for a connection") {
    network_context network;
    std::vector<shared_session> sessions;
    http_server server{
        network, [&](const shared_session& session, const inbound_request&) { sessions.push_back(session); }};
    // Port 0 lets the system choose the port: with a fixed port, a second run at the same time could not
    // listen.
    REQUIRE(server.listen({asio::ip::address_v4::loopback(), 0}));
    connection_pool pool{network, server.address()};
    pool.limit(1);
    std::vector<exchange_result> results;
    auto allowed = true;
    auto send = [&](std::uint64_t number) {
        connection_pool::request r;
        r.attempt = attempt_id{number};
        r.bytes = [] { return std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}; };
        r.may_start = [&] { return allowed; };
        r.on_done = [&](exchange_result result) { results.push_back(std::move(result)); };
        pool.send(std::move(r));
    };
    auto run_loop = [&] {
        network.loop.restart();
        network.loop.run_for(std::chrono::milliseconds{50});
    };
    send(1);
    send(2);
    run_loop();
    REQUIRE(sessions.size() == 1);

    SECTION("are sent on the same connection when it is free") {
        sessions[0]->respond({200, {}, ""});
        run_loop();
        CHECK(sessions.size() == 2);
        CHECK(pool.opened() == 1);
    }
    // Regression (DRAIN of ezdrave trouble-1): a queued request was sent to a server that had begun to drain.
    SECTION("are not sent to a server that became unavailable meanwhile") {
        allowed = false;
        sessions[0]->respond({200, {}, ""});
        run_loop();
        CHECK(sessions.size() == 1);
        REQUIRE(results.size() == 2);
        CHECK(results[1].end == exchange_end::not_connected);
    }
    SECTION("are removed when they are cancelled") {
        pool.cancel(attempt_id{2});
        sessions[0]->respond({200, {}, ""});
        run_loop();
        CHECK(sessions.size() == 1);
        CHECK(results.size() == 1);
    }
}
