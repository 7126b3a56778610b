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
#include "eelgrassledge/routing/team.hpp"

namespace eelgrassledge {

/// Version of the operators' configuration. A process never switches to a lower version than its current one.
using config_version = strong_type<struct config_version_tag, std::uint64_t>;

/// How many times one attempt of a caller may be executed.
enum class repeat_policy : std::uint8_t {
    idempotent,    ///< Any number of times.
    at_most_once,  ///< Once; an unknown outcome ends the attempt.
};

/// One part of a weighted split.
struct weighted_service {
    service_id service;
    double weight = 1;
};

/// Gather: fan-out of a route over shards, whose parts are merged into one answer. Each shard is a service
/// with replicas.
struct gather_rule {
    std::vector<service_id> shards;
    std::size_t top_records = 0;
    /// Share of the shards that a successful answer must contain.
    double min_shard_ratio = 1;

    /// Fewest parts that a successful answer must contain, at least one.
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
    /// Most upstreams of one shard to which one attempt of a caller may be sent.
    std::uint32_t max_attempts = 1;
    /// Priority of its queries; zero is the most urgent.
    std::uint32_t rank = 0;
    /// Services over which requests are split by weight; empty for a route with `gather`.
    std::vector<weighted_service> targets;
    std::optional<gather_rule> gather;
    /// Whether its requests need no key.
    bool is_public = false;
};

/// Properties of a service that the operators configure.
struct service_rule {
    service_id name;
    std::string health_path = "/health";
    /// Connections that each upstream accepts from all instances together.
    std::uint32_t max_connections = 0;
    /// Requests per second that a cold upstream can run; zero when no limit is declared.
    double warm_up_rate = 0;
};

/// Limits on the size of a caller's request, and time-outs of its connection.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    duration header_timeout = milliseconds{3000};
    duration idle_timeout = milliseconds{15000};
};

/// Content of one version of the configuration; not changed once built.
struct route_table_content {
    config_version version;
    std::vector<route> routes;
    std::vector<service_rule> services;
    /// Empty optional when callers need no keys.
    std::optional<std::vector<team>> teams;
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

    /// The route of a host with the longest matching path prefix; null when none matches. A port in `host`
    /// and its case are ignored. Complexity: linear in the number of slashes of the path.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const -> const route*;

    /// Whether callers need keys.
    [[nodiscard]] auto has_teams() const -> bool { return content_.teams.has_value(); }

    /// Whether any team has a quota.
    [[nodiscard]] auto has_quotas() const -> bool { return has_quotas_; }

    /// The team that a key belongs to; null when no team has it. Constant time.
    [[nodiscard]] auto team_of(const key_digest& key) const -> const team*;
    /// The team of this name; null when there is none. Constant time.
    [[nodiscard]] auto team_named(const team_id& name) const -> const team*;

    /// Urgency of a request, from zero for the least urgent requests over the same shards to one for the most
    /// urgent. Requests are ordered by the priority of the team, then by the rank of the route. Logarithmic
    /// time.
    [[nodiscard]] auto urgency(const route& r, const team* sender) const -> double;

    /// The rule of a service; null when the configuration does not name it. Constant time.
    [[nodiscard]] auto service(const service_id& name) const -> const service_rule*;

  private:
    auto index_teams() -> void;

    route_table_content content_;
    std::unordered_map<std::string, std::size_t> by_host_and_prefix_;
    std::unordered_map<service_id, std::size_t> by_service_;
    /// Uses a part of the digest, which is distributed uniformly.
    struct digest_hash {
        auto operator()(const key_digest& key) const -> std::size_t;
    };
    std::unordered_map<key_digest, std::size_t, digest_hash> by_key_;
    std::unordered_map<team_id, std::size_t> by_team_;
    /// Priorities of the teams, ascending, each once; never empty.
    std::vector<std::uint32_t> team_priorities_;
    bool has_quotas_ = false;
    /// Ranks of the routes over a set of shards, ascending, each once; keyed by the first shard of the set.
    std::unordered_map<service_id, std::vector<std::uint32_t>> ranks_;
};

using shared_route_table = std::shared_ptr<const route_table>;

}  // namespace eelgrassledge
