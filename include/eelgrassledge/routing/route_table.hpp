#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Version of the operators' configuration. A process never goes back to a lower one.
using config_version = strong_type<struct config_version_tag, std::uint64_t>;

/// How often one attempt of a caller may run.
enum class repeat_policy : std::uint8_t {
    idempotent,    ///< Any number of times.
    at_most_once,  ///< Once; an unclear outcome ends the attempt.
};

/// One part of a weighted split.
struct weighted_service {
    service_id service;
    double weight = 1;
};

/// Fan-out of a route over shards, each of them a service with replicas.
struct gather_rule {
    std::vector<service_id> shards;
    std::size_t top_records = 0;
    /// Share of the shards that a successful answer must contain.
    double min_shard_ratio = 1;

    /// Fewest parts of a successful answer, at least one.
    [[nodiscard]] auto required_parts() const -> std::size_t;
};

/// One route of the configuration.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    repeat_policy repeat = repeat_policy::at_most_once;
    duration timeout{};
    duration latency_objective{};
    /// Most upstreams of one shard that may run one attempt of a caller.
    std::uint32_t max_attempts = 1;
    /// Zero is the most urgent.
    std::uint32_t rank = 0;
    /// Services that share the requests by weight; empty for a route that gathers.
    std::vector<weighted_service> targets;
    std::optional<gather_rule> gather;
};

/// Properties of a service that the operators configure.
struct service_rule {
    service_id name;
    std::string health_path = "/health";
    /// Connections that each upstream accepts from all instances together.
    std::uint32_t max_connections = 0;
    /// Requests a second that a cold upstream bears; zero when no bound is declared.
    double warm_up_rate = 0;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    duration header_timeout = milliseconds{3000};
    duration idle_timeout = milliseconds{15000};
};

/// Content of one version of the configuration, immutable once built.
struct route_table_content {
    config_version version;
    std::vector<route> routes;
    std::vector<service_rule> services;
    caller_limits limits;
};

/// Index over one version of the configuration.
///
/// Example: `const auto* found = table.find("desk.example", "/labels/7");`
class route_table {
  public:
    explicit route_table(route_table_content content);

    [[nodiscard]] auto version() const -> config_version { return content_.version; }
    [[nodiscard]] auto limits() const -> const caller_limits& { return content_.limits; }
    [[nodiscard]] auto routes() const -> const std::vector<route>& { return content_.routes; }

    /// The route of a host with the longest prefix that begins the path; null when there is none. A port in
    /// `host` is ignored and its case folded. Complexity: linear in the number of slashes of the path.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const -> const route*;

    /// Whether another route over the same shards is less urgent. Constant time.
    [[nodiscard]] auto is_urgent(const route& r) const -> bool;

    /// The rule of a service; null when the configuration does not name it. Constant time.
    [[nodiscard]] auto service(const service_id& name) const -> const service_rule*;

  private:
    route_table_content content_;
    std::unordered_map<std::string, std::size_t> by_host_and_prefix_;
    std::unordered_map<service_id, std::size_t> by_service_;
    /// Rank of the least urgent route over a set of shards, by the first of them.
    std::unordered_map<service_id, std::uint32_t> least_urgent_;
};

using shared_route_table = std::shared_ptr<const route_table>;

}  // namespace eelgrassledge
