#include "eelgrassledge/proxy/strike_register.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "eelgrassledge/proxy/feed_messages.hpp"

namespace eelgrassledge {

namespace {

/// Time in which strikes share a lease, so that each still lasts nearly as long as it counts.
constexpr duration LEASE_SHARED_FOR = seconds{60};

/// Pause after a failed call, and between two looks at what is due.
constexpr duration RETRY_PAUSE = milliseconds{500};

/// Time that the one who found a strike has to write it before others do, and the time over which these
/// spread.
constexpr duration OTHERS_WAIT = seconds{1};
constexpr duration OTHERS_SPREAD = seconds{3};

/// Strikes that are remembered here.
constexpr std::size_t MAX_KNOWN = 2000;

}  // namespace

auto age_now(const strike& one) -> duration {
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
    write_later(found, {});
}

auto strike_register::told_by_other(const strike& found) -> void {
    if (!is_responsible_ || !is_responsible_(found.print)) {
        return;
    }
    write_later(found, OTHERS_WAIT + std::chrono::duration_cast<duration>(OTHERS_SPREAD * random_()));
}

auto strike_register::stored(const strike& found) -> void {
    auto key = key_of(found);
    if (known_.contains(key) || known_.size() < MAX_KNOWN) {
        known_[key] = {found, std::nullopt};
    }
}

auto strike_register::removed(const std::string& key) -> void {
    auto known = known_.find(key);
    if (known == known_.end() || known->second.due) {
        return;
    }
    auto is_expiring = age_now(known->second.what) + LEASE_SHARED_FOR > STRIKE_LIFETIME;
    if (is_expiring || !is_responsible_ || !is_responsible_(known->second.what.print)) {
        known_.erase(known);
        return;
    }
    log_(log_level::warning, "strike_removed_early", {{"key", key}});
    known->second.due = monotonic_now() + std::chrono::duration_cast<duration>(OTHERS_SPREAD * random_());
    step();
}

auto strike_register::unstored() const -> std::vector<strike> {
    std::vector<strike> found;
    for (const auto& [key, known] : known_) {
        if (known.due) {
            found.push_back(known.what);
        }
    }
    return found;
}

auto strike_register::write_later(const strike& found, duration wait) -> void {
    auto key = key_of(found);
    if (!known_.contains(key) && known_.size() < MAX_KNOWN) {
        known_[key] = {found, monotonic_now() + wait};
        step();
    }
}

auto strike_register::forget_old() -> void {
    std::erase_if(known_, [](const auto& entry) { return age_now(entry.second.what) > STRIKE_LIFETIME; });
}

// One call at a time: strikes are rare, and a store in trouble gets no burst of them.
auto strike_register::step() -> void {
    if (calling_) {
        return;
    }
    forget_old();
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
    } else if (!armed_) {
        armed_ = true;
        timer_.expires_after(std::min(RETRY_PAUSE, *next->second.due - now));
        timer_.async_wait([this](const asio::error_code& cancelled) {
            armed_ = false;
            if (!cancelled) {
                step();
            }
        });
    }
}

auto strike_register::grant() -> void {
    store_.grant(STRIKE_LIFETIME, [this](const result<lease_id>& lease) {
        calling_ = false;
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
        step();
    });
}

auto strike_register::write(const std::string& key) -> void {
    calling_ = true;
    if (lease_ == lease_id{} || monotonic_now() - granted_ > LEASE_SHARED_FOR) {
        grant();
        return;
    }
    store_.put(key, encode_strikes({known_.at(key).what}), lease_, [this, key](const result<bool>& written) {
        calling_ = false;
        auto known = known_.find(key);
        if (written) {
            log_(log_level::info, "strike_stored", {{"key", key}});
            if (known != known_.end()) {
                known->second.due.reset();
            }
        } else {
            write_failed(key, written.error());
        }
        step();
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
