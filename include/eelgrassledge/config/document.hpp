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

/// Whether a zone or an instance takes work.
enum class placement : std::uint8_t { in, out };

/// Class of a request. Work in the priority lane goes before ordinary work.
enum class lane : std::uint8_t { ordinary, priority };

/// What an answer gives up first when not everything can be had: time or coverage.
enum class preference : std::uint8_t { time, coverage };

struct caller_spec {
    caller_id name;
    std::string key_sha256;
    lane highest_lane = lane::ordinary;
    std::uint32_t priority_rate_per_s = 5;
};

struct operator_spec {
    std::string name;
    std::string token_sha256;
};

/// Limits and choices of one service. Rates are requests per second at one upstream.
struct service_spec {
    service_id name;
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    duration deadline = milliseconds{150};
    duration max_deadline = milliseconds{5000};
    preference prefer = preference::time;
    std::uint32_t hedge_percent = 5;
    std::uint32_t priority_slots = 1;
    double cold_rate_per_s = 20;
    double warm_rate_per_s = 200;
    std::uint32_t queue_limit = 200;
    bool canary = true;
    std::uint32_t warm_up_requests = 200;
};

struct upstream_spec {
    upstream_id name;
    service_id service;
    zone_id zone;
    std::string address;
};

/// The operators' configuration document after all checks.
struct document {
    std::map<zone_id, placement> zones;
    std::map<instance_id, placement> instances;
    std::vector<caller_spec> callers;
    std::vector<operator_spec> operators;
    std::map<service_id, service_spec> services;
    std::map<upstream_id, upstream_spec> upstreams;

    /// Whether a zone takes work. Zones that the document does not name do not.
    [[nodiscard]] auto zone_is_in(const zone_id& zone) const -> bool;

    /// Whether an instance takes work. Instances that the document does not name do.
    [[nodiscard]] auto instance_is_in(const instance_id& instance) const -> bool;
};

/// A document with its place in the history of changes, as kept in the platform's store.
struct document_version {
    revision number;
    std::string change_id;
    std::string author;
    std::string text;
    std::shared_ptr<const document> parsed;
};

/// Parses and checks a document. Returns all faults at once, each with section, key and reason.
///
/// Example: `parse_document("[zone a]\n").value().zone_is_in(zone_id{"a"})`.
[[nodiscard]] auto parse_document(std::string_view text) -> tl::expected<document, std::vector<ini_fault>>;

/// One key that two documents hold differently. An absent key or section has an empty value.
struct document_difference {
    std::string section;
    std::string key;
    std::string before;
    std::string after;
};

/// Lists what changes from one document to another, section by section and key by key.
[[nodiscard]] auto compare_documents(std::string_view before, std::string_view after)
    -> std::vector<document_difference>;

/// Joins differences into lines `[section] key: before -> after`.
[[nodiscard]] auto to_string(const std::vector<document_difference>& differences) -> std::string;

/// Returns the document text with one key of one section set, all other lines kept as they are. The
/// section is appended when it is absent.
///
/// Example: `set_document_key(text, "zone sofia-1", "state", "out")`.
[[nodiscard]] auto set_document_key(std::string_view text, std::string_view section, std::string_view key,
                                    std::string_view value) -> std::string;

}  // namespace eelgrassledge
