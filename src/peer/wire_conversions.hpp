#pragma once

#include "eelgrassledge/broker/sub_request.hpp"
#include "eelgrassledge/membership/zone_coordinator.hpp"
#include "eelgrassledge/peer/peer_network.hpp"
#include "peer.capnp.h"

namespace eelgrassledge {

// Conversions between the structs of this program and the Cap'n Proto messages of peer.capnp. Times on the
// wire are microseconds since the Unix epoch; each side converts them to and from its monotonic clock.

auto to_wire(const sub_request& from, wire::SubRequest::Builder to) -> void;
[[nodiscard]] auto from_wire(wire::SubRequest::Reader from, link_id link) -> sub_request;

auto to_wire(const broker_message& from, wire::SubAnswer::Builder to) -> void;
[[nodiscard]] auto from_wire(wire::SubAnswer::Reader from) -> broker_message;

auto to_wire(const upstream_load& from, wire::Load::Builder to) -> void;
[[nodiscard]] auto from_wire(wire::Load::Reader from) -> upstream_load;

auto to_wire(const sync_request& from, wire::SyncRequest::Builder to) -> void;
[[nodiscard]] auto from_wire(wire::SyncRequest::Reader from) -> sync_request;

auto to_wire(const sync_reply& from, wire::SyncReply::Builder to) -> void;
[[nodiscard]] auto from_wire(wire::SyncReply::Reader from) -> sync_reply;

}  // namespace eelgrassledge
