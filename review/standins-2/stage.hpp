#pragma once

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "eelgrassledge/proxy/http_connection.hpp"

namespace eelgrassledge::review {

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
[[nodiscard]] auto has_trouble() -> bool;

/// Exit codes of a case.
inline constexpr int RULE_HELD = 0;
inline constexpr int RULE_BROKEN = 1;
inline constexpr int CANNOT_RUN = 2;

/// A stand-in searcher process.
struct searcher_process {
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    std::string log_path;
    std::unique_ptr<test::child_process> process;
};

/// A process of the system under test.
struct daemon_process {
    std::string name;
    std::string ip;
    std::string front;
    std::string ready;
    std::string settings_path;
    std::string log_path;
    std::unique_ptr<test::child_process> process;
};

/// A route of the configuration that forwards to one service.
struct plain_route {
    std::string path_prefix;
    std::string type;
    std::string service;
};

/// Number of clients that send at the same time.
inline constexpr int CLIENTS = 16;

/// Calls `operation` with the numbers from 0 to `count` - 1, from `CLIENTS` threads.
auto run_by_clients(int count, const std::function<void(int)>& operation) -> void;

/// A small deployment on loopback addresses: the stand-in of the store, searchers, and daemons that are
/// started as the deploy file says. All processes end with this object.
class stage {
  public:
    /// `arguments` are those of the case: the command of the deploy file, the folder of the stand-ins, and
    /// the path of the record.
    explicit stage(const std::vector<std::string>& arguments);
    ~stage();
    stage(const stage&) = delete;
    auto operator=(const stage&) -> stage& = delete;

    /// Starts a searcher with a fault in a share of its answers, and writes its entry.
    auto add_searcher(const std::string& id, const std::string& service, const std::string& zone,
                      const std::string& fault, double share) -> void;
    auto configure(const std::vector<plain_route>& routes) -> void;
    /// Starts a daemon in each of the zones.
    auto start_daemons(const std::vector<std::string>& zones) -> void;
    /// Whether all daemons are ready within ten seconds.
    [[nodiscard]] auto wait_until_ready() -> bool;

    /// Sends a request to a daemon on a new connection, records it and its answer, and returns the answer.
    /// May be called from several threads.
    auto send(const daemon_process& to, const std::string& method, const std::string& path,
              const std::string& id, int deadline_ms, const std::string& body) -> exchange_result;

    /// Adds a line to the record. May be called from several threads.
    auto record(const std::string& line) -> void;
    /// Copies the searchers' logs to the record, and returns how often each request ran.
    auto collect_runs() -> std::map<std::string, int>;

    std::vector<searcher_process> searchers;
    std::vector<daemon_process> daemons;

  private:
    auto put(const std::string& key, const std::string& value) -> bool;

    std::string daemon_command_;
    std::string standins_;
    std::mutex record_lock_;
    std::ofstream record_;
    std::string directory_;
    std::string store_address_;
    std::unique_ptr<test::child_process> store_;
    time_point started_;
};

}  // namespace eelgrassledge::review
