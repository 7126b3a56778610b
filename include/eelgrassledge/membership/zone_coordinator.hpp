#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "eelgrassledge/broker/upstream_broker.hpp"
#include "eelgrassledge/core/suspicion.hpp"
#include "eelgrassledge/membership/assignment.hpp"
#include "eelgrassledge/platform/store.hpp"

namespace eelgrassledge {

/// Times of the membership protocol. Every grant expires before the reporter's lease does.
struct coordinator_times {
    duration lease_ttl = seconds{3};
    duration sync_interval = milliseconds{500};
    /// Time for which a member may send to its upstreams after each sync with the reporter.
    duration grant = milliseconds{1500};
    /// Time without a sync after which the reporter treats a member as failed.
    duration member_timeout = milliseconds{2500};
    /// Time without a reply after which a member treats the reporter as failed.
    duration reporter_timeout = milliseconds{2000};
    /// Allowance for clocks that run at different speeds.
    duration clock_margin = milliseconds{100};
    /// Time between two reads of the shared keys by the reporter, or by a follower that has no document.
    duration reread_interval = seconds{5};
};

/// Warm-up state of an upstream, transferred from its previous owner to the next one.
struct warm_up_report {
    upstream_id upstream;
    warm_up_state state;
};

/// Suspicion state of one request fingerprint as one daemon knows it, with the time since its last change.
struct suspect_report {
    fingerprint print;
    suspicion state;
    duration age{0};
};

/// Request that a member sends to its zone's reporter, or a daemon to a seed or to another zone's reporter.
struct sync_request {
    member_info from;
    revision in_force;
    std::map<zone_id, epoch> epochs;  ///< Newest assignment known to the sender, by zone.
    std::vector<suspect_report> suspects;
    std::vector<warm_up_report> warm_ups;
    std::vector<upstream_id> busy;  ///< Upstreams no longer owned that still run requests of the sender.
    bool wants_grant = false;
};

/// Reply to a `sync_request`. Holds the document and assignments only where they are newer than those of the
/// request.
struct sync_reply {
    instance_id from;
    bool is_reporter = false;
    std::string reporter_address;  ///< Peer address of the zone's reporter; empty if unknown.
    /// Time for which the member may send, counted from when it sent the request; zero grants nothing.
    duration grant{0};
    epoch zone_epoch;  ///< Epoch of the reporter's assignment at the time of the grant.
    std::optional<document_version> document;
    std::vector<assignment> assignments;
    std::vector<suspect_report> suspects;
    std::vector<warm_up_report> inherited;  ///< Warm-up states recorded by previous owners.
    std::vector<upstream_id> withheld;      ///< Assigned, but the previous owner may still send to them.
    std::vector<upstream_id> leaving_upstreams;
};

/// Reads the document and the assignments of all zones.
struct read_shared_op {};
/// Reads the key that names the zone's reporter.
struct read_reporter_op {};
struct grant_lease_op {};
/// Creates the key that names the zone's reporter, if it is absent.
struct create_reporter_op {
    lease_id lease;
    std::string value;  ///< The candidate as JSON.
};
struct keep_alive_op {
    lease_id lease;
};
struct revoke_op {
    lease_id lease;
};
/// Writes the zone's assignment, if the stored revision is the expected one.
struct write_assignment_op {
    assignment value;
    mod_revision expected;
};
using store_op = std::variant<read_shared_op, read_reporter_op, grant_lease_op, create_reporter_op,
                              keep_alive_op, revoke_op, write_assignment_op>;

/// Reply of the store to one operation; only the field that belongs to the operation is set.
struct store_reply {
    std::vector<key_value> keys;
    put_outcome put;
    lease_id lease;
    seconds time_to_live{0};
};

/// Membership decisions of one daemon: which daemon is the zone's reporter, which members are alive, which
/// member brokers each upstream, which configuration is in force, and until when this daemon may send.
///
/// The reporter of a zone is the daemon that holds the zone's lease in the platform's store. Members sync
/// with it; it alone reads and writes the store for the zone. It grants members the authority to send to
/// their upstreams for a limited time. A grant never outlives the reporter's lease, so a successor need not
/// wait for grants once that lease has expired. The class is not thread-safe.
///
/// Example:
/// `if (auto op = coordinator.next_store_op(now)) { auto sent = now; coordinator.on_store_reply(*op,
/// run(*op), sent, later); }`
class zone_coordinator {
  public:
    /// `seed_peers` are peer addresses to sync with while there is no document or the reporter has timed out.
    zone_coordinator(member_info self, coordinator_times times, std::vector<std::string> seed_peers,
                     std::uint64_t random_seed);

    /// The store operation to run now, if any. At most one runs at a time.
    [[nodiscard]] auto next_store_op(time_point now) -> std::optional<store_op>;

    /// Processes the reply to a store operation that was started at `sent`.
    auto on_store_reply(const store_op& op, const result<store_reply>& reply, time_point sent, time_point now)
        -> void;

    /// Processes shared keys returned by a watch or a read: the document and the assignments.
    auto on_shared_keys(const std::vector<key_value>& keys) -> void;

    /// Records the upstreams that the platform's instance list shows as leaving.
    auto on_instance_list(std::vector<upstream_id> leaving) -> void;

    /// Returns the peer addresses to sync with now and schedules the next sync with each of them.
    [[nodiscard]] auto due_syncs(time_point now) -> std::vector<std::string>;

    /// The request to send to any of the due peers.
    [[nodiscard]] auto make_sync_request(time_point now) const -> sync_request;

    /// Processes the reply to a sync request that was sent to `address` at `sent`.
    auto on_sync_reply(const std::string& address, const sync_reply& reply, time_point sent, time_point now)
        -> void;

    /// Processes a sync request that could not be sent or was not answered.
    auto on_sync_failed(const std::string& address, time_point now) -> void;

    /// Processes the sync request of another daemon and returns the reply.
    auto on_sync_request(const sync_request& request, time_point now) -> sync_reply;

    /// Sets the warm-up states of this daemon's upstreams, which its next sync requests include.
    auto report_warm_ups(std::vector<warm_up_report> reports) -> void;

    /// Sets the upstreams that this daemon no longer owns but that still run its requests.
    auto report_busy(std::vector<upstream_id> busy) -> void;

    /// Merges a suspicion state observed by this daemon into the known state of the fingerprint.
    auto report_suspect(fingerprint print, const suspicion& state, time_point now) -> void;

    /// Marks this daemon as leaving: it is assigned no upstreams, and releases the reporter role once
    /// its upstreams have been handed over.
    auto leave() -> void;

    /// This daemon's authority to send to an upstream at `now`.
    [[nodiscard]] auto authority(const upstream_id& upstream, time_point now) const -> send_authority;

    /// Warm-up state of an upstream as recorded by its previous owner.
    [[nodiscard]] auto inherited(const upstream_id& upstream) const -> std::optional<warm_up_state>;

    [[nodiscard]] auto current_document() const -> const std::optional<document_version>& {
        return document_;
    }
    [[nodiscard]] auto assignments() const -> const std::map<zone_id, assignment>& { return assignments_; }
    [[nodiscard]] auto leaving_upstreams() const -> const std::vector<upstream_id>& {
        return leaving_upstreams_;
    }
    [[nodiscard]] auto suspects(time_point now) const -> std::vector<suspect_report>;
    [[nodiscard]] auto is_reporter() const -> bool { return role_ == role::reporter; }
    /// The zone's members: as the reporter, those that are alive; as a follower, those of the assignment.
    [[nodiscard]] auto members(time_point now) const -> std::vector<member_info>;
    [[nodiscard]] auto self() const -> const member_info& { return self_; }
    [[nodiscard]] auto times() const -> const coordinator_times& { return times_; }
    /// Whether this daemon neither owns an upstream nor is the reporter.
    [[nodiscard]] auto handover_complete() const -> bool;
    /// Counter that increases with every change of the document, assignments, leaving upstreams, suspicion
    /// states, role or authority.
    [[nodiscard]] auto version() const -> std::uint64_t { return version_; }

  private:
    enum class role : std::uint8_t { follower, reporter };
    struct member_state {
        member_info info;
        time_point last_sync{};
        time_point granted_until{};
        std::map<zone_id, epoch> epochs;
        std::set<upstream_id> busy;
    };
    /// Reassignment of an upstream that its previous owner may still use. Ends once that owner has received
    /// the assignment and runs no more requests there, or its grant has expired.
    struct pending_release {
        instance_id previous;
        epoch reassigned_in;  ///< Epoch of the assignment that changed the owner.
    };

    auto update_document(const document_version& version) -> void;
    auto update_assignment(const assignment& value) -> void;
    auto record_releases(const assignment& before, const assignment& after) -> void;
    auto become_reporter(lease_id lease, time_point sent, time_point now) -> void;
    auto step_down(time_point now) -> void;
    auto next_reporter_op(time_point now) -> std::optional<store_op>;
    auto next_follower_op(time_point now) -> std::optional<store_op>;
    [[nodiscard]] auto may_step_down(time_point now) -> bool;
    auto required_assignment(time_point now) -> std::optional<assignment>;
    [[nodiscard]] auto live_members(time_point now) const -> std::vector<member_info>;
    /// Whether this daemon is the reporter and its lease has not expired.
    [[nodiscard]] auto lease_valid(time_point now) const -> bool;
    /// Time for which a member may be granted authority now; zero for none.
    [[nodiscard]] auto available_grant(time_point now) const -> duration;
    /// Whether every grant of a previous reporter has expired.
    [[nodiscard]] auto predecessor_grants_expired(time_point now) const -> bool;
    [[nodiscard]] auto owns_any(const instance_id& member) const -> bool;
    auto record_member(const sync_request& request, time_point now) -> void;
    /// Adds the grant, withheld and leaving upstreams and inherited warm-up states of the sender.
    auto add_member_state(const sync_request& request, sync_reply& reply, time_point now) -> void;
    [[nodiscard]] auto reporter_addresses() const -> std::vector<std::string>;
    auto on_assignment_written(const write_assignment_op& op, const result<store_reply>& reply,
                               time_point now) -> void;
    auto on_reporter_created(const create_reporter_op& op, const result<store_reply>& reply, time_point now)
        -> void;
    auto on_lease_renewed(const result<store_reply>& reply, time_point sent, time_point now) -> void;
    auto erase_completed_releases(time_point now) -> void;
    /// Upstreams assigned to a member whose previous owner may still use them.
    [[nodiscard]] auto withheld_from(const instance_id& member) const -> std::vector<upstream_id>;
    auto merge_suspects(const std::vector<suspect_report>& reports, time_point now) -> void;
    /// Whether the sender has a newer document, or a newer assignment of this zone, than this daemon.
    [[nodiscard]] auto reports_newer_state(const sync_request& request) const -> bool;
    /// Peer addresses of members that have not reported the current assignment and document.
    [[nodiscard]] auto outdated_members() const -> std::vector<std::string>;
    [[nodiscard]] auto sync_interval_to(const std::string& address) const -> duration;
    /// Adds the document and the assignments that are newer than those of the sender.
    auto add_newer_state(const sync_request& request, sync_reply& reply) const -> void;
    auto on_reporter_read(const store_reply& reply, time_point now) -> void;
    /// Returns a pseudo-random duration from zero to `limit`, both included.
    auto jitter(duration limit) -> duration;

    member_info self_;
    coordinator_times times_;
    std::vector<std::string> seed_peers_;
    std::uint64_t random_state_;

    role role_ = role::follower;
    std::optional<lease_id> lease_;
    time_point lease_until_{};
    time_point next_keep_alive_{};
    time_point reporter_since_{};
    time_point next_read_{};
    std::optional<assignment> unconfirmed_write_;
    std::optional<time_point> handed_over_since_;
    /// The zone's assignment has been read since this daemon became reporter.
    bool assignment_current_ = false;
    mod_revision assignment_modified_;
    time_point next_assignment_write_{};
    std::map<instance_id, member_state> members_;
    std::map<upstream_id, pending_release> pending_releases_;
    struct known_warm_up {
        warm_up_state state;
        instance_id reported_by;
    };
    std::map<upstream_id, known_warm_up> warm_ups_;

    std::string reporter_address_;
    time_point last_reporter_contact_{};
    time_point next_election_step_{};
    /// Doubled after each failed read of the reporter's key.
    duration election_backoff_ = milliseconds{300};
    std::optional<lease_id> candidate_lease_;
    time_point candidate_sent_{};
    bool reporter_key_absent_ = false;
    /// The reply to creating the reporter's key was lost; the key must be read to learn who holds it.
    bool check_candidate_ = false;

    std::map<std::string, time_point> next_sync_;
    std::optional<document_version> document_;
    std::map<zone_id, assignment> assignments_;
    time_point authority_until_{};
    std::set<upstream_id> withheld_;
    std::map<upstream_id, warm_up_state> inherited_;
    std::vector<upstream_id> leaving_upstreams_;
    std::vector<warm_up_report> own_warm_ups_;
    std::vector<upstream_id> own_busy_upstreams_;
    struct suspect_entry {
        suspicion state;
        time_point since{};
    };
    std::map<fingerprint, suspect_entry> suspects_;
    std::uint64_t version_ = 0;
};

}  // namespace eelgrassledge
