// Requests that may crash the upstreams that run them. A request with strikes or not yet known to be harmless
// first runs as a canary, a single sub-request on one upstream; a request with too many strikes is refused.

#include <algorithm>
#include <boost/container_hash/hash.hpp>

#include "eelgrassledge/entry/entry_service.hpp"
#include "entry_limits.hpp"

namespace eelgrassledge {

namespace {

/// Largest number of fingerprints remembered as harmless.
constexpr std::size_t CLEARED_CAPACITY = 20'000;

}  // namespace

auto entry_service::needs_canary(const query& q) const -> bool {
    return spec_.canary && (q.request.strikes > 0 || !cleared_.contains(q.request.print));
}

auto entry_service::choose_canary(const query& q, time_point now) const -> std::optional<shard_index> {
    auto count = static_cast<std::uint32_t>(q.shards.size());
    auto first = static_cast<std::uint32_t>(q.request.print.value() % count);
    for (std::uint32_t i = 0; i < count; ++i) {
        auto shard = shard_index{(first + i) % count};
        if (!canary_replicas(q, shard, now).empty()) {
            return shard;
        }
    }
    return std::nullopt;
}

auto entry_service::canary_replicas(const query& q, shard_index shard, time_point now) const
    -> std::vector<upstream_id> {
    auto candidates = view_.replicas(q.snapshot.snapshot, shard, q.request.priority, now);
    auto rank = [&](const upstream_id& candidate) {
        std::size_t seed = q.request.print.value();
        boost::hash_combine(seed, candidate.value());
        return std::pair{view_.broker_is_avoided(candidate, now), seed};
    };
    std::ranges::sort(candidates, {}, rank);
    const auto& tried = q.shards[shard.value()].tried;
    std::erase_if(candidates,
                  [&](const auto& candidate) { return std::ranges::find(tried, candidate) != tried.end(); });
    return candidates;
}

auto entry_service::remember_cleared(fingerprint print) -> void {
    if (!cleared_.insert(print).second) {
        return;
    }
    cleared_order_.push_back(print);
    if (cleared_order_.size() > CLEARED_CAPACITY) {
        cleared_.erase(cleared_order_.front());
        cleared_order_.pop_front();
    }
}

auto entry_service::merge_suspicion(fingerprint print, const suspicion& state) -> void {
    auto& known = suspects_[print];
    known = merged(known, state);
    if (known.strikes == 0) {
        suspects_.erase(print);
        return;
    }
    if (cleared_.erase(print) > 0) {
        std::erase(cleared_order_, print);
    }
}

auto entry_service::handle_strikes(query& q, shard_index shard, const sub_answer& answer, time_point now,
                                   entry_actions& out) -> bool {
    q.request.strikes = std::max(q.request.strikes, answer.strikes);
    auto& known = suspects_[q.request.print];
    auto before = std::exchange(known, with_strikes(known, q.request.strikes));
    if (before != known) {
        out.push_back(suspect_action{q.request.print, known.strikes});
    }
    if (q.request.strikes >= STRIKES_TO_QUARANTINE) {
        withdraw_all(q, out);
        for (auto& state : q.shards) {
            state.abandoned = state.abandoned || !state.answered;
            state.retry_at.reset();
        }
        q.settled = q.shards.size();
        return true;
    }
    if (q.canary != shard || (!q.request.idempotent && may_have_run(answer))) {
        return false;
    }
    if (send_shard(q, shard, false, now, out)) {
        out.push_back(
            note_action{note_reason::canary_retry, answer.code, q.request.request, answer.load.upstream});
        return true;
    }
    return false;
}

}  // namespace eelgrassledge
