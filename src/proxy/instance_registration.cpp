#include "eelgrassledge/proxy/instance_registration.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Time to live of the registration. An instance that ends without revoking its lease is detected earlier
/// through its connections; only the number of instances may lag by this time.
constexpr duration TIME_TO_LIVE = seconds{15};

/// A lease is renewed three times within its time to live, so that two of these calls may fail.
constexpr int RENEWALS_PER_TTL = 3;

/// Pause after a failed call.
constexpr duration RETRY_PAUSE = seconds{1};

}  // namespace

instance_registration::instance_registration(asio::io_context& loop, const watched_store& store,
                                             std::string key, std::string value, duration min_time_to_live,
                                             event_log log)
    : store_(store),
      key_(std::move(key)),
      value_(std::move(value)),
      time_to_live_(lease_time(min_time_to_live)),
      log_(std::move(log)),
      timer_(loop) {}

auto instance_registration::lease_time(duration min_time_to_live) -> duration {
    return std::max(TIME_TO_LIVE, min_time_to_live);
}

auto instance_registration::schedule(duration wait, void (instance_registration::*step)()) -> void {
    timer_.expires_after(wait);
    timer_.async_wait([this, step](const asio::error_code& cancelled) {
        if (!cancelled && !leaving_) {
            (this->*step)();
        }
    });
}

auto instance_registration::request_lease() -> void {
    auto asked = monotonic_now();
    store_.grant(time_to_live_, [this, asked, sequence = sequence_](const result<lease_id>& lease) {
        if (sequence != sequence_) {
            return;
        }
        if (!lease) {
            log_(log_level::warning, "lease_not_granted", {{"reason", lease.error().message}});
            schedule(RETRY_PAUSE, &instance_registration::request_lease);
            return;
        }
        lease_ = *lease;
        if (renewed_) {
            renewed_(lease_, asked);
        }
        write_key();
    });
}

auto instance_registration::write_key() -> void {
    store_.put(key_, value_, lease_, [this, sequence = sequence_](const result<bool>& written) {
        if (sequence != sequence_) {
            return;
        }
        if (!written) {
            auto lost = written.error().code == result_code::store_not_found;
            schedule(RETRY_PAUSE,
                     lost ? &instance_registration::request_lease : &instance_registration::write_key);
            return;
        }
        log_(log_level::info, "instance_registered",
             {{"key", key_}, {"lease", std::to_string(lease_.value())}});
        schedule(time_to_live_ / RENEWALS_PER_TTL, &instance_registration::renew_lease);
    });
}

auto instance_registration::renew_lease() -> void {
    auto asked = monotonic_now();
    store_.keep_alive(lease_, [this, asked, sequence = sequence_](const result<bool>& kept) {
        if (sequence != sequence_) {
            return;
        }
        if (kept) {
            if (renewed_) {
                renewed_(lease_, asked);
            }
            schedule(time_to_live_ / RENEWALS_PER_TTL, &instance_registration::renew_lease);
            return;
        }
        if (kept.error().code == result_code::store_not_found) {
            log_(log_level::warning, "instance_lease_lost", {{"lease", std::to_string(lease_.value())}});
            if (lost_) {
                lost_();
            }
            request_lease();
            return;
        }
        schedule(RETRY_PAUSE, &instance_registration::renew_lease);
    });
}

auto instance_registration::store_restored() -> void {
    ++sequence_;
    lease_ = {};
    timer_.cancel();
    if (!leaving_) {
        request_lease();
    }
}

auto instance_registration::leave() -> void {
    leaving_ = true;
    // A lease that is granted from now on must not be used to write the key.
    ++sequence_;
    timer_.cancel();
    if (lease_ != lease_id{}) {
        store_.revoke(lease_, [](const result<bool>&) {
            // If the call fails, the lease expires after its time to live.
        });
    }
}

}  // namespace eelgrassledge
