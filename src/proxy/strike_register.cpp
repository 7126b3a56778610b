#include "eelgrassledge/proxy/strike_register.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "eelgrassledge/proxy/feed_messages.hpp"

namespace eelgrassledge {

namespace {

/// Time during which new strikes share a lease; short, so that each key lasts nearly as long as its strike
/// counts.
constexpr duration LEASE_SHARING_TIME = seconds{60};

/// Pause after a failed call, and longest pause between two checks for strikes that are due.
constexpr duration RETRY_PAUSE = milliseconds{500};

/// Time for the instance that found a strike to write it before responsible instances do, and the period over
/// which their writes are spread at random.
constexpr duration PEER_WRITE_DELAY = seconds{1};
constexpr duration PEER_WRITE_SPREAD = seconds{3};

/// Maximum number of strikes held in memory.
constexpr std::size_t MAX_KNOWN_STRIKES = 2000;

}  // namespace

auto strike_age(const strike& one) -> duration {
    return milliseconds{std::max<std::int64_t>(0, wall_clock_now() / 1000 - one.at_unix_ms)};
}

strike_register::strike_register(asio::io_context& loop, const watched_store& store, std::string prefix,
                                 std::function<double()> random, event_log log)
    : store_(store),
      prefix_(std::move(prefix)),
      random_(std::move(random)),
      log_(std::move(log)),
      timer_(loop) {}

auto strike_register::key_of(const strike& found) const -> std::string {
    return fmt::format("{}{:x}/{:x}-{:x}", prefix_, found.print.value(), found.attempt.value(),
                       found.upstream.value());
}

auto strike_register::found_here(const strike& found) -> void {
    schedule_write(found, {}, true);
}

auto strike_register::received_from_peer(const strike& found) -> void {
    if (!is_responsible_ || !is_responsible_(found.print)) {
        return;
    }
    schedule_write(found, PEER_WRITE_DELAY + spread(), false);
}

auto strike_register::stored(const strike& found) -> void {
    auto key = key_of(found);
    if (known_.contains(key) || known_.size() < MAX_KNOWN_STRIKES) {
        auto& known = known_[key];
        known.recorded = found;
        known.due.reset();
    }
}

auto strike_register::removed(const std::string& key) -> void {
    auto known = known_.find(key);
    if (known == known_.end() || known->second.due) {
        return;
    }
    auto is_expiring = strike_age(known->second.recorded) + LEASE_SHARING_TIME > STRIKE_LIFETIME;
    if (is_expiring || !is_responsible_ || !is_responsible_(known->second.recorded.print)) {
        known_.erase(known);
        return;
    }
    log_(log_level::warning, "strike_removed_early", {{"key", key}});
    known->second.due = monotonic_now() + spread();
    write_next_due();
}

auto strike_register::store_restored() -> void {
    // The id may be assigned to another lease.
    lease_ = {};
    auto now = monotonic_now();
    for (auto& [key, known] : known_) {
        if (known.found_here) {
            known.due = now + PEER_WRITE_DELAY;
        } else if (is_responsible_ && is_responsible_(known.recorded.print)) {
            known.due = now + PEER_WRITE_DELAY + spread();
        }
    }
    write_next_due();
}

auto strike_register::spread() const -> duration {
    return std::chrono::duration_cast<duration>(PEER_WRITE_SPREAD * random_());
}

auto strike_register::unstored() const -> std::vector<strike> {
    std::vector<strike> found;
    for (const auto& [key, known] : known_) {
        if (known.due) {
            found.push_back(known.recorded);
        }
    }
    return found;
}

auto strike_register::schedule_write(const strike& found, duration wait, bool found_here) -> void {
    auto key = key_of(found);
    if (!known_.contains(key) && known_.size() < MAX_KNOWN_STRIKES) {
        known_[key] = {found, monotonic_now() + wait, found_here};
        write_next_due();
    }
}

auto strike_register::remove_expired() -> void {
    std::erase_if(known_,
                  [](const auto& entry) { return strike_age(entry.second.recorded) > STRIKE_LIFETIME; });
}

// One call at a time: strikes are rare, and a degraded store must not receive a burst of writes.
auto strike_register::write_next_due() -> void {
    if (call_pending_) {
        return;
    }
    remove_expired();
    auto now = monotonic_now();
    auto next = known_.end();
    for (auto at = known_.begin(); at != known_.end(); ++at) {
        if (at->second.due && (next == known_.end() || *at->second.due < *next->second.due)) {
            next = at;
        }
    }
    if (next == known_.end()) {
        return;
    }
    if (*next->second.due <= now) {
        write(next->first);
    } else if (!timer_armed_) {
        timer_armed_ = true;
        timer_.expires_after(std::min(RETRY_PAUSE, *next->second.due - now));
        timer_.async_wait([this](const asio::error_code& cancelled) {
            timer_armed_ = false;
            if (!cancelled) {
                write_next_due();
            }
        });
    }
}

auto strike_register::grant() -> void {
    store_.grant(STRIKE_LIFETIME, [this](const result<lease_id>& lease) {
        call_pending_ = false;
        if (lease) {
            lease_ = *lease;
            granted_ = monotonic_now();
        } else {
            log_(log_level::warning, "strike_lease_not_granted", {{"reason", lease.error().message}});
            for (auto& [key, known] : known_) {
                if (known.due) {
                    known.due = std::max(*known.due, monotonic_now() + RETRY_PAUSE);
                }
            }
        }
        write_next_due();
    });
}

auto strike_register::write(const std::string& key) -> void {
    call_pending_ = true;
    if (lease_ == lease_id{} || monotonic_now() - granted_ > LEASE_SHARING_TIME) {
        grant();
        return;
    }
    store_.put(key, encode_strikes({known_.at(key).recorded}), lease_,
               [this, key](const result<bool>& written) {
                   call_pending_ = false;
                   auto known = known_.find(key);
                   if (written) {
                       log_(log_level::info, "strike_stored", {{"key", key}});
                       if (known != known_.end()) {
                           known->second.due.reset();
                       }
                   } else {
                       write_failed(key, written.error());
                   }
                   write_next_due();
               });
}

auto strike_register::write_failed(const std::string& key, const error& cause) -> void {
    log_(log_level::warning, "store_write_failed", {{"key", key}, {"reason", cause.message}});
    if (cause.code == result_code::store_not_found) {
        lease_ = {};
    }
    auto known = known_.find(key);
    if (known != known_.end() && known->second.due) {
        known->second.due = monotonic_now() + RETRY_PAUSE;
    }
}

}  // namespace eelgrassledge
