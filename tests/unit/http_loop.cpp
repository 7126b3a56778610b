#include "eelgrassledge/transport/http_loop.hpp"

#include <asio.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace eelgrassledge;

namespace {

/// HTTP server on loopback that gives the same answer to each request. Requests for `/hold` are answered only
/// after `release_held`.
class loopback_server {
  public:
    explicit loopback_server(std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        : answer_(std::move(answer)) {
        accepting_ = std::thread{[this] { accept(); }};
    }
    ~loopback_server() {
        release_held();
        if (accepting_.joinable()) {
            stop_accepting();
        }
        for (auto& one : serving_) {
            one.join();
        }
    }
    loopback_server(const loopback_server&) = delete;
    auto operator=(const loopback_server&) -> loopback_server& = delete;

    [[nodiscard]] auto address() const -> std::string {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] auto connections() const -> int { return connections_; }
    auto release_held() -> void { held_ = false; }
    /// Stops accepting connections.
    auto stop_accepting() -> void {
        asio::error_code ignored;
        asio::ip::tcp::socket wake{io_};
        stopping_ = true;
        wake.connect(acceptor_.local_endpoint(), ignored);
        accepting_.join();
        acceptor_.close(ignored);
    }

  private:
    auto accept() -> void {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
            acceptor_.accept(*socket);
            if (stopping_) {
                return;
            }
            ++connections_;
            serving_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    auto serve(asio::ip::tcp::socket& socket) -> void {
        asio::error_code failed;
        std::string text;
        while (asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", failed) > 0 && !failed) {
            while (text.find("/hold") != std::string::npos && held_) {
                std::this_thread::sleep_for(milliseconds{1});
            }
            auto is_last = text.find("/last") != std::string::npos;
            if (text.find("/drop") != std::string::npos) {
                socket.close(failed);
                return;
            }
            text.clear();
            asio::write(socket, asio::buffer(answer_), failed);
            if (is_last) {
                socket.close(failed);
                return;
            }
        }
    }

    std::string answer_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
    std::atomic<int> connections_{0};
    std::atomic<bool> held_{true};
    std::atomic<bool> stopping_{false};
    std::thread accepting_;
    std::vector<std::thread> serving_;
};

}  // namespace

TEST_CASE("pooled connections of an http loop") {
    // Regression: issue 8. When one connection to a server became unresponsive, the following requests used
    // other pooled connections that had become unresponsive too, one after another, until their queries'
    // deadline.
    loopback_server server;
    http_loop loop;
    auto start = [&](const std::string& path) {
        auto result = std::make_shared<std::promise<http_failure>>();
        loop.start({"GET", "http://" + server.address() + path, "", {}, milliseconds{5000}}, false,
                   [result](const http_result& r) { result->set_value(r.failure); });
        return result->get_future();
    };
    REQUIRE(start("/").get() == http_failure::none);
    SECTION("are reused") {
        CHECK(start("/").get() == http_failure::none);
        CHECK(server.connections() == 1);
    }
    SECTION("are not reused after their server has closed them") {
        REQUIRE(start("/last").get() == http_failure::none);
        std::this_thread::sleep_for(milliseconds{50});
        auto result = std::make_shared<std::promise<http_failure>>();
        loop.start({"POST", "http://" + server.address() + "/", "{}", {}, milliseconds{5000}}, false,
                   [result](const http_result& r) { result->set_value(r.failure); });
        CHECK(result->get_future().get() == http_failure::none);
        CHECK(server.connections() == 2);
    }
    SECTION("are not reused after close_idle") {
        loop.close_idle(server.address());
        CHECK(start("/").get() == http_failure::none);
        CHECK(server.connections() == 2);
    }
    SECTION("stay open when close_idle is called for another address") {
        loop.close_idle("127.0.0.1:1");
        CHECK(start("/").get() == http_failure::none);
        CHECK(server.connections() == 1);
    }
    SECTION("stay open while a call is in progress on them") {
        auto held = start("/hold");
        CHECK(held.wait_for(milliseconds{100}) == std::future_status::timeout);
        loop.close_idle(server.address());
        CHECK(held.wait_for(milliseconds{100}) == std::future_status::timeout);
        server.release_held();
        CHECK(held.get() == http_failure::none);
    }
    loop.stop();
}

TEST_CASE("a failed call does not affect the next call") {
    // Regression: issue 9 point 6. libcurl tried to resend a request, could not connect, and recorded on the
    // handle that the body must be rewound first. The next request on that handle failed for this reason,
    // regardless of its server.
    loopback_server first;
    loopback_server second;
    http_loop loop;
    auto post = [&](const loopback_server& to, const std::string& path) {
        auto result = std::make_shared<std::promise<http_failure>>();
        loop.start({"POST", "http://" + to.address() + path, "{}", {}, milliseconds{5000}}, false,
                   [result](const http_result& r) { result->set_value(r.failure); });
        return result->get_future().get();
    };
    auto dropped_url = "http://" + first.address() + "/drop";
    REQUIRE(post(first, "/") == http_failure::none);
    first.stop_accepting();
    auto result = std::make_shared<std::promise<http_failure>>();
    loop.start({"POST", dropped_url, "{}", {}, milliseconds{5000}}, false,
               [result](const http_result& r) { result->set_value(r.failure); });
    REQUIRE(result->get_future().get() == http_failure::unclear);
    CHECK(post(second, "/") == http_failure::none);
    loop.stop();
}

// Guards against responses with statuses that libcurl accepts, such as 600 and 200x, and against a wait for
// the time-out after 101.
TEST_CASE("a response with an invalid status is a bad response") {
    http_loop loop;
    auto result_of = [&](const std::string& status) {
        loopback_server server{"HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok"};
        auto result = std::make_shared<std::promise<http_result>>();
        loop.start({"GET", "http://" + server.address() + "/", "", {}, milliseconds{5000}}, false,
                   [result](const http_result& r) { result->set_value(r); });
        auto received = result->get_future().get();
        loop.close_idle(server.address());
        return received;
    };
    for (const auto* status :
         {"000 OK", "099 OK", "600 OK", "1000 OK", "2000 OK", "20 OK", "0200 OK", "+200 OK", "-200 OK",
          "200x OK", "2x0 OK", "", "OK", "101 Switching Protocols"}) {
        INFO(status);
        CHECK(result_of(status).failure == http_failure::bad_response);
    }
    for (const auto* status : {"200 OK", "200", "503 Busy", "599 Other"}) {
        INFO(status);
        auto result = result_of(status);
        CHECK(result.failure == http_failure::none);
        CHECK(result.response.body == "ok");
    }
    CHECK(result_of("103 Early Hints\r\n\r\nHTTP/1.1 200 OK").response.status == 200);
    CHECK(result_of("103 Early Hints\r\n\r\nHTTP/1.1 2000 OK").failure == http_failure::bad_response);
    loop.stop();
}
