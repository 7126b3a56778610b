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

/// Times of the membership protocol. Every grant ends before the reporter's lease does.
struct coordinator_times {
    duration lease_ttl = seconds{3};
    duration sync_interval = milliseconds{500};
    duration grant = milliseconds{1500};           ///< Authority given to a member with each sync.
    duration member_timeout = milliseconds{2500};  ///< Silence after which a member is taken for dead.
    duration reporter_timeout = milliseconds{2000};
    duration clock_margin = milliseconds{100};  ///< Allowance for clocks that run at different speeds.
    duration reread_interval = seconds{5};
};

/// Warm-up state of an upstream on its way from one owner to the next.
struct warm_up_report {
    upstream_id upstream;
    warm_up_state state;
};

struct suspect_report {
    fingerprint print;
    suspicion state;
    duration age{0};
};

/// What a member tells a reporter, or one reporter another.
struct sync_request {
    member_info from;
    revision in_force;
    std::map<zone_id, epoch> epochs;
    std::vector<suspect_report> suspects;
    std::vector<warm_up_report> warm_ups;
    std::vector<upstream_id> busy;  ///< Upstreams no longer owned on which work still runs.
    bool wants_grant = false;
};

struct sync_reply {
    instance_id from;
    bool is_reporter = false;
    std::string reporter_address;  ///< Peer address of the zone's reporter, when known.
    duration grant{0};             ///< Authority, counted from when the request was sent; zero for none.
    epoch zone_epoch;              ///< The reporter's assignment when it gave the grant.
    std::optional<document_version> document;
    std::vector<assignment> assignments;
    std::vector<suspect_report> suspects;
    std::vector<warm_up_report> inherited;
    std::vector<upstream_id> withheld;  ///< Assigned, but the previous owner may still send to them.
    std::vector<upstream_id> leaving_upstreams;
};

struct read_shared_op {};
struct read_reporter_op {};
struct grant_lease_op {};
struct create_reporter_op {
    lease_id lease;
    std::string value;
};
struct keep_alive_op {
    lease_id lease;
};
struct revoke_op {
    lease_id lease;
};
struct write_assignment_op {
    assignment value;
    mod_revision expected;
};
using store_op = std::variant<read_shared_op, read_reporter_op, grant_lease_op, create_reporter_op,
                              keep_alive_op, revoke_op, write_assignment_op>;

/// Answer of the store to one operation; only the part that belongs to the operation is set.
struct store_reply {
    std::vector<key_value> keys;
    put_outcome put;
    lease_id lease;
    seconds time_to_live{0};
};

/// Decisions about membership of one daemon: which daemon reports for the zone, which members are alive,
/// who brokers which upstream, which configuration is in force, and until when this daemon may send.
///
/// One daemon of each zone, the holder of a lease in the platform's store, is the reporter. Members sync
/// with it; it alone reads and writes the store for the zone. Its grants of authority never outlive its
/// lease, so a successor that holds the lease need not wait for them. The class is not synchronized.
///
/// Example:
/// `if (auto op = coordinator.next_store_op(now)) { auto sent = now; coordinator.on_store_reply(*op,
/// run(*op), sent, later); }`
class zone_coordinator {
  public:
    zone_coordinator(member_info self, coordinator_times times, std::vector<std::string> seed_peers,
                     std::uint64_t random_seed);

    /// The store operation to run now, if any. At most one runs at a time.
    [[nodiscard]] auto next_store_op(time_point now) -> std::optional<store_op>;

    /// Records the result of a store operation and the time at which it was begun.
    auto on_store_reply(const store_op& op, const result<store_reply>& reply, time_point sent, time_point now)
        -> void;

    /// Records keys seen by a watch or a read.
    auto on_shared_keys(const std::vector<key_value>& keys) -> void;

    /// Records the platform's instance list: upstreams shown as leaving.
    auto on_instance_list(std::vector<upstream_id> leaving) -> void;

    /// Peer addresses to sync with now.
    [[nodiscard]] auto due_syncs(time_point now) -> std::vector<std::string>;
    [[nodiscard]] auto make_sync_request(time_point now) const -> sync_request;
    auto on_sync_reply(const std::string& address, const sync_reply& reply, time_point sent, time_point now)
        -> void;
    auto on_sync_failed(const std::string& address, time_point now) -> void;

    /// Answers the sync of another daemon.
    auto on_sync_request(const sync_request& request, time_point now) -> sync_reply;

    /// Warm-up states of this daemon's upstreams, passed on with the next syncs.
    auto report_warm_ups(std::vector<warm_up_report> reports) -> void;

    /// Upstreams no longer owned on which this daemon still runs work.
    auto report_busy(std::vector<upstream_id> busy) -> void;

    /// Merges what this daemon found out about a fingerprint into what is known of it.
    auto report_suspect(fingerprint print, const suspicion& state, time_point now) -> void;

    /// Marks this daemon as leaving: it takes no upstreams and passes the reporter's role on.
    auto leave() -> void;

    /// This daemon's right to send to an upstream, as of now.
    [[nodiscard]] auto authority(const upstream_id& upstream, time_point now) const -> send_authority;

    /// Warm-up state that a previous owner left for an upstream.
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
    [[nodiscard]] auto members(time_point now) const -> std::vector<member_info>;
    [[nodiscard]] auto self() const -> const member_info& { return self_; }
    [[nodiscard]] auto times() const -> const coordinator_times& { return times_; }
    /// Whether this daemon owns nothing any more and no successor waits for it.
    [[nodiscard]] auto handover_complete() const -> bool;
    /// Changes with every change of document, assignments, leaving upstreams or grants' owners.
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
    struct pending_release {
        instance_id previous;
        epoch since;
    };

    auto offer_document(const document_version& version) -> void;
    auto offer_assignment(const assignment& value) -> void;
    auto note_releases(const assignment& before, const assignment& after) -> void;
    auto become_reporter(lease_id lease, time_point sent, time_point now) -> void;
    auto step_down(time_point now) -> void;
    auto next_reporter_op(time_point now) -> std::optional<store_op>;
    auto next_follower_op(time_point now) -> std::optional<store_op>;
    [[nodiscard]] auto may_step_down(time_point now) -> bool;
    auto wanted_assignment(time_point now) -> std::optional<assignment>;
    [[nodiscard]] auto live_members(time_point now) const -> std::vector<member_info>;
    [[nodiscard]] auto lease_valid(time_point now) const -> bool;
    [[nodiscard]] auto grant_for(time_point now) const -> duration;
    [[nodiscard]] auto settled(time_point now) const -> bool;
    [[nodiscard]] auto owns_any(const instance_id& member) const -> bool;
    auto note_member(const sync_request& request, time_point now) -> void;
    auto fill_for_member(const sync_request& request, sync_reply& reply, time_point now) -> void;
    [[nodiscard]] auto reporter_addresses() const -> std::vector<std::string>;
    auto on_put_assignment(const write_assignment_op& op, const result<store_reply>& reply, time_point now)
        -> void;
    auto on_created_reporter(const create_reporter_op& op, const result<store_reply>& reply, time_point now)
        -> void;
    auto on_kept_alive(const result<store_reply>& reply, time_point sent, time_point now) -> void;
    auto settle_releases(time_point now) -> void;
    [[nodiscard]] auto withheld_from(const instance_id& member) const -> std::vector<upstream_id>;
    auto merge_suspects(const std::vector<suspect_report>& reports, time_point now) -> void;
    [[nodiscard]] auto has_news(const sync_request& request) const -> bool;
    [[nodiscard]] auto uninformed_members() const -> std::vector<std::string>;
    [[nodiscard]] auto sync_interval_to(const std::string& address) const -> duration;
    auto fill_news(const sync_request& request, sync_reply& reply) const -> void;
    auto on_read_reporter(const store_reply& reply, time_point now) -> void;
    auto jitter(duration upto) -> duration;

    member_info self_;
    coordinator_times times_;
    std::vector<std::string> seed_peers_;
    std::uint64_t random_state_;

    role role_ = role::follower;
    std::optional<lease_id> lease_;
    time_point lease_until_{};
    time_point next_keep_alive_{};
    time_point became_reporter_{};
    time_point next_read_{};
    std::optional<assignment> unclear_write_;
    std::optional<time_point> handed_over_since_;
    bool assignment_current_ = false;  ///< The zone's assignment was read since this daemon became reporter.
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
    time_point reporter_heard_{};
    time_point next_election_step_{};
    duration election_pause_ = milliseconds{300};  ///< Doubles while the store does not answer.
    std::optional<lease_id> candidate_lease_;
    time_point candidate_sent_{};
    bool reporter_key_absent_ = false;
    bool check_candidate_ = false;

    std::map<std::string, time_point> sync_due_;
    std::optional<document_version> document_;
    std::map<zone_id, assignment> assignments_;
    time_point granted_until_{};
    std::set<upstream_id> withheld_;
    std::map<upstream_id, warm_up_state> inherited_;
    std::vector<upstream_id> leaving_upstreams_;
    std::vector<warm_up_report> own_warm_ups_;
    std::vector<upstream_id> own_busy_;
    struct suspect_entry {
        suspicion state;
        time_point since{};
    };
    std::map<fingerprint, suspect_entry> suspects_;
    std::uint64_t version_ = 0;
};

}  // namespace eelgrassledge
