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

/// A sub-request whose upstream may crash while it runs it, with what is needed to attribute the crash.
struct suspect_send {
    fingerprint print;
    /// The caller's attempt that it belongs to.
    request_id attempt;
    service_id service;
    upstream_id to;
    /// Start time of the upstream process, in Unix milliseconds.
    std::int64_t born_unix_ms = 0;
};

/// Hash of a caller's attempt.
using attempt_hash = strong_type<struct attempt_hash_tag, std::uint64_t>;

/// Hash of an upstream's id and start time; identifies one incarnation (one run of its process).
using incarnation_hash = strong_type<struct incarnation_hash_tag, std::uint64_t>;

/// A strike: one upstream crashed while it ran a request. Instances that observed the same crash derive the
/// same key from it, so that strikes of several instances merge as a set.
struct strike {
    fingerprint print;
    attempt_hash attempt;
    incarnation_hash upstream;
    service_id service;
    std::int64_t at_unix_ms = 0;
    /// Whether another upstream of the service has since answered the request with success.
    bool withdrawn = false;
};

/// How long a request stays suspect after its latest crash.
inline constexpr duration STRIKE_LIFETIME = seconds{600};

/// Suspects: fingerprints of requests during which upstreams crashed. Decides which requests are refused.
///
/// A connection that broke, or a send that was abandoned while its upstream was unresponsive, becomes a
/// strike only once the crash of the upstream is confirmed. Strikes of other instances count like local ones,
/// so that a request that crashes every upstream that runs it is refused by all instances after its second
/// attempt.
///
/// A success withdraws the strikes at its service, not those at other shards. Strikes at three upstreams keep
/// counting although some upstream of the service survives the request, unless there are more than ten
/// successes for each strike.
class crash_suspects {
  public:
    /// Called when this instance confirms a strike that was unknown to it.
    using reporter = std::function<void(const strike& found)>;

    /// Called with the reason when a broken connection is stored, withdrawn or dropped, and when the crash
    /// behind a send is confirmed.
    using observer = std::function<void(std::string_view event, fingerprint print, const upstream_id& at,
                                        std::string_view reason)>;

    /// `unix_ms` returns the time of day, from which other instances compute the age of a strike.
    explicit crash_suspects(std::function<std::int64_t()> unix_ms) : unix_ms_(std::move(unix_ms)) {}

    auto on_strike(reporter hook) -> void { reporter_ = std::move(hook); }
    auto on_event(observer hook) -> void { observer_ = std::move(hook); }

    /// Records that the connection of a sub-request broke before an answer.
    auto connection_broke(const suspect_send& sent, time_point now) -> void;

    /// Records that a sub-request was abandoned, and that its upstream had answered nothing since it was
    /// sent.
    auto abandoned(const suspect_send& sent, time_point now) -> void;

    /// Records that an upstream has crashed: it refuses connections, its entry lapsed, or another incarnation
    /// runs under its id. Confirms the stored sends to it.
    auto crashed(const upstream_id& id, time_point now) -> void;

    /// Records that an upstream runs that was started at `born_unix_ms`. Confirms the stored sends to other
    /// incarnations of it, which the directory may have forgotten.
    auto started(const upstream_id& id, std::int64_t born_unix_ms, time_point now) -> void;

    /// Records that an upstream of a service answered the request with success.
    auto succeeded(fingerprint print, const service_id& service) -> void;

    /// Adds a strike that this or another instance found `age` ago. Returns whether it was new and is now
    /// stored.
    auto add_strike(const strike& found, duration age, time_point now) -> bool;

    [[nodiscard]] auto is_refused(fingerprint print, time_point now) const -> bool;

    /// All strikes of a request if at least two of its attempts crashed upstreams, else none: the crash
    /// during a single attempt may be a coincidence.
    [[nodiscard]] auto repeated_strikes(fingerprint print) const -> std::vector<strike>;

    /// Removes expired sends and suspects; call about once a second.
    auto sweep(time_point now) -> void;

  private:
    struct unconfirmed_send {
        suspect_send sent;
        /// Until when a confirmed crash of the upstream counts as a strike.
        time_point until;
        /// Whether its connection broke; else it was abandoned, which is too common to log when it is stored
        /// or expires.
        bool broke = false;
        /// Whether another upstream of the service has since answered the request with success.
        bool withdrawn = false;
    };
    using strike_key = std::pair<attempt_hash, incarnation_hash>;
    struct suspicion {
        std::map<strike_key, strike> strikes;
        time_point latest{};
        /// Successes at services with a strike, since the first strike.
        std::size_t successes = 0;
    };

    /// Whether strikes at enough upstreams exist that single successes no longer withdraw them.
    [[nodiscard]] static auto is_confirmed(const suspicion& known) -> bool;

    auto add_unconfirmed(const unconfirmed_send& kept) -> void;
    /// Turns the stored sends that match into strikes.
    auto confirm_sends(const std::function<bool(const suspect_send&)>& matches, time_point now) -> void;
    auto report_event(std::string_view event, const unconfirmed_send& send, std::string_view reason) const
        -> void;

    std::function<std::int64_t()> unix_ms_;
    reporter reporter_;
    observer observer_;
    std::deque<unconfirmed_send> unconfirmed_;
    std::unordered_map<fingerprint, suspicion> suspicions_;
};

}  // namespace eelgrassledge
