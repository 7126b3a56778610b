#include "eelgrassledge/routing/quota_election.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Authority ends this long before the lease, for clocks that run at slightly different speeds and for a
/// grant that is on its way.
constexpr duration LEASE_MARGIN = seconds{1};

/// Wait of each further candidate before it writes the key.
constexpr duration WAIT_PER_RANK = seconds{1};

}  // namespace

auto quota_election::lease_renewed(lease_id lease, time_point asked) -> void {
    if (lease_ != lease) {
        // The key, if it exists, is attached to the earlier lease.
        owns_ = false;
    }
    lease_ = lease;
    confirmed_until_ = asked + setup_.time_to_live - LEASE_MARGIN;
}

auto quota_election::lease_lost() -> void {
    lease_.reset();
    owns_ = false;
}

auto quota_election::end_of_seen(time_point now) const -> time_point {
    return settled_in_ < era_ ? now + setup_.time_to_live : now;
}

auto quota_election::key_seen(const allocator_key& key, mod_revision modified, time_point now) -> void {
    is_unreadable_ = false;
    owner_ = key.owner;
    settled_in_ = key.settled_in;
    revision_ = modified;
    if (key.owner != setup_.self) {
        owns_ = false;
        // An earlier start of this instance has ended, since this one runs.
        predecessor_ends_ = key.owner.id == setup_.self.id ? std::optional{end_of_seen(now)} : std::nullopt;
    }
    // The own key alone proves nothing: the update may be old, and the key attached to a lease that has
    // ended. `next_write` replaces it.
}

auto quota_election::key_unreadable(mod_revision modified, time_point now) -> void {
    if (is_unreadable_ && revision_ == modified) {
        return;
    }
    is_unreadable_ = true;
    may_replace_ = true;
    owner_.reset();
    revision_ = modified;
    missing_since_ = now;
    predecessor_ends_.reset();
    owns_ = false;
}

auto quota_election::key_removed(time_point now) -> void {
    is_unreadable_ = false;
    if (owner_) {
        if (owner_ != setup_.self) {
            predecessor_ends_ = end_of_seen(now);
        }
        missing_since_ = now;
    }
    owner_.reset();
    revision_ = {};
    owns_ = false;
}

auto quota_election::listed(time_point now) -> void {
    if (is_listed_) {
        return;
    }
    is_listed_ = true;
    if (!owner_ && !is_unreadable_) {
        missing_since_ = now;
        // Its lease may have been renewed just before.
        predecessor_ends_ = setup_.is_first_start ? now : now + setup_.time_to_live;
    }
}

auto quota_election::store_restored(time_point now) -> void {
    if (may_grant(now)) {
        // Without the key the authority is one kept from an earlier loss.
        kept_until_ = owns_ ? std::max(kept_until_, confirmed_until_) : kept_until_;
    }
    uncertain_until_ = now + setup_.time_to_live;
    // The store may end the lease as it was in the copy, before the authority that the lease gave is over. A
    // key attached to it would vanish too early.
    lease_.reset();
    written_with_.reset();
}

auto quota_election::is_write_due(std::size_t rank, time_point now) const -> bool {
    if (owns_) {
        // The wait is over, so that a later start of this instance need not wait again.
        return settled_in_ < era_ && now >= grants_from_;
    }
    if (owner_) {
        // Also replaces the own key when it is attached to an earlier lease, or when the answer to its write
        // was lost.
        return owner_->id == setup_.self.id;
    }
    auto may_write = !is_unreadable_ || may_replace_;
    return may_write && now >= missing_since_ + static_cast<std::int64_t>(rank) * WAIT_PER_RANK;
}

auto quota_election::next_write(std::size_t rank, time_point now) -> std::optional<write_order> {
    if (stopped_ || write_pending_ || !is_listed_ || !lease_ || now >= confirmed_until_ ||
        !is_write_due(rank, now)) {
        return std::nullopt;
    }
    write_pending_ = true;
    may_replace_ = false;
    written_with_ = lease_;
    auto is_settled = owns_ || now < kept_until_ || std::max(predecessor_end(now), uncertain_until_) <= now;
    if (owns_) {
        settled_in_ = era_;
    }
    return write_order{*lease_, revision_, is_settled ? era_ : store_era{}};
}

auto quota_election::written(bool succeeded, time_point now) -> void {
    write_pending_ = false;
    if (succeeded && lease_ && lease_ == written_with_ && !owns_) {
        become_owner(now);
    } else if (!succeeded && !owner_) {
        missing_since_ = now;
    }
}

auto quota_election::predecessor_end(time_point now) const -> time_point {
    return std::max(now, predecessor_ends_.value_or(now + setup_.time_to_live));
}

auto quota_election::become_owner(time_point now) -> void {
    owns_ = true;
    is_unreadable_ = false;
    if (owner_ != setup_.self) {
        // The key cannot be written again before an update shows its revision and what it holds.
        settled_in_ = era_;
    }
    owner_ = setup_.self;
    if (now < kept_until_) {
        // Nobody else was able to grant since, so the ownership goes on.
        return;
    }
    auto earliest = predecessor_end(now);
    grants_from_ = std::max(earliest, uncertain_until_);
    // Only this process can follow itself from here on.
    predecessor_ends_ = earliest;
}

auto quota_election::may_grant(time_point now) const -> bool {
    auto granted_until = owns_ ? std::max(confirmed_until_, kept_until_) : kept_until_;
    return !stopped_ && now >= grants_from_ && now < granted_until;
}

}  // namespace eelgrassledge
