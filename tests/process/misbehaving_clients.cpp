// Crowds of clients that stay within the limits of a single request and together exceed those of a process.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

#include "client_crowd.hpp"
#include "cluster.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

constexpr std::size_t MAX_BODY_BYTES = 262'144;
/// Clients of a crowd. One body of legal size from each is more than `MEMORY_MB`.
constexpr int CLIENTS = 250;
/// Memory of the machine in the tests' settings; the bound on the resident memory of the process.
constexpr int MEMORY_MB = 48;
/// Descriptors of the machine in the test of descriptors, and those of them that are kept for files.
constexpr int MAX_FDS = 400;
constexpr int KEPT_FDS = 200;
/// Time for which a crowd is watched. Shorter than all time limits of the daemon, so that these do not help.
constexpr duration CROWD_TIME = milliseconds{2500};

struct client_kind {
    const char* name;
    client_bytes bytes;
};

auto repeated(const std::string& text, std::size_t count) -> std::string {
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

auto http_kinds(const std::string& path) -> std::vector<client_kind> {
    auto head = [&](const std::string& method) {
        return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Caller-Key: caller-key\r\n";
    };
    const auto stated = head("POST") + fmt::format("Content-Length: {}\r\n\r\n", MAX_BODY_BYTES);
    const auto chunked = head("POST") + "Transfer-Encoding: chunked\r\n\r\n";
    const auto short_body = std::string(MAX_BODY_BYTES - 1, 'x');
    const std::chrono::milliseconds slow{100};
    return {
        {"body one byte short", {stated + short_body}},
        {"body one byte short in small pieces", {stated + short_body, 8000, std::chrono::milliseconds{10}}},
        {"body in chunks without its end",
         {chunked + repeated("3e8\r\n" + std::string(1000, 'x') + "\r\n", MAX_BODY_BYTES / 1000 - 1)}},
        {"body in chunks of one byte", {chunked + repeated("1\r\nx\r\n", 40'000)}},
        {"body far above the limit", {head("POST") + "Content-Length: 8000000\r\n\r\n" + short_body}},
        {"chunked body far above the limit",
         {chunked + repeated("3e80\r\n" + std::string(16'000, 'x') + "\r\n", 40)}},
        {"head of short fields without its end", {head("GET") + repeated("a:\r\n", 15'000)}},
        {"many pipelined requests", {repeated(head("GET") + "\r\n", 3000)}},
        {"head sent slowly", {head("GET") + "A: " + std::string(1000, 'x'), 10, slow}},
        {"body sent slowly", {stated + std::string(100'000, 'x'), 2000, slow}},
    };
}

/// Kinds of clients that send to the address for other instances. A Cap'n Proto message begins with its
/// number of segments less one and the size of the first segment in words.
auto peer_kinds() -> std::vector<client_kind> {
    constexpr std::size_t WORDS = MAX_BODY_BYTES / 8;
    const auto size_of_one_segment = std::string{0, 0, 0, 0} +
                                     std::string{0, static_cast<char>(WORDS >> 8U)} +
                                     std::string{static_cast<char>(WORDS >> 16U), 0};
    const auto short_message = size_of_one_segment + std::string(MAX_BODY_BYTES - 1, '\0');
    auto kinds = http_kinds("/search");
    kinds.resize(2);
    kinds.push_back({"message one byte short", {short_message}});
    kinds.push_back(
        {"message one byte short in small pieces", {short_message, 8000, std::chrono::milliseconds{10}}});
    kinds.push_back({"message sent slowly", {short_message, 2000, std::chrono::milliseconds{100}}});
    return kinds;
}

auto status_mb(const child_process& process, const std::string& field) -> int {
    std::ifstream status{"/proc/" + std::to_string(process.id()) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field)) {
            return std::stoi(line.substr(line.find_first_of("0123456789"))) / 1024;
        }
    }
    return 0;
}

/// Makes the peak of the resident memory count from now on.
auto reset_peak_memory(const child_process& process) -> void {
    std::ofstream{"/proc/" + std::to_string(process.id()) + "/clear_refs"} << "5";
}

auto open_descriptors(const child_process& process) -> int {
    auto files = std::filesystem::directory_iterator{"/proc/" + std::to_string(process.id()) + "/fd"};
    return static_cast<int>(std::distance(begin(files), end(files)));
}

auto one_instance(int memory_mb, int max_fds) -> cluster_plan {
    cluster_plan plan;
    plan.zones = {"a"};
    plan.daemons_per_zone = 1;
    plan.services.front().shards = 1;
    plan.services.front().replicas = 1;
    plan.daemon_settings = {fmt::format("memory_mb={}", memory_mb), fmt::format("max_fds={}", max_fds),
                            fmt::format("max_body_bytes={}", MAX_BODY_BYTES)};
    return plan;
}

struct crowded_cluster : cluster {
    explicit crowded_cluster(int memory_mb = MEMORY_MB, int max_fds = 4100)
        : cluster(one_instance(memory_mb, max_fds)),
          max_memory_mb(memory_mb),
          max_descriptors(max_fds - KEPT_FDS) {
        REQUIRE(wait_until_serving());
    }

    auto process() -> child_process& { return *daemons.front().process; }

    auto is_served() -> bool {
        return call("GET", daemons.front().http, "/readyz", {}).status == 200 &&
               is_complete(0, fmt::format("ordinary {}", ++requests));
    }

    /// Checks the process while and after the clients of one kind are connected.
    auto check_crowd(const std::string& address, const client_kind& kind) -> void {
        INFO(kind.name);
        reset_peak_memory(process());
        int most_descriptors = 0;
        {
            client_crowd crowd{address, CLIENTS, kind.bytes};
            auto until = monotonic_now() + CROWD_TIME;
            while (monotonic_now() < until && process().running()) {
                most_descriptors = std::max(most_descriptors, open_descriptors(process()));
                std::this_thread::sleep_for(milliseconds{50});
            }
            REQUIRE(process().running());
            // A caller repeats a request that was refused or whose connection was closed.
            CHECK(eventually(seconds{10}, [&] { return is_served(); }));
        }
        auto peak_mb = status_mb(process(), "VmHWM:");
        WARN(kind.name << ": " << peak_mb << " MB, " << most_descriptors << " descriptors");
        CHECK(peak_mb < max_memory_mb);
        CHECK(most_descriptors < max_descriptors);
        REQUIRE(eventually(seconds{10}, [&] { return is_served(); }));
    }

    int max_memory_mb;
    int max_descriptors;
    int requests = 0;
};

}  // namespace

// Guards against requests that stop before their end and make a process exceed the memory of its machine.
TEST_CASE("misbehaving clients at the address for callers", "[clients]") {
    crowded_cluster c;
    for (const auto* path : {"/search", "/nowhere", "/readyz"}) {
        INFO(path);
        for (const auto& kind : http_kinds(path)) {
            c.check_crowd(c.daemons.front().http, kind);
        }
    }
}

// Guards against the same at the address for other instances.
TEST_CASE("misbehaving clients at the address for other instances", "[clients]") {
    crowded_cluster c;
    for (const auto& kind : peer_kinds()) {
        c.check_crowd(c.daemons.front().peer, kind);
    }
}

// Guards against large answers that nobody reads.
TEST_CASE("clients that do not read large answers", "[clients]") {
    crowded_cluster c;
    // The page with the document is the largest answer that can be had without load on the searchers.
    auto text = c.document_text() + repeated("# " + std::string(97, 'x') + "\n", 8500);
    auto changed = c.put_document(0, text, c.revision_at(0), "large");
    INFO(changed.body.dump());
    REQUIRE(changed.status == 200);
    REQUIRE(eventually(seconds{10}, [&] { return c.is_served(); }));
    const std::string request =
        "GET /admin/document HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer operator-token\r\n\r\n";
    c.check_crowd(c.daemons.front().http, {"one request", {request}});
    c.check_crowd(c.daemons.front().http, {"eight pipelined requests", {repeated(request, 8)}});
}

// Guards against connections that use up the descriptors which upstreams, the store and the other address
// need.
TEST_CASE("more connections than descriptors", "[clients]") {
    crowded_cluster c{160, MAX_FDS};
    for (const auto& address : {c.daemons.front().http, c.daemons.front().peer}) {
        INFO(address);
        c.check_crowd(address, {"nothing sent", {""}});
        c.check_crowd(address, {"incomplete line", {"GET /search HT"}});
    }
}
