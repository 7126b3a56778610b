#include "eelgrassledge/proxy/connection_pool.hpp"

#include <catch2/catch.hpp>

#include "eelgrassledge/proxy/http_server.hpp"

using namespace eelgrassledge;

TEST_CASE("requests that wait for a connection") {
    network_context network;
    std::vector<shared_session> held;
    http_server server{
        network, [&](const shared_session& session, const inbound_request&) { held.push_back(session); }};
    // The system chooses the port: with a fixed one, two runs at a time failed to listen.
    REQUIRE(server.listen({asio::ip::address_v4::loopback(), 0}));
    connection_pool pool{network, server.address()};
    pool.limit(1);
    std::vector<exchange_result> results;
    auto allowed = true;
    auto send = [&](std::uint64_t number) {
        connection_pool::request o;
        o.attempt = attempt_id{number};
        o.bytes = [] { return std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}; };
        o.may_start = [&] { return allowed; };
        o.on_done = [&](exchange_result result) { results.push_back(std::move(result)); };
        pool.send(std::move(o));
    };
    auto turn = [&] {
        network.loop.restart();
        network.loop.run_for(std::chrono::milliseconds{50});
    };
    send(1);
    send(2);
    turn();
    REQUIRE(held.size() == 1);

    SECTION("go out on the same connection when it is free") {
        held[0]->respond({200, {}, ""});
        turn();
        CHECK(held.size() == 2);
        CHECK(pool.opened() == 1);
    }
    SECTION("do not go out to a server that left meanwhile (DRAIN of ezdrave trouble-1)") {
        allowed = false;
        held[0]->respond({200, {}, ""});
        turn();
        CHECK(held.size() == 1);
        REQUIRE(results.size() == 2);
        CHECK(results[1].end == exchange_end::not_connected);
    }
    SECTION("are forgotten when they are cancelled") {
        pool.cancel(attempt_id{2});
        held[0]->respond({200, {}, ""});
        turn();
        CHECK(held.size() == 1);
        CHECK(results.size() == 1);
    }
}
