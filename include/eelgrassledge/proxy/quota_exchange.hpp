#pragma once

#include <map>
#include <memory>
#include <string>

#include "eelgrassledge/output/metrics.hpp"
#include "eelgrassledge/proxy/http_server.hpp"
#include "eelgrassledge/proxy/peer_calls.hpp"
#include "eelgrassledge/proxy/watched_store.hpp"
#include "eelgrassledge/routing/quota_client.hpp"
#include "eelgrassledge/routing/quota_election.hpp"
#include "eelgrassledge/runtime/event_log.hpp"

namespace eelgrassledge {

/// Settings of a `quota_exchange`.
struct quota_settings {
    /// All zones and the slack of the operators' bound.
    quota_split split;
    /// Prefix of the store keys of the allocators; the zone follows.
    std::string key_prefix;
    quota_election_setup election;
    zone_id own_zone;
};

/// Grants of quota between instances: asks the allocators of the zones for requests that arrive here, and is
/// the allocator of its own zone when it owns the key.
class quota_exchange {
  public:
    using table_source = std::function<const shared_route_table&()>;

    /// `table` returns the configuration in force. Allocators that do not answer are recorded in `instances`.
    quota_exchange(network_context& network, const watched_store& store, quota_settings settings,
                   instance_directory& instances, table_source table, event_log log, metrics& counters);

    /// Decides about one request of a team with a quota; see `quota_gate`.
    auto ask(const team& owner, std::function<void(quota_decision)> on_decision) -> void;
    /// Takes back the grant of a request that did not run; `granted` is from the decision.
    auto returned(const team& owner, time_point granted) -> void;

    [[nodiscard]] static auto is_quota_request(const inbound_request& request) -> bool;
    /// Answers another instance that asks for a grant.
    auto handle(const shared_session& session, const inbound_request& request) -> void;

    /// The store holds the key of a zone's allocator. `zone` is what follows the prefix of the key; `at`
    /// holds the newest era of the store and the revision of the key.
    auto key_changed(const zone_id& zone, const std::string& value, store_position at) -> void;
    auto key_removed(const zone_id& zone) -> void;
    auto listed() -> void;
    auto store_restored() -> void;
    auto lease_renewed(lease_id lease, time_point asked) -> void;
    auto lease_lost() -> void;
    auto stop() -> void;

    /// Periodic work; to be called about twice a second, with the newest era of the store.
    auto tick(store_era era, time_point now) -> void;

  private:
    /// A request that is being decided about.
    struct open_inquiry {
        /// Without keys, which may be many.
        team owner;
        quota_client::inquiry progress;
        std::function<void(quota_decision)> on_decision;
    };
    using shared_inquiry = std::shared_ptr<open_inquiry>;

    /// Asks the next zone, or concludes when there is none.
    auto advance(const shared_inquiry& inquiry) -> void;
    auto ask_peer(const shared_inquiry& inquiry, const zone_id& zone, const instance_record& allocator)
        -> void;
    auto take_answer(const shared_inquiry& inquiry, const zone_id& zone, const quota_decision& decision)
        -> void;
    /// The grant of this instance as allocator of its zone.
    auto grant_here(const team& owner, time_point now) -> quota_decision;
    auto write_key(const quota_election::write_order& order) -> void;
    /// This instance's place among the candidates of its zone.
    [[nodiscard]] auto rank(time_point now) const -> std::size_t;
    auto log_changes(time_point now) -> void;

    const watched_store& store_;
    quota_settings settings_;
    instance_directory& instances_;
    table_source table_;
    event_log log_;
    metrics& counters_;
    peer_calls peers_;
    quota_election election_;
    quota_allocator allocator_;
    quota_client client_;
    /// Owners of the keys, by zone.
    std::map<zone_id, instance_start> owners_;
    /// Owners whose keys a restored store has lost. They may go on granting, so they are asked until this
    /// time or until the key names another owner.
    std::map<zone_id, time_point> lapsing_owners_;
    /// End of the time in which a key may be missing because the store was restored.
    time_point keys_uncertain_until_{};
    /// Since when `allocator_` grants; starts anew with each ownership.
    time_point granting_since_{};
    bool was_granting_ = false;
    std::uint64_t next_call_ = 1;
};

}  // namespace eelgrassledge
