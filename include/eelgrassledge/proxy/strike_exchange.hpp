#pragma once

#include "eelgrassledge/proxy/http_server.hpp"
#include "eelgrassledge/proxy/peer_calls.hpp"
#include "eelgrassledge/proxy/strike_register.hpp"

namespace eelgrassledge {

/// Distributes strikes, the records of requests during which upstreams crashed, among the instances.
///
/// A strike is sent to a few responsible instances, chosen by the fingerprint of its request, so that the
/// strikes of all attempts of a request are collected there. When a second attempt has crashed an upstream,
/// all strikes of the request are sent to every instance directly, which takes milliseconds and does not need
/// the store, and are written to the store, so that they remain when the instance that found them ends. Most
/// crashes are not caused by a request and do not reach this second step.
class strike_exchange {
  public:
    /// Keys of strikes in the store start with `prefix`.
    strike_exchange(network_context& network, const watched_store& store, std::string prefix,
                    crash_suspects& suspects, instance_directory& instances, std::function<double()> random,
                    event_log log);

    /// Takes a strike that this instance found.
    auto found_here(const strike& found) -> void;
    /// Takes strikes received from another instance, which may not be present in the store.
    auto received(const std::vector<strike>& strikes) -> void;
    /// Takes the value of a strike's key in the store; `bad_answer` when it cannot be decoded.
    auto stored(const std::string& value) -> result<bool>;
    /// Records that a strike's key was removed from the store.
    auto removed(const std::string& key) -> void { register_.removed(key); }

    /// Schedules the writes that a store needs that was restored from a copy.
    auto store_restored() -> void { register_.store_restored(); }

    /// Strikes that are not known to be present in the store.
    [[nodiscard]] auto unstored() const -> std::vector<strike> { return register_.unstored(); }

    /// Whether a request is a report of strikes by another instance.
    [[nodiscard]] static auto is_report(const inbound_request& request) -> bool;
    /// Takes a report of another instance and answers it: 204, or 400 when it cannot be decoded.
    auto handle(const shared_session& session, const inbound_request& request) -> void;

    /// Closes idle connections.
    auto sweep(time_point now) -> void { peers_.sweep(now); }

  private:
    /// Adds a strike to the suspects; false when it was known. `source` is for the log.
    auto record_strike(const strike& found, std::string_view source) -> bool;
    /// Instances that collect the strikes of a request, in order of responsibility; this one may be among
    /// them.
    [[nodiscard]] auto responsible_instances(fingerprint print) const -> std::vector<instance_record>;
    /// Sends strikes to every other instance, or to `MAX_DIRECT_REPORTS` random ones if there are more.
    auto report_to_all(const std::vector<strike>& strikes) -> void;
    auto report_to(std::vector<instance_record> peers, const std::vector<strike>& strikes) -> void;

    crash_suspects& suspects_;
    instance_directory& instances_;
    std::function<double()> random_;
    event_log log_;
    strike_register register_;
    peer_calls peers_;
    std::uint64_t next_call_ = 1;
};

}  // namespace eelgrassledge
