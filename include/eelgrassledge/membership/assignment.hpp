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

/// One daemon as other daemons know it.
struct member_info {
    instance_id instance;
    zone_id zone;
    std::string http_address;
    std::string peer_address;
    bool broker = true;
    bool leaving = false;
    revision in_force;

    friend auto operator==(const member_info&, const member_info&) -> bool = default;
};

/// Which member brokers each upstream of one availability zone. Kept under one key of the platform's
/// store and changed by compare-and-swap; the epoch rises by one with each change.
struct assignment {
    zone_id zone;
    epoch number;
    instance_id reporter;
    std::string change_id;
    std::vector<member_info> members;
    std::map<upstream_id, instance_id> owners;
};

/// Distributes the upstreams of a zone over the members that broker and are neither leaving nor out.
///
/// An upstream stays with its owner while that one holds no more than its share; others go to the member
/// that wins their rendezvous hash among those below the share. Complexity: upstreams times members.
[[nodiscard]] auto assign_upstreams(const document& doc, const zone_id& zone,
                                    const std::vector<member_info>& members,
                                    const std::map<upstream_id, instance_id>& previous)
    -> std::map<upstream_id, instance_id>;

/// Text of an assignment as kept in the store (JSON).
[[nodiscard]] auto to_json(const assignment& value) -> std::string;

/// Reads an assignment; empty when the text is not one.
[[nodiscard]] auto assignment_from_json(std::string_view text) -> std::optional<assignment>;

/// Text of a document version as kept in the store (JSON).
[[nodiscard]] auto to_json(const document_version& value) -> std::string;

/// Reads a document version; empty when the text is not one or its document has faults.
[[nodiscard]] auto document_version_from_json(std::string_view text) -> std::optional<document_version>;

/// Text of a member as kept under the reporter's key (JSON).
[[nodiscard]] auto to_json(const member_info& value) -> std::string;

/// Reads a member; empty when the text is not one.
[[nodiscard]] auto member_from_json(std::string_view text) -> std::optional<member_info>;

}  // namespace eelgrassledge
