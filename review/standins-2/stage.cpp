#include "stage.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace eelgrassledge::review {

namespace {

using nlohmann::json;

constexpr const char* HOST = "desk.example";
constexpr duration REQUEST_LIMIT = seconds{8};
constexpr duration START_LIMIT = seconds{10};

auto exchange(const std::string& address, const std::string& bytes, duration limit) -> exchange_result {
    network_context network;
    exchange_result answer;
    answer.end = exchange_end::broken;
    answer.reason = "no answer";
    auto connection = std::make_shared<http_connection>(network, parse_endpoint(address).value());
    connection->exchange(bytes, false, std::size_t{8} << 20U, [&](exchange_result result) {
        answer = std::move(result);
        network.loop.stop();
    });
    network.loop.run_for(std::chrono::microseconds{limit});
    connection->close();
    return answer;
}

auto percent_encoded(const std::string& key) -> std::string {
    std::string text;
    for (auto c : key) {
        text += std::isalnum(static_cast<unsigned char>(c)) != 0
                    ? std::string(1, c)
                    : fmt::format("%{:02X}", static_cast<unsigned>(static_cast<unsigned char>(c)));
    }
    return text;
}

}  // namespace

auto has_trouble() -> bool {
    const auto* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

auto run_by_clients(int count, const std::function<void(int)>& operation) -> void {
    std::vector<std::thread> clients;
    for (int client = 0; client < CLIENTS; ++client) {
        clients.emplace_back([count, client, &operation] {
            for (int i = client; i < count; i += CLIENTS) {
                operation(i);
            }
        });
    }
    for (auto& client : clients) {
        client.join();
    }
}

stage::stage(const std::vector<std::string>& arguments) : started_(monotonic_now()) {
    if (arguments.size() != 3) {
        throw std::runtime_error{"usage: case DAEMON STANDINS RECORD"};
    }
    daemon_command_ = arguments[0];
    standins_ = arguments[1];
    record_.open(arguments[2]);
    auto pattern = std::filesystem::temp_directory_path().string() + "/eelgrassledge-review-XXXXXX";
    directory_ = ::mkdtemp(pattern.data());
    store_address_ = test::free_address();
    store_ = std::make_unique<test::child_process>(
        std::vector<std::string>{standins_ + "/standin-store", store_address_}, directory_ + "/store.log");
    if (!test::eventually(START_LIMIT, [this] { return put("standin/started", "1"); })) {
        throw std::runtime_error{"the store does not start"};
    }
}

stage::~stage() {
    daemons.clear();
    searchers.clear();
    store_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

auto stage::put(const std::string& key, const std::string& value) -> bool {
    auto request = fmt::format("POST /standin/put?key={} HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{}",
                               percent_encoded(key), value.size(), value);
    return exchange(store_address_, request, seconds{1}).status == 200;
}

auto stage::add_searcher(const std::string& id, const std::string& service, const std::string& zone,
                         const std::string& fault, double share) -> void {
    searcher_process added;
    added.id = id;
    added.service = service;
    added.zone = zone;
    added.address = test::free_address();
    added.log_path = directory_ + "/" + id + ".log";
    constexpr const char* SLOTS = "6";
    constexpr const char* WORK_MS = "160";
    added.process = std::make_unique<test::child_process>(
        std::vector<std::string>{standins_ + "/review-searcher", added.address, id, service, SLOTS, WORK_MS,
                                 fault, std::to_string(share)},
        added.log_path);
    auto listens = [&] { return test::read_text(added.log_path).starts_with("listening"); };
    if (!test::eventually(START_LIMIT, listens)) {
        throw std::runtime_error{"a searcher does not start"};
    }
    put("servers/" + id, json{{"backend", service},
                              {"address", added.address},
                              {"zone", zone},
                              {"version", "v1"},
                              {"capacity", 6},
                              {"state", "ready"},
                              {"warmupLeftMs", 0},
                              {"sequence", 1},
                              {"born", wall_clock_now() / 1000}}
                             .dump());
    record(fmt::format("searcher {} of {} in {}: fault {}, share of answers {}", id, service, zone, fault,
                       share));
    searchers.push_back(std::move(added));
}

auto stage::configure(const std::vector<plain_route>& routes) -> void {
    json encoded = json::array();
    std::set<std::string> services;
    for (const auto& one : routes) {
        encoded.push_back({{"name", "r" + one.path_prefix},
                           {"hostname", HOST},
                           {"pathPrefix", one.path_prefix},
                           {"routeType", one.type},
                           {"timeoutMs", 6000},
                           {"targetLatencyMs", 600},
                           {"maxAttempts", 2},
                           {"priority", 2},
                           {"backend", one.service}});
        services.insert(one.service);
    }
    json backends = json::array();
    for (const auto& name : services) {
        backends.push_back({{"name", name},
                            {"healthCheckPath", "/health"},
                            {"maxConnections", 110},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"warmupS", 3.0},
                            {"warmupPerS", 0.0}});
    }
    put("op/config", json{{"version", 7},
                          {"routes", encoded},
                          {"backends", backends},
                          {"limits",
                           {{"maxHeaderBytes", 16384},
                            {"maxBodyBytes", 262144},
                            {"headerTimeoutMs", 3000},
                            {"idleTimeoutMs", 15000}}}}
                         .dump());
}

auto stage::start_daemons(const std::vector<std::string>& zones) -> void {
    auto subnet = test::loopback_subnet();
    json zone_table = json::object();
    for (const auto& zone : zones) {
        zone_table[zone] = "r";
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        daemon_process added;
        added.name = fmt::format("frontend-{}-1", zones[i]);
        added.ip = fmt::format("{}.{}", subnet, i + 1);
        added.front = added.ip + ":8104";
        added.ready = added.ip + ":8108";
        added.settings_path = directory_ + "/" + added.name + ".json";
        added.log_path = directory_ + "/" + added.name + ".log";
        // The values of the small deployment ezdrave.
        json settings{{"nodeName", added.name},
                      {"role", "query"},
                      {"machineClass", "frontend"},
                      {"serves", {"frontend"}},
                      {"ip", added.ip},
                      {"zone", zones[i]},
                      {"region", "r"},
                      {"zones", zone_table},
                      {"listenAddresses", {{"front", added.front}, {"ready", added.ready}}},
                      {"internalPorts", {7380, 7395}},
                      {"seeds", {subnet + ".1:8106", subnet + ".2:8106"}},
                      {"bootstrap", true},
                      {"limits",
                       {{"cpuShare", 0.25},
                        {"cpuCores", 1},
                        {"memoryMb", 260},
                        {"maxFds", 4100},
                        {"linkMbps", 1000.0}}},
                      {"heartbeatMs", 1200},
                      {"bounds",
                       {{"contactMs", 4000},
                        {"drainMs", 3000},
                        {"graceS", 6},
                        {"lossSlackMs", 200},
                        {"configApplyMs", 3000},
                        {"retryBudgetRatio", 0.2},
                        {"budgetWindowS", 10},
                        {"budgetSlack", 58},
                        {"evacuationMs", 5000}}},
                      {"platform", {{"address", store_address_}, {"minTtlMs", 1000}}}};
        std::ofstream{added.settings_path} << settings.dump(2);
        ::setenv("EELGRASSLEDGE_CONFIG", added.settings_path.c_str(), 1);
        added.process =
            std::make_unique<test::child_process>(std::vector<std::string>{daemon_command_}, added.log_path);
        daemons.push_back(std::move(added));
    }
}

auto stage::wait_until_ready() -> bool {
    return test::eventually(START_LIMIT, [this] {
        return std::all_of(daemons.begin(), daemons.end(), [](const daemon_process& one) {
            return exchange(one.ready, "GET /eelgrassledge/readiness HTTP/1.1\r\nHost: r\r\n\r\n", seconds{1})
                       .status == 200;
        });
    });
}

auto stage::send(const daemon_process& to, const std::string& method, const std::string& path,
                 const std::string& id, int deadline_ms, const std::string& body) -> exchange_result {
    auto bytes = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n",
                             method, path, HOST, id, deadline_ms);
    if (method != "GET") {
        bytes += fmt::format("Content-Length: {}\r\n", body.size());
    }
    record(fmt::format("sent {} {} {} to {}", id, method, path, to.name));
    auto answer = exchange(to.front, bytes + "\r\n" + body, REQUEST_LIMIT);
    if (answer.end == exchange_end::answered) {
        auto signature = header_value(answer.headers, "X-Server-Stamp");
        record(fmt::format("answered {} status {} X-Server-Stamp {}", id, answer.status,
                           signature.empty() ? "none" : std::string{signature}));
    } else {
        record(fmt::format("not answered {}: {}", id, answer.reason));
    }
    return answer;
}

auto stage::record(const std::string& line) -> void {
    std::lock_guard guard{record_lock_};
    record_ << fmt::format("{:.3f} ", to_milliseconds(monotonic_now() - started_) / 1000) << line
            << std::endl;
}

auto stage::collect_runs() -> std::map<std::string, int> {
    std::map<std::string, int> runs;
    for (const auto& one : searchers) {
        std::istringstream lines{test::read_text(one.log_path)};
        std::string word;
        std::string id;
        for (std::string line; std::getline(lines, line);) {
            record_ << "at searcher " << one.id << ": " << line << '\n';
            std::istringstream words{line};
            if (words >> word >> id && word == "run") {
                ++runs[id];
            }
        }
    }
    return runs;
}

}  // namespace eelgrassledge::review
