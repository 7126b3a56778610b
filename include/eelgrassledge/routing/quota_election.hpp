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

/// Contents of the store key that names a zone's allocator.
struct allocator_key {
    instance_start owner;
    /// Era of the store in which no instance but `owner` could grant when the key was written. Zero if that
    /// is not known: `owner` waits for an earlier allocator.
    store_era settled_in{};
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
/// grant. It does not know that if the previous key was settled in an older era of the store: the copy that
/// the store was restored from may have lost the key of another allocator.
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
        /// Value of `allocator_key::settled_in` to write.
        store_era settled_in;
    };

    /// The registration's lease was granted or renewed by a call that began at `asked`.
    auto lease_renewed(lease_id lease, time_point asked) -> void;
    auto lease_lost() -> void;

    /// Sets the newest era of the store; to be called before the calls that use what the store holds in it.
    auto set_era(store_era era) -> void { era_ = era; }

    /// The store holds this key.
    auto key_seen(const allocator_key& key, mod_revision modified, time_point now) -> void;
    /// The store holds the key with a value that names no owner. It is replaced at most once for each
    /// revision; its owner, if there is one, has until then and one time to live longer to notice.
    auto key_unreadable(mod_revision modified, time_point now) -> void;
    /// The key was removed, which the store does when the owner's lease has ended.
    auto key_removed(time_point now) -> void;
    /// The first listing of the store is complete.
    auto listed(time_point now) -> void;
    /// The store lost its latest writes, leases included. An owner that may grant keeps its authority until
    /// the end that the lost lease gave it, and gets it again when it owns the key before; any other owner
    /// waits for longer than that. No key is written until a lease is granted in the new era.
    auto store_restored(time_point now) -> void;

    /// The write to perform now, if any. `rank` is this instance's place among the candidates, from zero;
    /// later candidates wait longer. At most one write is pending until `written` is called. An owner whose
    /// wait is over writes its key once more, as settled.
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
    /// When the previous owner can no longer grant, at the earliest `now`.
    [[nodiscard]] auto predecessor_end(time_point now) const -> time_point;
    /// When the owner of the seen key, which has ended by `now`, and every instance that the key may have
    /// replaced can no longer grant.
    [[nodiscard]] auto end_of_seen(time_point now) const -> time_point;
    /// Whether the key is to be written now if this instance can write.
    [[nodiscard]] auto is_write_due(std::size_t rank, time_point now) const -> bool;

    quota_election_setup setup_;
    std::optional<lease_id> lease_;
    /// Lease of the latest write. A key that is attached to an earlier lease may vanish at any time.
    std::optional<lease_id> written_with_;
    time_point confirmed_until_{};
    /// Owner and revision of the key, if it exists.
    std::optional<instance_start> owner_;
    store_era settled_in_;
    mod_revision revision_;
    store_era era_;
    /// Whether the key exists with a value that names no owner, and whether it was not yet written since.
    bool is_unreadable_ = false;
    bool may_replace_ = false;
    /// When the key was first known to be missing or unreadable.
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
