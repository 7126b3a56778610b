#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "eelgrassledge/config/ini_reader.hpp"
#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Whether a zone or an instance accepts requests (`in`) or is taken out of service (`out`).
enum class placement : std::uint8_t { in, out };

/// Class of a request. Requests in the priority lane run before ordinary ones.
enum class lane : std::uint8_t { ordinary, priority };

/// Trade-off of a request between response time and coverage. `time` accepts an answer without some shards,
/// `coverage` has a longer default deadline and allows more attempts per shard.
enum class preference : std::uint8_t { time, coverage };

/// A caller that may send requests.
struct caller_spec {
    caller_id name;
    std::string key_sha256;  ///< SHA-256 of the caller's key, in lower-case hexadecimal digits.
    lane highest_lane = lane::ordinary;
    std::uint32_t priority_rate_per_s = 5;  ///< Requests above this rate run in the ordinary lane.
};

/// An operator that may change the document.
struct operator_spec {
    std::string name;
    std::string token_sha256;  ///< SHA-256 of the administration token, in lower-case hexadecimal digits.
};

/// Limits and options of one service. Rates are requests per second at one upstream.
struct service_spec {
    service_id name;
    std::uint32_t slots = 2;  ///< Requests that run at one upstream at the same time.
    std::uint32_t connections = 25;
    duration deadline = milliseconds{150};       ///< Default with `preference::time`.
    duration max_deadline = milliseconds{5000};  ///< Longest permitted; default with `preference::coverage`.
    preference prefer = preference::time;
    std::uint32_t hedge_percent = 5;   ///< Budget for hedges (duplicate attempts) and retries.
    std::uint32_t priority_slots = 1;  ///< Of `slots`, those reserved for the priority lane.
    double cold_rate_per_s = 20;       ///< At the start of an upstream's warm-up.
    double warm_rate_per_s = 200;      ///< At the end of an upstream's warm-up.
    std::uint32_t queue_limit = 200;
    /// Whether one shard (the canary) runs a request ahead of the others, to detect requests that crash
    /// upstreams.
    bool canary = true;
    std::uint32_t warm_up_requests = 200;  ///< Requests after which an upstream counts as warm.
};

/// An upstream: the service and the zone that it belongs to, and its address as `IP:PORT`.
struct upstream_spec {
    upstream_id name;
    service_id service;
    zone_id zone;
    std::string address;
};

/// The operators' configuration document, parsed and checked.
struct document {
    std::map<zone_id, placement> zones;
    std::map<instance_id, placement> instances;
    std::vector<caller_spec> callers;
    std::vector<operator_spec> operators;
    std::map<service_id, service_spec> services;
    std::map<upstream_id, upstream_spec> upstreams;

    /// Whether a zone accepts requests. False for zones that are not in the document.
    [[nodiscard]] auto zone_is_in(const zone_id& zone) const -> bool;

    /// Whether an instance accepts requests. True for instances that are not in the document.
    [[nodiscard]] auto instance_is_in(const instance_id& instance) const -> bool;
};

/// A document with its revision, change id and author, as stored in the platform's store.
struct document_version {
    revision number;
    std::string change_id;
    std::string author;
    std::string text;
    std::shared_ptr<const document> parsed;
};

/// Parses and checks a document. On failure returns all faults at once, each with section, key and reason.
///
/// Example: `parse_document("[zone a]\n").value().zone_is_in(zone_id{"a"})`.
[[nodiscard]] auto parse_document(std::string_view text) -> tl::expected<document, std::vector<ini_fault>>;

/// One key whose value differs between two documents. An absent key or section has an empty value.
struct document_difference {
    std::string section;
    std::string key;
    std::string before;
    std::string after;
};

/// Lists the differences between two documents by section and key.
[[nodiscard]] auto compare_documents(std::string_view before, std::string_view after)
    -> std::vector<document_difference>;

/// Formats differences as lines `[section] key: before -> after`.
[[nodiscard]] auto to_string(const std::vector<document_difference>& differences) -> std::string;

/// Returns the document text with one key of one section set and all other lines unchanged. Appends the
/// section if it is absent.
///
/// Example: `set_document_key(text, "zone sofia-1", "state", "out")`.
[[nodiscard]] auto set_document_key(std::string_view text, std::string_view section, std::string_view key,
                                    std::string_view value) -> std::string;

}  // namespace eelgrassledge
