#include "eelgrassledge/transport/http_loop.hpp"

#include <asio.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace eelgrassledge;

namespace {

/// Answers each request on loopback with an empty body; one for `/hold` when told.
class small_server {
  public:
    small_server() {
        accepting_ = std::thread{[this] { accept(); }};
    }
    ~small_server() {
        let_go();
        if (accepting_.joinable()) {
            refuse();
        }
        for (auto& one : serving_) {
            one.join();
        }
    }
    small_server(const small_server&) = delete;
    auto operator=(const small_server&) -> small_server& = delete;

    [[nodiscard]] auto address() const -> std::string {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] auto connections() const -> int { return connections_; }
    auto let_go() -> void { held_ = false; }
    /// Refuses connections from now on.
    auto refuse() -> void {
        asio::error_code ignored;
        asio::ip::tcp::socket wake{io_};
        refusing_ = true;
        wake.connect(acceptor_.local_endpoint(), ignored);
        accepting_.join();
        acceptor_.close(ignored);
    }

  private:
    auto accept() -> void {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
            acceptor_.accept(*socket);
            if (refusing_) {
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
            asio::write(socket, asio::buffer(std::string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}),
                        failed);
            if (is_last) {
                socket.close(failed);
                return;
            }
        }
    }

    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
    std::atomic<int> connections_{0};
    std::atomic<bool> held_{true};
    std::atomic<bool> refusing_{false};
    std::thread accepting_;
    std::vector<std::thread> serving_;
};

}  // namespace

TEST_CASE("connections that an http loop keeps") {
    // Regression: issue 8. After one connection went silent the next requests went out on others that had
    // gone silent with it, one after the other, until their queries' deadline.
    small_server server;
    http_loop loop;
    auto start = [&](const std::string& path) {
        auto result = std::make_shared<std::promise<http_failure>>();
        loop.start({"GET", "http://" + server.address() + path, "", {}, milliseconds{5000}}, false,
                   [result](const http_result& r) { result->set_value(r.failure); });
        return result->get_future();
    };
    REQUIRE(start("/").get() == http_failure::none);
    SECTION("are used again") {
        CHECK(start("/").get() == http_failure::none);
        CHECK(server.connections() == 1);
    }
    SECTION("are not used again once their server has closed them") {
        REQUIRE(start("/last").get() == http_failure::none);
        std::this_thread::sleep_for(milliseconds{50});
        auto result = std::make_shared<std::promise<http_failure>>();
        loop.start({"POST", "http://" + server.address() + "/", "{}", {}, milliseconds{5000}}, false,
                   [result](const http_result& r) { result->set_value(r.failure); });
        CHECK(result->get_future().get() == http_failure::none);
        CHECK(server.connections() == 2);
    }
    SECTION("are not used again once closed as idle") {
        loop.close_idle(server.address());
        CHECK(start("/").get() == http_failure::none);
        CHECK(server.connections() == 2);
    }
    SECTION("stay when another address is meant") {
        loop.close_idle("127.0.0.1:1");
        CHECK(start("/").get() == http_failure::none);
        CHECK(server.connections() == 1);
    }
    SECTION("stay while a call runs on them") {
        auto held = start("/hold");
        CHECK(held.wait_for(milliseconds{100}) == std::future_status::timeout);
        loop.close_idle(server.address());
        CHECK(held.wait_for(milliseconds{100}) == std::future_status::timeout);
        server.let_go();
        CHECK(held.get() == http_failure::none);
    }
    loop.stop();
}

TEST_CASE("a call that failed leaves no trace on the next") {
    // Regression: issue 9 point 6. libcurl wanted to send a request again, could not connect, and remembered
    // on the handle that the body must be rewound first; the next request on that handle failed for it,
    // whatever its server.
    small_server first;
    small_server second;
    http_loop loop;
    auto post = [&](const small_server& to, const std::string& path) {
        auto result = std::make_shared<std::promise<http_failure>>();
        loop.start({"POST", "http://" + to.address() + path, "{}", {}, milliseconds{5000}}, false,
                   [result](const http_result& r) { result->set_value(r.failure); });
        return result->get_future().get();
    };
    auto lost = "http://" + first.address() + "/drop";
    REQUIRE(post(first, "/") == http_failure::none);
    first.refuse();
    auto result = std::make_shared<std::promise<http_failure>>();
    loop.start({"POST", lost, "{}", {}, milliseconds{5000}}, false,
               [result](const http_result& r) { result->set_value(r.failure); });
    REQUIRE(result->get_future().get() == http_failure::unclear);
    CHECK(post(second, "/") == http_failure::none);
    loop.stop();
}
