#include "eelgrassledge/proxy/http_server.hpp"

#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>

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

namespace {

/// A server on loopback and its callers, all in this process. The handler answers paths below /large with
/// more bytes than the buffers of the operating system hold, and never answers /wait.
struct limited_server {
    limited_server() {
        REQUIRE(server.listen({asio::ip::address_v4::loopback(), 0}));
        server.on_loss([this](const session_loss& loss) { losses.emplace_back(loss.reason, loss.stage); });
        server.on_head([](const inbound_request& head) -> std::optional<outbound_response> {
            return head.target == "/nowhere" ? std::optional{outbound_response{404, {}, ""}} : std::nullopt;
        });
    }

    auto run() -> void {
        network.loop.restart();
        network.loop.run_for(std::chrono::milliseconds{50});
    }

    auto connect(const std::string& bytes) -> asio::ip::tcp::socket& {
        auto& caller = callers.emplace_back(caller_loop);
        caller.connect(server.address());
        asio::write(caller, asio::buffer(bytes));
        run();
        return caller;
    }

    static auto received(asio::ip::tcp::socket& caller) -> std::string {
        caller.non_blocking(true);
        std::string text(1000, '\0');
        asio::error_code fault;
        text.resize(caller.read_some(asio::buffer(text), fault));
        return text;
    }

    network_context network;
    http_server server{network, [this](const shared_session& session, const inbound_request& request) {
                           if (request.target == "/wait") {
                               session->on_abandoned([this] { ++abandoned; });
                               return;
                           }
                           auto size = request.target == "/large" ? std::size_t{16} << 20U : 2;
                           session->respond({200, {}, std::string(size, 'x')});
                       }};
    asio::io_context caller_loop;
    std::list<asio::ip::tcp::socket> callers;
    std::vector<std::pair<std::string, session_stage>> losses;
    int abandoned = 0;
};

auto post(const std::string& target, std::size_t stated, std::size_t sent) -> std::string {
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(stated) +
           "\r\n\r\n" + std::string(sent, 'b');
}

}  // namespace

// Guards against clients that hold memory or connections by stopping half-way.
TEST_CASE("limits of a server") {
    limited_server s;
    auto now = monotonic_now();
    SECTION("a body that the head refuses is not waited for") {
        CHECK(s.received(s.connect(post("/nowhere", 1000, 10))).starts_with("HTTP/1.1 404"));
        CHECK(s.received(s.connect(post("/", 10, 10))).starts_with("HTTP/1.1 200"));
    }
    SECTION("above the memory limit, an unfinished request is refused as not run, a running one is not") {
        auto& running = s.connect(post("/wait", 50'000, 50'000));
        auto& first = s.connect(post("/", 90'000, 80'000));
        s.network.sessions.limit(s.network.sessions.held() + 10'000);
        auto& second = s.connect(post("/", 90'000, 70'000));
        CHECK(s.received(first).starts_with("HTTP/1.1 503"));
        CHECK(s.received(second).empty());
        CHECK(s.received(running).empty());
        CHECK(s.abandoned == 0);
        CHECK(s.losses ==
              std::vector<std::pair<std::string, session_stage>>{{"memory", session_stage::identified}});
    }
    SECTION("memory of large requests and answers is not kept by idle connections") {
        auto& caller = s.connect(post("/", 200'000, 200'000));
        CHECK(s.received(caller).starts_with("HTTP/1.1 200"));
        CHECK(s.network.sessions.held() < 10'000);
    }
    SECTION("a body has the idle time after its head, and then gets 408") {
        auto& caller = s.connect(post("/", 1000, 10));
        s.server.enforce_timeouts(now + seconds{15});
        s.run();
        CHECK(s.received(caller).empty());
        s.server.enforce_timeouts(now + seconds{18});
        s.run();
        CHECK(s.received(caller).starts_with("HTTP/1.1 408"));
        CHECK(s.losses.front().first == "body_time");
    }
    SECTION("an answer that is not read is given up after its time") {
        s.connect("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
        s.server.enforce_timeouts(now + seconds{100});
        CHECK(s.losses.empty());
        s.server.enforce_timeouts(now + seconds{2000});
        REQUIRE(s.losses.size() == 1);
        CHECK(s.losses.front() == std::pair{std::string{"read_time"}, session_stage::delivering});
        CHECK(s.server.sessions() == 0);
    }
    SECTION("a full listener replaces a session that waits, only when a client comes, and none that runs") {
        listener_policy policy;
        policy.max_sessions = 2;
        policy.min_stage_time = {};
        s.server.set_policy(policy);
        s.connect("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        s.connect("GET / HT");
        s.run();
        CHECK(s.losses.empty());
        auto& sound = s.connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        s.run();
        CHECK(s.received(sound).starts_with("HTTP/1.1 200"));
        CHECK(s.losses ==
              std::vector<std::pair<std::string, session_stage>>{{"sessions", session_stage::unidentified}});
        CHECK(s.server.sessions() <= 2);
        CHECK(s.abandoned == 0);
    }
    SECTION("a full listener replaces a session whose client does not close after a refusal") {
        listener_policy policy;
        policy.max_sessions = 1;
        policy.min_stage_time = {};
        policy.serves_targets_only = true;
        s.server.set_policy(policy);
        CHECK(s.received(s.connect(post("/", 10, 5))).starts_with("HTTP/1.1 413"));
        CHECK(s.server.sessions() == 1);
        auto& sound = s.connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        s.run();
        CHECK(s.received(sound).starts_with("HTTP/1.1 200"));
        CHECK(s.server.sessions() <= 1);
    }
    SECTION("a listener that serves targets only accepts no body, and keeps no fields") {
        listener_policy policy;
        policy.serves_targets_only = true;
        s.server.set_policy(policy);
        CHECK(s.received(s.connect(post("/", 10, 0))).starts_with("HTTP/1.1 413"));
        std::string fields;
        for (int i = 0; i < 10'000; ++i) {
            fields += "a:\r\n";
        }
        auto before = s.network.sessions.held();
        auto& caller = s.connect("GET / HTTP/1.1\r\n" + fields);
        CHECK(s.network.sessions.held() < before + 20'000);
        asio::write(caller, asio::buffer(std::string{"\r\n"}));
        s.run();
        CHECK(s.received(caller).starts_with("HTTP/1.1 200"));
    }
}
