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

auto quota_election::key_seen(const instance_start& owner, mod_revision modified, time_point now) -> void {
    owner_ = owner;
    revision_ = modified;
    if (owner != setup_.self) {
        owns_ = false;
        // An earlier start of this instance has ended, since this one runs.
        predecessor_ends_ = owner.id == setup_.self.id ? std::optional{now} : std::nullopt;
    }
    // The own key alone proves nothing: the update may be old, and the key attached to a lease that has
    // ended. `next_write` replaces it.
}

auto quota_election::key_removed(time_point now) -> void {
    if (owner_) {
        if (owner_ != setup_.self) {
            predecessor_ends_ = now;
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
    if (!owner_) {
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
}

auto quota_election::next_write(std::size_t rank, time_point now) -> std::optional<write_order> {
    if (stopped_ || write_pending_ || owns_ || !is_listed_ || !lease_ || now >= confirmed_until_) {
        return std::nullopt;
    }
    if (owner_) {
        // Also replaces the own key when it is attached to an earlier lease, or when the answer to its write
        // was lost.
        if (owner_->id != setup_.self.id) {
            return std::nullopt;
        }
    } else if (now < missing_since_ + static_cast<std::int64_t>(rank) * WAIT_PER_RANK) {
        return std::nullopt;
    }
    write_pending_ = true;
    written_with_ = lease_;
    return write_order{*lease_, revision_};
}

auto quota_election::written(bool succeeded, time_point now) -> void {
    write_pending_ = false;
    if (succeeded && lease_ && lease_ == written_with_ && !owns_) {
        become_owner(now);
    } else if (!succeeded && !owner_) {
        missing_since_ = now;
    }
}

auto quota_election::become_owner(time_point now) -> void {
    owns_ = true;
    owner_ = setup_.self;
    if (now < kept_until_) {
        // Nobody else was able to grant since, so the ownership goes on.
        return;
    }
    auto earliest = std::max(now, predecessor_ends_.value_or(now + setup_.time_to_live));
    grants_from_ = std::max(earliest, uncertain_until_);
    // Only this process can follow itself from here on.
    predecessor_ends_ = earliest;
}

auto quota_election::may_grant(time_point now) const -> bool {
    auto granted_until = owns_ ? std::max(confirmed_until_, kept_until_) : kept_until_;
    return !stopped_ && now >= grants_from_ && now < granted_until;
}

}  // namespace eelgrassledge
