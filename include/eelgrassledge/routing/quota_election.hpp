#pragma once

#include <cstdint>
#include <optional>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"
#include "eelgrassledge/platform/store.hpp"

namespace eelgrassledge {

/// One start of an instance's process.
struct instance_start {
    instance_id id;
    /// Differs between the starts of an instance.
    std::int64_t number = 0;

    // NOLINTNEXTLINE(modernize-*)
    friend auto operator<=>(const instance_start&, const instance_start&) = default;
};

/// Parameters of a `quota_election`.
struct quota_election_setup {
    instance_start self;
    /// Time to live of the lease to which the key is attached.
    duration time_to_live{};
    /// Whether the whole system starts for the first time, so that no earlier allocator can exist.
    bool is_first_start = false;
};

/// Decides when this instance may grant quota as the one allocator of its zone. The allocator owns a key in
/// the store that is attached to the lease of its registration, so that at most one instance owns it.
///
/// Load: instances that are killed, suspended, restarted or cut off, and a store that is unavailable or loses
/// its latest writes, while teams send more than their quota. At no time may two instances grant.
///
/// Authority ends before the lease can end, by a clock that counts suspended time. A new owner waits for one
/// time to live, from when the key was listed as missing, unless it knows that the previous one can no longer
/// grant.
///
/// Not synchronized. Constant time.
class quota_election {
  public:
    explicit quota_election(quota_election_setup setup) : setup_(std::move(setup)) {}

    /// Write of the key that the owner of this object must perform.
    struct write_order {
        lease_id lease;
        /// Revision that the key must have; zero if it must not exist.
        mod_revision expected;
    };

    /// The registration's lease was granted or renewed by a call that began at `asked`.
    auto lease_renewed(lease_id lease, time_point asked) -> void;
    auto lease_lost() -> void;

    /// The store holds the key with this owner.
    auto key_seen(const instance_start& owner, mod_revision modified, time_point now) -> void;
    /// The key was removed, which the store does when the owner's lease has ended.
    auto key_removed(time_point now) -> void;
    /// The first listing of the store is complete.
    auto listed(time_point now) -> void;
    /// The store lost its latest writes, leases included. An owner that may grant keeps its authority until
    /// the end that the lost lease gave it, and gets it again when it owns the key before; any other owner
    /// waits for longer than that.
    auto store_restored(time_point now) -> void;

    /// The write to perform now, if any. `rank` is this instance's place among the candidates, from zero;
    /// later candidates wait longer. At most one write is pending until `written` is called.
    auto next_write(std::size_t rank, time_point now) -> std::optional<write_order>;
    /// The pending write ended. Only a write that is known to have succeeded makes this instance the owner;
    /// if the outcome is not known, the key is written again on condition of the revision that is seen.
    auto written(bool succeeded, time_point now) -> void;

    /// This instance stops and grants nothing from now on.
    auto stop() -> void { stopped_ = true; }

    /// Whether this instance may grant now.
    [[nodiscard]] auto may_grant(time_point now) const -> bool;
    /// When it became the owner; changes with each new ownership.
    [[nodiscard]] auto granting_since() const -> time_point { return grants_from_; }

  private:
    auto become_owner(time_point now) -> void;

    quota_election_setup setup_;
    std::optional<lease_id> lease_;
    /// Lease of the latest write. A key that is attached to an earlier lease may vanish at any time.
    std::optional<lease_id> written_with_;
    time_point confirmed_until_{};
    /// Owner and revision of the key, if it exists.
    std::optional<instance_start> owner_;
    mod_revision revision_;
    /// When the key was first known to be missing.
    time_point missing_since_{};
    bool is_listed_ = false;
    /// When the previous owner can no longer grant; nothing while that is not known.
    std::optional<time_point> predecessor_ends_;
    bool write_pending_ = false;
    bool owns_ = false;
    bool stopped_ = false;
    time_point grants_from_{};
    /// Authority kept from before the store lost its latest writes ends here.
    time_point kept_until_{};
    /// Until then the store's loss of writes may have hidden an owner.
    time_point uncertain_until_{};
};

}  // namespace eelgrassledge
