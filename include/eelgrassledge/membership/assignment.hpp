#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/config/document.hpp"
#include "eelgrassledge/core/ids.hpp"

namespace eelgrassledge {

/// Identity, addresses and state that a daemon reports to other daemons.
struct member_info {
    instance_id instance;
    zone_id zone;
    std::string http_address;
    std::string peer_address;
    bool broker = true;    ///< Whether upstreams may be assigned to the daemon.
    bool leaving = false;  ///< Whether the daemon is shutting down.
    revision in_force;     ///< Configuration revision that the daemon uses.

    friend auto operator==(const member_info&, const member_info&) -> bool = default;
};

/// Which member brokers each upstream of one availability zone. Stored under one key of the platform's store
/// and changed by compare-and-swap; the epoch increases by one with each change.
struct assignment {
    zone_id zone;
    epoch number;
    instance_id reporter;
    std::string change_id;  ///< Unique for each change.
    std::vector<member_info> members;
    std::map<upstream_id, instance_id> owners;
};

/// Distributes the upstreams of a zone over the members that are brokers, are not leaving and are not
/// configured as out. Returns no owners if there is no such member.
///
/// Each member receives at most the number of upstreams divided by the number of eligible members, rounded
/// up. An upstream keeps its previous owner if that member is below this limit; otherwise it goes to the
/// member with the highest rendezvous hash among those below the limit. Complexity: upstreams times members.
[[nodiscard]] auto assign_upstreams(const document& doc, const zone_id& zone,
                                    const std::vector<member_info>& members,
                                    const std::map<upstream_id, instance_id>& previous)
    -> std::map<upstream_id, instance_id>;

/// Serializes an assignment as the JSON text kept in the store.
[[nodiscard]] auto to_json(const assignment& value) -> std::string;

/// Parses an assignment; returns `nullopt` if the text is not a valid one.
[[nodiscard]] auto assignment_from_json(std::string_view text) -> std::optional<assignment>;

/// Serializes a document version as the JSON text kept in the store.
[[nodiscard]] auto to_json(const document_version& value) -> std::string;

/// Parses a document version; returns `nullopt` if the text is not a valid one or its document is invalid.
[[nodiscard]] auto document_version_from_json(std::string_view text) -> std::optional<document_version>;

/// Serializes a member as the JSON text kept under the reporter's key. Omits the revision in force.
[[nodiscard]] auto to_json(const member_info& value) -> std::string;

/// Parses a member; returns `nullopt` if the text is not a valid one.
[[nodiscard]] auto member_from_json(std::string_view text) -> std::optional<member_info>;

}  // namespace eelgrassledge
