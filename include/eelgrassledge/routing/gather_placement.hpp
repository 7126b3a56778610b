#pragma once

#include <vector>

#include "eelgrassledge/routing/instance_directory.hpp"
#include "eelgrassledge/routing/routing_state.hpp"

namespace eelgrassledge {

/// Shards of a query that another instance queries and merges.
struct shard_group {
    /// The instance that queries them.
    instance_record runner;
    /// Positions in the route's list.
    std::vector<std::size_t> shards;
};

/// Splits a gather, that is, a query over many shards whose answers are merged, by availability zone. An
/// instance of each zone queries the shards there and merges their records, so that one list is sent between
/// zones instead of many answers, and instances with more processor time do more of the work. Shards in no
/// group are queried by this instance.
///
/// Complexity: linear in the number of replicas of all shards, times the number of zones.
class gather_placement {
  public:
    explicit gather_placement(routing_state& state) : state_(state) {}

    /// Groups of shards that other instances should query; every shard is in at most one group.
    [[nodiscard]] auto plan(const gather_rule& gather, const instance_directory& instances, time_point now)
        -> std::vector<shard_group>;

  private:
    /// Zones with a replica of the shard that can take normal load.
    [[nodiscard]] auto zones_of(const service_id& shard, time_point now) const -> std::vector<zone_id>;
    /// A random candidate of the zone; nothing if the zone has none or if this instance is one of them.
    [[nodiscard]] auto choose_runner(const zone_id& zone, const instance_directory& instances, time_point now)
        -> std::optional<instance_record>;

    routing_state& state_;
};

}  // namespace eelgrassledge
