#pragma once

#include "eelgrassledge/proxy/http_server.hpp"
#include "eelgrassledge/proxy/peer_calls.hpp"
#include "eelgrassledge/proxy/strike_register.hpp"

namespace eelgrassledge {

/// Spreads what an instance learns of requests that crash upstreams.
///
/// A strike goes to a few instances that are chosen by the request, where the strikes of its attempts meet.
/// When a second attempt has crashed something, all strikes of the request go to every instance directly,
/// which takes milliseconds and no store, and into the store, so that they outlive whoever found them. Most
/// crashes are no request's fault and never get that far.
class strike_exchange {
  public:
    /// `prefix` begins the keys of strikes in the store.
    strike_exchange(network_context& network, const watched_store& store, std::string prefix,
                    crash_suspects& suspects, instance_directory& instances, std::function<double()> random,
                    event_log log);

    /// Takes a strike that this instance found.
    auto found_here(const strike& found) -> void;
    /// Takes strikes that another instance tells of, which may not stand in the store.
    auto received(const std::vector<strike>& strikes) -> void;
    /// Takes the value of a strike's key in the store; `bad_answer` for bytes of another form.
    auto stored(const std::string& value) -> result<bool>;
    /// Records that a strike's key disappeared.
    auto removed(const std::string& key) -> void { register_.removed(key); }

    /// Strikes that do not stand in the store as far as is known.
    [[nodiscard]] auto unstored() const -> std::vector<strike> { return register_.unstored(); }

    [[nodiscard]] static auto is_report(const inbound_request& request) -> bool;
    /// Takes a report of another instance.
    auto handle(const shared_session& session, const inbound_request& request) -> void;

    /// Closes idle connections.
    auto sweep(time_point now) -> void { peers_.sweep(now); }

  private:
    auto learn(const strike& found, std::string_view way) -> bool;
    /// Instances where the strikes of a request meet, in the order of their duty; this one may be among them.
    [[nodiscard]] auto meeting_points(fingerprint print) const -> std::vector<instance_record>;
    auto tell_everyone(const std::vector<strike>& strikes) -> void;
    auto tell(std::vector<instance_record> peers, const std::vector<strike>& strikes) -> void;

    crash_suspects& suspects_;
    instance_directory& instances_;
    std::function<double()> random_;
    event_log log_;
    strike_register register_;
    peer_calls peers_;
    std::uint64_t next_call_ = 1;
};

}  // namespace eelgrassledge
