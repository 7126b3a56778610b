#include "stage.hpp"

#include <fmt/format.h>
#include <stdlib.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace eelgrassledge::review {

namespace {

using nlohmann::json;

/// Commands, relative to the root of the repository. The first is that of the deploy file.
constexpr const char* DAEMON = "target/platform/eelgrassledge-platformd";
constexpr const char* STORE = "review/out/review-store";
constexpr const char* SEARCHER = "review/out/review-searcher";

constexpr duration START_LIMIT = seconds{10};
constexpr duration CALL_LIMIT = seconds{2};
constexpr std::size_t MAX_BODY = std::size_t{8} << 20U;

auto percent_encoded(const std::string& key) -> std::string {
    std::string text;
    for (auto c : key) {
        text += std::isalnum(static_cast<unsigned char>(c)) != 0
                    ? std::string(1, c)
                    : fmt::format("%{:02X}", static_cast<unsigned>(static_cast<unsigned char>(c)));
    }
    return text;
}

auto post(const std::string& target, const std::string& body) -> std::string {
    return fmt::format("POST {} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{}", target, body.size(),
                       body);
}

}  // namespace

stage::stage(const std::string& record_path) : record_(record_path) {
    auto pattern = std::filesystem::temp_directory_path().string() + "/eelgrassledge-review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"no temporary folder"};
    }
    directory_ = pattern;
    subnet_ = test::loopback_subnet();
    store_address_ = test::free_address();
    bounds_ = {{"seedLagS", 3},
               {"addrReuseS", 2},
               {"contactMs", 4000},
               {"ackMs", 5000},
               {"catchUpS", 4},
               {"drainMs", 3000},
               {"graceS", 6},
               {"lossSlackMs", 200},
               {"configApplyMs", 3000},
               {"downgradeSlackMs", 250},
               {"maxStretchMs", 12000},
               {"retryBudgetRatio", 0.2},
               {"budgetWindowS", 10},
               {"budgetSlack", 58},
               {"warmupOvershoot", 1.5},
               {"warmupSlack", 5},
               {"evacuationMs", 5000},
               {"recoveryS", 12}};
    started_ms_ = now_ms();
}

stage::~stage() {
    daemons_.clear();
    searchers_.clear();
    store_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

auto stage::now_ms() const -> double {
    return to_milliseconds(monotonic_now().time_since_epoch());
}

auto stage::record(const std::string& line, double at_ms) -> void {
    auto text = fmt::format("{:9.1f} {}", (at_ms < 0 ? now_ms() : at_ms) - started_ms_, line);
    record_ << text << std::endl;
    std::cout << text << std::endl;
}

auto stage::wait(duration time) -> void {
    auto until = monotonic_now() + time;
    while (monotonic_now() < until) {
        network_.loop.restart();
        network_.loop.run_for(std::chrono::microseconds{until - monotonic_now()});
        if (network_.loop.stopped() && monotonic_now() < until) {
            // Nothing is left to run.
            ::usleep(1000);
        }
    }
}

auto stage::wait_until(duration limit, const std::function<bool()>& condition, const std::string& what)
    -> void {
    auto until = monotonic_now() + limit;
    while (!condition()) {
        if (monotonic_now() >= until) {
            throw std::runtime_error{"not in time: " + what};
        }
        wait(milliseconds{5});
    }
}

auto stage::call(const std::string& address, const std::string& bytes) -> exchange_result {
    auto connection = std::make_shared<http_connection>(network_, parse_endpoint(address).value());
    auto answer = std::make_shared<exchange_result>();
    auto is_done = std::make_shared<bool>(false);
    connection->exchange(bytes, false, MAX_BODY, [answer, is_done](exchange_result result) {
        *answer = std::move(result);
        *is_done = true;
    });
    auto until = monotonic_now() + CALL_LIMIT;
    while (!*is_done && monotonic_now() < until) {
        network_.loop.restart();
        network_.loop.run_one_for(milliseconds{5});
    }
    connection->close();
    return *answer;
}

auto stage::start_store() -> void {
    store_ = std::make_unique<test::child_process>(std::vector<std::string>{STORE, store_address_},
                                                   directory_ + "/store.log");
    wait_until(
        START_LIMIT,
        [&] { return call(store_address_, post("/standin/put?key=standin%2Fstarted", "1")).status == 200; },
        "the start of the store");
}

auto stage::control_store(const std::string& target, const std::string& body) -> void {
    if (call(store_address_, post(target, body)).status != 200) {
        throw std::runtime_error{"the store did not take " + target};
    }
}

auto stage::put(const std::string& key, const std::string& value) -> double {
    control_store("/standin/put?key=" + percent_encoded(key), value);
    return now_ms();
}

auto stage::add_daemon(const std::string& zone) -> daemon_process& {
    auto daemon = std::make_unique<daemon_process>();
    auto number = daemons_.size() + 1;
    daemon->name = fmt::format("frontend-{}-{}", zone, number);
    daemon->zone = zone;
    daemon->ip = fmt::format("{}.{}", subnet_, number);
    daemon->caller_address = daemon->ip + ":8104";
    daemon->readiness_address = daemon->ip + ":8108";
    daemon->settings_path = directory_ + "/" + daemon->name + ".json";
    daemon->log_path = directory_ + "/" + daemon->name + ".log";
    daemons_.push_back(std::move(daemon));
    return *daemons_.back();
}

auto stage::write_settings(const daemon_process& daemon) -> void {
    json seeds = json::array();
    json zones = json::object();
    for (const auto& other : daemons_) {
        zones[other->zone] = "sofia";
        if (seeds.size() < 3) {
            seeds.push_back(other->ip + ":8106");
        }
    }
    json settings{
        {"nodeName", daemon.name},
        {"role", "query"},
        {"machineClass", "frontend"},
        {"serves", {"frontend"}},
        {"ip", daemon.ip},
        {"zone", daemon.zone},
        {"region", "sofia"},
        {"zones", zones},
        {"listenAddresses", {{"front", daemon.caller_address}, {"ready", daemon.readiness_address}}},
        {"internalPorts", {7380, 7395}},
        {"seeds", seeds},
        {"bootstrap", true},
        {"countsAsLoss", false},
        {"limits",
         {{"cpuShare", 0.25},
          {"cpuCores", 1},
          {"memoryMb", 260},
          {"maxFds", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDir", nullptr},
        {"discovery", "platform"},
        {"entryPoint", "virtual_ip"},
        {"heartbeatMs", 1200},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"}},
        {"faultTolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
        {"bounds", bounds_},
        {"platform",
         {{"address", store_address_},
          {"form", "kv"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576},
          {"minTtlMs", 1000}}}};
    auto temporary = daemon.settings_path + ".new";
    std::ofstream{temporary} << settings.dump(2);
    std::filesystem::rename(temporary, daemon.settings_path);
}

auto stage::start_daemon(daemon_process& daemon) -> void {
    write_settings(daemon);
    ::setenv("EELGRASSLEDGE_CONFIG", daemon.settings_path.c_str(), 1);
    daemon.process = std::make_unique<test::child_process>(std::vector<std::string>{DAEMON}, daemon.log_path);
    ::unsetenv("EELGRASSLEDGE_CONFIG");
}

auto stage::wait_until_ready() -> void {
    for (const auto& daemon : daemons_) {
        wait_until(
            START_LIMIT,
            [&] {
                auto request = "GET /eelgrassledge/readiness HTTP/1.1\r\nHost: platform\r\n\r\n";
                return call(daemon->readiness_address, request).status == 200;
            },
            daemon->name + " is ready");
    }
}

auto stage::start_searcher(const std::string& id, const std::string& service, const std::string& zone,
                           int slots, int work_ms) -> searcher_process& {
    searchers_.push_back(std::make_unique<searcher_process>());
    auto& started = *searchers_.back();
    started.id = id;
    started.service = service;
    started.zone = zone;
    started.slots = slots;
    started.address = test::free_address();
    started.log_path = directory_ + "/" + id + ".log";
    started.born_unix_ms = wall_clock_now() / 1000;
    started.process = std::make_unique<test::child_process>(
        std::vector<std::string>{SEARCHER, started.address, id, service, std::to_string(slots),
                                 std::to_string(work_ms)},
        started.log_path);
    wait_until(
        START_LIMIT, [&] { return test::read_text(started.log_path).starts_with("listening"); },
        "the start of searcher " + id);
    return started;
}

auto stage::beat(searcher_process& searcher, const std::string& state, int warm_up_left_ms) -> double {
    json entry{{"backend", searcher.service},     {"address", searcher.address},
               {"zone", searcher.zone},           {"version", "v1"},
               {"capacity", searcher.slots},      {"state", state},
               {"warmupLeftMs", warm_up_left_ms}, {"sequence", ++searcher.sequence},
               {"born", searcher.born_unix_ms}};
    auto at_ms = put("servers/" + searcher.id, entry.dump());
    record(fmt::format("store acknowledged {}: {}, warmupLeftMs {}", searcher.id, state, warm_up_left_ms),
           at_ms);
    return at_ms;
}

auto stage::make_leaving(const searcher_process& searcher) -> void {
    (void)call(searcher.address, "GET /control/leave HTTP/1.1\r\nHost: searcher\r\n\r\n");
}

auto stage::send(const std::string& address, const std::string& method, const std::string& path,
                 const std::string& id, int deadline_ms, const std::string& body) -> shared_request {
    auto request = std::make_shared<sent_request>();
    request->id = id;
    request->sent_ms = now_ms();
    requests_.push_back(request);
    auto bytes =
        fmt::format("{} {} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n",
                    method, path, id, deadline_ms);
    if (method != "GET") {
        bytes += fmt::format("Content-Length: {}\r\n", body.size());
    }
    bytes += "\r\n" + body;
    record(fmt::format("sent {} {} {}", id, method, path), request->sent_ms);
    auto connection = std::make_shared<http_connection>(network_, parse_endpoint(address).value());
    connection->exchange(bytes, false, MAX_BODY, [this, request, connection](exchange_result result) {
        request->result = std::move(result);
        request->ended_ms = now_ms();
        request->has_ended = true;
        record(
            fmt::format("ended {} status {} {}", request->id, request->result.status, request->result.reason),
            request->ended_ms);
    });
    return request;
}

auto stage::events(const searcher_process& searcher) const -> std::vector<searcher_event> {
    std::vector<searcher_event> found;
    std::istringstream lines{test::read_text(searcher.log_path)};
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words{line};
        searcher_event event;
        if (words >> event.at_ms >> event.event >> event.request) {
            found.push_back(std::move(event));
        }
    }
    return found;
}

auto has_trouble() -> bool {
    const auto* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

auto run_case(int argc, char** argv, const std::function<int(stage&)>& body) -> int {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return COULD_NOT_RUN;
    }
    try {
        stage one{argv[1]};
        auto code = body(one);
        one.record(code == RULE_HELD ? "the rule held" : "the rule was broken");
        return code;
    } catch (const std::exception& fault) {
        std::cerr << "the case could not run: " << fault.what() << '\n';
        return COULD_NOT_RUN;
    }
}

}  // namespace eelgrassledge::review
