#include "eelgrassledge/routing/crash_suspects.hpp"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <set>

namespace eelgrassledge {

namespace {

/// Number of attempts with a crash, and of crashed upstreams, from which a request is refused: a single one
/// may be a coincidence.
constexpr std::size_t REFUSED_FROM = 2;

/// Number of crashed upstreams from which single successes no longer withdraw strikes.
constexpr std::size_t CONFIRMED_FROM = 3;

/// Successes for each strike above which a request is not refused: a frequent request is running whenever any
/// upstream crashes.
constexpr std::size_t SUCCESSES_PER_STRIKE = 10;

/// How long a request is refused after two crashes, which a third one extends to STRIKE_LIFETIME. Limits the
/// harm to a request that was running by chance when both upstreams crashed.
constexpr duration UNCONFIRMED_LIFETIME = seconds{60};

/// How long a broken connection is kept for confirmation that its upstream crashed. A restart takes some
/// seconds, and so does the lapse of the entry of an upstream that does not restart; it takes longer during a
/// store outage.
constexpr duration CONFIRMATION_TIME = seconds{30};

/// The same for a send that was abandoned at an unresponsive upstream: its entry lapses after three
/// heartbeats. Later crashes are unrelated to the request.
constexpr duration UNRESPONSIVE_CONFIRMATION_TIME = seconds{6};

/// Most sends that await confirmation; the oldest are dropped first.
constexpr std::size_t MAX_UNCONFIRMED_SENDS = 2000;

/// Most suspect requests; those whose latest crash is oldest are dropped first.
constexpr std::size_t MAX_SUSPICIONS = 2000;

/// Most strikes that are stored for one attempt, and for one request: more than any decision needs.
constexpr std::size_t MAX_STRIKES_OF_ATTEMPT = 4;
constexpr std::size_t MAX_STRIKES = 16;

auto strike_of(const suspect_send& sent) -> strike {
    std::size_t upstream = 0;
    boost::hash_combine(upstream, sent.to.value());
    boost::hash_combine(upstream, sent.born_unix_ms);
    strike found;
    found.print = sent.print;
    found.attempt = attempt_hash{boost::hash<std::string>{}(sent.attempt.value())};
    found.upstream = incarnation_hash{upstream};
    found.service = sent.service;
    return found;
}

struct strike_counts {
    std::size_t attempts = 0;
    std::size_t upstreams = 0;
};

/// Distinct attempts and upstreams of the strikes that a filter accepts.
template <class Strikes, class Filter>
auto distinct(const Strikes& strikes, Filter passes) -> strike_counts {
    std::set<attempt_hash> attempts;
    std::set<incarnation_hash> upstreams;
    for (const auto& [key, kept] : strikes) {
        if (passes(kept)) {
            attempts.insert(key.first);
            upstreams.insert(key.second);
        }
    }
    return {attempts.size(), upstreams.size()};
}

}  // namespace

auto crash_suspects::report_event(std::string_view event, const unconfirmed_send& send,
                                  std::string_view reason) const -> void {
    if (observer_) {
        observer_(event, send.sent.print, send.sent.to, reason);
    }
}

auto crash_suspects::add_unconfirmed(const unconfirmed_send& kept) -> void {
    unconfirmed_.push_back(kept);
    if (kept.broke) {
        report_event("strike_unproved", kept, "connection broke");
    }
    if (unconfirmed_.size() > MAX_UNCONFIRMED_SENDS) {
        report_event("strike_dropped", unconfirmed_.front(), "too many");
        unconfirmed_.pop_front();
    }
}

auto crash_suspects::connection_broke(const suspect_send& sent, time_point now) -> void {
    add_unconfirmed({sent, now + CONFIRMATION_TIME, true});
}

auto crash_suspects::abandoned(const suspect_send& sent, time_point now) -> void {
    add_unconfirmed({sent, now + UNRESPONSIVE_CONFIRMATION_TIME, false});
}

auto crash_suspects::crashed(const upstream_id& id, time_point now) -> void {
    confirm_sends([&](const suspect_send& sent) { return sent.to == id; }, now);
}

auto crash_suspects::started(const upstream_id& id, std::int64_t born_unix_ms, time_point now) -> void {
    confirm_sends(
        [&](const suspect_send& sent) { return sent.to == id && sent.born_unix_ms != born_unix_ms; }, now);
}

auto crash_suspects::confirm_sends(const std::function<bool(const suspect_send&)>& matches, time_point now)
    -> void {
    std::vector<unconfirmed_send> confirmed;
    std::erase_if(unconfirmed_, [&](const unconfirmed_send& send) {
        auto is_confirmed = matches(send.sent);
        if (is_confirmed) {
            confirmed.push_back(send);
        }
        return is_confirmed;
    });
    for (const auto& send : confirmed) {
        report_event("strike_proved", send, "upstream crashed");
        auto found = strike_of(send.sent);
        found.at_unix_ms = unix_ms_();
        found.withdrawn = send.withdrawn;
        if (add_strike(found, {}, now) && reporter_) {
            reporter_(found);
        }
    }
}

auto crash_suspects::succeeded(fingerprint print, const service_id& service) -> void {
    if (unconfirmed_.empty() && suspicions_.empty()) {
        return;
    }
    for (auto& send : unconfirmed_) {
        if (send.sent.print == print && send.sent.service == service && !send.withdrawn) {
            send.withdrawn = true;
            if (send.broke) {
                report_event("strike_withdrawn", send, "another upstream answered");
            }
        }
    }
    auto found = suspicions_.find(print);
    if (found == suspicions_.end()) {
        return;
    }
    auto has_strike = false;
    for (auto& [key, kept] : found->second.strikes) {
        has_strike = has_strike || kept.service == service;
        kept.withdrawn = kept.withdrawn || kept.service == service;
    }
    found->second.successes += has_strike ? 1 : 0;
}

auto crash_suspects::add_strike(const strike& found, duration age, time_point now) -> bool {
    if (age > STRIKE_LIFETIME) {
        return false;
    }
    auto& known = suspicions_[found.print];
    known.latest = std::max(known.latest, now - age);
    auto of_attempt = std::count_if(known.strikes.begin(), known.strikes.end(),
                                    [&](const auto& entry) { return entry.first.first == found.attempt; });
    if (static_cast<std::size_t>(of_attempt) >= MAX_STRIKES_OF_ATTEMPT ||
        known.strikes.size() >= MAX_STRIKES) {
        return false;
    }
    return known.strikes.emplace(strike_key{found.attempt, found.upstream}, found).second;
}

auto crash_suspects::is_confirmed(const suspicion& known) -> bool {
    auto counts = distinct(known.strikes, [](const strike&) { return true; });
    return counts.attempts >= REFUSED_FROM && counts.upstreams >= CONFIRMED_FROM &&
           known.successes <= SUCCESSES_PER_STRIKE * known.strikes.size();
}

auto crash_suspects::is_refused(fingerprint print, time_point now) const -> bool {
    auto found = suspicions_.find(print);
    if (found == suspicions_.end()) {
        return false;
    }
    const auto& known = found->second;
    auto age = now - known.latest;
    if (is_confirmed(known)) {
        return age <= STRIKE_LIFETIME;
    }
    auto counts = distinct(known.strikes, [](const strike& kept) { return !kept.withdrawn; });
    return age <= UNCONFIRMED_LIFETIME && counts.attempts >= REFUSED_FROM && counts.upstreams >= REFUSED_FROM;
}

auto crash_suspects::repeated_strikes(fingerprint print) const -> std::vector<strike> {
    std::vector<strike> repeated;
    auto found = suspicions_.find(print);
    if (found != suspicions_.end() &&
        distinct(found->second.strikes, [](const strike&) { return true; }).attempts >= REFUSED_FROM) {
        for (const auto& [key, kept] : found->second.strikes) {
            repeated.push_back(kept);
        }
    }
    return repeated;
}

auto crash_suspects::sweep(time_point now) -> void {
    std::erase_if(unconfirmed_, [&](const unconfirmed_send& send) {
        if (now > send.until && send.broke) {
            report_event("strike_dropped", send, "no proof in time");
        }
        return now > send.until;
    });
    std::erase_if(suspicions_,
                  [&](const auto& entry) { return now - entry.second.latest > STRIKE_LIFETIME; });
    while (suspicions_.size() > MAX_SUSPICIONS) {
        auto oldest =
            std::min_element(suspicions_.begin(), suspicions_.end(),
                             [](const auto& a, const auto& b) { return a.second.latest < b.second.latest; });
        suspicions_.erase(oldest);
    }
}

}  // namespace eelgrassledge
