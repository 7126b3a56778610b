#pragma once

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "eelgrassledge/proxy/http_connection.hpp"

namespace eelgrassledge::review {

/// Exit codes of a case.
constexpr int RULE_HELD = 0;
constexpr int RULE_BROKEN = 1;
constexpr int COULD_NOT_RUN = 2;

/// A daemon of the system.
struct daemon_process {
    std::string name;
    std::string zone;
    std::string ip;
    std::string caller_address;
    std::string readiness_address;
    std::string settings_path;
    std::string log_path;
    std::unique_ptr<test::child_process> process;
};

/// A searcher and what it writes about itself into the store.
struct searcher_process {
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    int slots = 0;
    std::string log_path;
    std::int64_t born_unix_ms = 0;
    std::int64_t sequence = 0;
    std::unique_ptr<test::child_process> process;
};

/// One line that a searcher wrote.
struct searcher_event {
    double at_ms = 0;
    std::string event;
    std::string request;
};

/// A request of a client and what came of it. Times are of the monotonic clock in milliseconds.
struct sent_request {
    std::string id;
    double sent_ms = 0;
    double ended_ms = 0;
    bool has_ended = false;
    exchange_result result;
};

using shared_request = std::shared_ptr<sent_request>;

/// The processes of one case: the store, searchers, daemons and clients, on loopback addresses. The
/// destructor ends all processes. Everything runs on one event loop, which `wait` runs for a time.
class stage {
  public:
    explicit stage(const std::string& record_path);
    ~stage();
    stage(const stage&) = delete;
    auto operator=(const stage&) -> stage& = delete;

    auto start_store() -> void;
    /// Adds a daemon of the zone; `start_daemon` starts it.
    auto add_daemon(const std::string& zone) -> daemon_process&;
    /// Starts a daemon with the command of the deploy file.
    auto start_daemon(daemon_process& daemon) -> void;
    auto write_settings(const daemon_process& daemon) -> void;

    auto start_searcher(const std::string& id, const std::string& service, const std::string& zone, int slots,
                        int work_ms) -> searcher_process&;
    /// Writes the searcher's entry and returns the time at which the store has acknowledged it.
    auto beat(searcher_process& searcher, const std::string& state, int warm_up_left_ms = 0) -> double;
    auto make_leaving(const searcher_process& searcher) -> void;

    /// Writes a key as the operator and returns the time at which the store has acknowledged it.
    auto put(const std::string& key, const std::string& value) -> double;
    /// Calls `target` of the store's controls, for instance to set a fault.
    auto control_store(const std::string& target, const std::string& body = "") -> void;

    /// Sends a request of a client on a connection of its own.
    auto send(const std::string& address, const std::string& method, const std::string& path,
              const std::string& id, int deadline_ms, const std::string& body = "") -> shared_request;

    /// Runs the event loop for a time.
    auto wait(duration time) -> void;
    /// Runs the event loop until the condition holds; throws when the limit has passed.
    auto wait_until(duration limit, const std::function<bool()>& condition, const std::string& what) -> void;
    /// Waits until every daemon is ready.
    auto wait_until_ready() -> void;

    [[nodiscard]] auto events(const searcher_process& searcher) const -> std::vector<searcher_event>;
    [[nodiscard]] auto now_ms() const -> double;
    /// Writes a line with the time since the start of the case into the record and to standard output.
    auto record(const std::string& line, double at_ms = -1) -> void;
    [[nodiscard]] auto requests() const -> const std::vector<shared_request>& { return requests_; }

  private:
    /// Sends a request and runs the loop until its answer is there.
    auto call(const std::string& address, const std::string& bytes) -> exchange_result;

    network_context network_;
    std::ofstream record_;
    double started_ms_ = 0;
    std::string directory_;
    std::string subnet_;
    std::string store_address_;
    nlohmann::json bounds_;
    std::unique_ptr<test::child_process> store_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
    std::vector<std::unique_ptr<searcher_process>> searchers_;
    std::vector<shared_request> requests_;
};

/// Whether the case is to be run with its disruption: not if the environment has `TROUBLE=0`.
[[nodiscard]] auto has_trouble() -> bool;

/// Runs a case and returns its exit code; `COULD_NOT_RUN` if it throws.
auto run_case(int argc, char** argv, const std::function<int(stage&)>& body) -> int;

}  // namespace eelgrassledge::review
