#pragma once

#include <cstdint>
#include <string>

#include "eelgrassledge/core/strong_type.hpp"

namespace eelgrassledge {

/// Name of an upstream (one search server), unique in the configuration document.
using upstream_id = strong_type<struct upstream_id_tag, std::string>;

/// Name of an instance that runs a daemon.
using instance_id = strong_type<struct instance_id_tag, std::string>;

/// Name of an availability zone.
using zone_id = strong_type<struct zone_id_tag, std::string>;

/// Name of a service: one searchable index, split into shards.
using service_id = strong_type<struct service_id_tag, std::string>;

/// Name of a caller, looked up by the key that is sent with a request.
using caller_id = strong_type<struct caller_id_tag, std::string>;

/// Name of a team: a group of callers with common keys, priority and quota.
using team_id = strong_type<struct team_id_tag, std::string>;

/// Request id chosen by the caller and returned in every answer.
using request_id = strong_type<struct request_id_tag, std::string>;

/// Number of a query, unique within one run of an entry (the part of a daemon that takes callers' queries).
using query_id = strong_type<struct query_id_tag, std::uint64_t>;

/// Number of a sub-request, unique within one run of an entry and returned in its answer.
using sub_request_id = strong_type<struct sub_request_id_tag, std::uint64_t>;

/// Position of a shard in the shard map of one snapshot, from zero.
using shard_index = strong_type<struct shard_index_tag, std::uint32_t>;

/// Version of an index. Higher numbers are newer.
using snapshot_id = strong_type<struct snapshot_id_tag, std::uint64_t>;

/// Number that an upstream generates at each start, so that a restart can be detected.
using start_id = strong_type<struct start_id_tag, std::uint64_t>;

/// Version of the assignment of upstreams to brokers (the parts of daemons that send to upstreams) in one
/// availability zone.
using epoch = strong_type<struct epoch_tag, std::uint64_t>;

/// Version of the configuration document. Never decreases.
using revision = strong_type<struct revision_tag, std::uint64_t>;

/// Hash of the content of a request, the same for every attempt of the request.
using fingerprint = strong_type<struct fingerprint_tag, std::uint64_t>;

}  // namespace eelgrassledge
