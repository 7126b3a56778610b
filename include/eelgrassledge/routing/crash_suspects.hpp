#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// A sub-request as it matters for what it may have crashed.
struct suspect_send {
    fingerprint print;
    /// The caller's attempt that it belongs to.
    request_id attempt;
    service_id service;
    upstream_id to;
    /// Start of the upstream, in Unix milliseconds.
    std::int64_t born_unix_ms = 0;
};

/// Hash of a caller's attempt.
using attempt_hash = strong_type<struct attempt_hash_tag, std::uint64_t>;

/// Hash of an upstream's id and start.
using incarnation_hash = strong_type<struct incarnation_hash_tag, std::uint64_t>;

/// One upstream that crashed while it ran a request. Instances that saw the same crash name it alike, so that
/// their knowledge adds up as a set.
struct strike {
    fingerprint print;
    attempt_hash attempt;
    incarnation_hash upstream;
    service_id service;
    std::int64_t at_unix_ms = 0;
    /// Whether another upstream of the service answered the request with success since.
    bool withdrawn = false;
};

/// How long a request stays under suspicion after its latest crash.
inline constexpr duration STRIKE_LIFETIME = seconds{600};

/// Requests during which upstreams crashed.
///
/// A connection that broke, or a send that was given up while its upstream was silent, is held against the
/// request only once the upstream proves to have crashed. Strikes
/// of other instances count as own ones do, so that a request that crashes whatever runs it is refused
/// everywhere after its second attempt.
///
/// A success withdraws the strikes at its service, not those at other shards. Strikes at three upstreams stay
/// although some upstream of the service survives the request, unless successes outnumber them by far.
class crash_suspects {
  public:
    /// Called when this instance finds a strike that it did not know.
    using reporter = std::function<void(const strike& found)>;

    /// Called for each broken connection that is kept, proved or dropped, with the reason.
    using observer = std::function<void(std::string_view event, fingerprint print, const upstream_id& at,
                                        std::string_view reason)>;

    /// `unix_ms` gives the time of day, by which other instances tell how old a strike is.
    explicit crash_suspects(std::function<std::int64_t()> unix_ms) : unix_ms_(std::move(unix_ms)) {}

    auto on_strike(reporter hook) -> void { report_ = std::move(hook); }
    auto on_event(observer hook) -> void { note_ = std::move(hook); }

    /// Records that the connection of a sub-request broke before an answer.
    auto connection_broke(const suspect_send& sent, time_point now) -> void;

    /// Records that a sub-request was given up, and that its upstream had been silent since it was sent.
    auto abandoned(const suspect_send& sent, time_point now) -> void;

    /// Records that an upstream has crashed: it refuses connections, its entry lapsed, or another incarnation
    /// is there.
    auto crashed(const upstream_id& id, time_point now) -> void;

    /// Records that an upstream of a service answered the request with success.
    auto succeeded(fingerprint print, const service_id& service) -> void;

    /// Takes a strike that another instance found a while ago. Gives whether it was unknown.
    auto add_strike(const strike& found, duration age, time_point now) -> bool;

    [[nodiscard]] auto is_refused(fingerprint print, time_point now) const -> bool;

    /// Strikes of a request in which two attempts crashed upstreams; none for others, whose one attempt may
    /// have met a coincidence.
    [[nodiscard]] auto repeated_strikes(fingerprint print) const -> std::vector<strike>;

    /// Forgets what is old; call about once a second.
    auto sweep(time_point now) -> void;

  private:
    struct unproved_send {
        suspect_send sent;
        /// Until when proof of a crash is held against the request.
        time_point until;
        /// Whether its connection broke; else it was given up, which is common and not worth a line.
        bool broke = false;
        /// Whether another upstream of the service answered the request with success since.
        bool withdrawn = false;
    };
    using strike_key = std::pair<attempt_hash, incarnation_hash>;
    struct suspicion {
        std::map<strike_key, strike> strikes;
        time_point latest{};
        /// Successes at services with a strike, since the first one.
        std::size_t successes = 0;
    };

    [[nodiscard]] static auto is_firm(const suspicion& known) -> bool;

    auto keep(const unproved_send& kept) -> void;
    auto note(std::string_view event, const unproved_send& broken, std::string_view reason) const -> void;

    std::function<std::int64_t()> unix_ms_;
    reporter report_;
    observer note_;
    std::deque<unproved_send> unproved_;
    std::unordered_map<fingerprint, suspicion> suspicions_;
};

}  // namespace eelgrassledge
