#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <future>
#include <thread>

#include "child_process.hpp"
#include "eelgrassledge/core/allocator.hpp"
#include "eelgrassledge/transport/http_loop.hpp"
#include "raw_upstream.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

/// Memory limit of the smallest machines in the operators' site files.
constexpr std::size_t SMALLEST_MACHINE_BYTES = std::size_t{160} << 20U;

/// Calls that each receive an endless response at the same time.
constexpr int FLOODED_CALLS = 80;

constexpr duration CALL_TIMEOUT = seconds{4};

/// Resident memory of this process.
auto resident_bytes() -> std::size_t {
    std::ifstream statm{"/proc/self/statm"};
    std::size_t pages = 0;
    statm >> pages >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

struct endless_response {
    const char* name;
    std::string start;
    std::string endless;
};

}  // namespace

// Guards against a process that runs out of memory because of many responses without an end at the same time.
TEST_CASE("endless responses to many calls of one loop", "[flood]") {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const auto body = std::string(16'000, 'x');
    auto head = std::string{};
    auto interim = std::string{};
    while (head.size() < 16'000) {
        head += "a: b\r\n";
        interim += "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n";
    }
    const std::vector<endless_response> cases{
        {"head", ok, head},
        {"interim responses", "", interim},
        {"body without a length", ok + "\r\n", body},
        {"body with a length", ok + "Content-Length: 8000000\r\n\r\n", body},
        {"chunked body", ok + "Transfer-Encoding: chunked\r\n\r\n", "3e80\r\n" + body + "\r\n"},
    };
    // As in the daemons.
    return_large_buffers_to_system();
    for (const auto& one : cases) {
        INFO(one.name);
        auto address = free_address();
        auto sound_address = free_address();
        raw_upstream flooding{address, [&](const std::string&, const std::string&) {
                                  return raw_answer{one.start, connection_action::close, one.endless};
                              }};
        raw_upstream sound{sound_address, [](const std::string&, const std::string&) {
                               return raw_answer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                                                 connection_action::keep, ""};
                           }};
        http_loop loop;
        auto call = [&](const std::string& to) {
            // Only the start of the body is stored here, as the test shares its process with the loop.
            auto result = std::make_shared<std::promise<std::string>>();
            loop.start({"GET", "http://" + to + "/", "", {}, CALL_TIMEOUT, std::size_t{8} << 20U}, false,
                       [result](const http_result& r) { result->set_value(r.response.body.substr(0, 2)); });
            return result->get_future();
        };
        auto before = resident_bytes();
        auto started = monotonic_now();
        std::vector<std::future<std::string>> flooded;
        for (int i = 0; i < FLOODED_CALLS; ++i) {
            flooded.push_back(call(address));
        }
        std::size_t peak = before;
        for (int i = 0; i < 100; ++i) {
            peak = std::max(peak, resident_bytes());
            std::this_thread::sleep_for(milliseconds{10});
        }
        for (int i = 0; i < 10; ++i) {
            CHECK(call(sound_address).get() == "ok");
        }
        for (auto& response : flooded) {
            peak = std::max(peak, resident_bytes());
            response.wait();
        }
        CHECK(peak - before < SMALLEST_MACHINE_BYTES);
        CHECK(monotonic_now() - started < CALL_TIMEOUT);
        loop.stop();
    }
}
