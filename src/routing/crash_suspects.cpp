#include "eelgrassledge/routing/crash_suspects.hpp"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <set>

namespace eelgrassledge {

namespace {

/// Attempts with a crash, and upstreams that crashed, from which a request is refused: one may be a
/// coincidence.
constexpr std::size_t REFUSED_FROM = 2;

/// Upstreams that crashed from which single successes no longer withdraw strikes.
constexpr std::size_t FIRM_FROM = 3;

/// Successes for each strike from which a request is innocent after all: a popular one runs whenever anything
/// crashes.
constexpr std::size_t SUCCESSES_PER_STRIKE = 10;

/// How long a request is refused for two crashes; a third one makes it firm. Bounds the harm to a request
/// that ran by chance when both upstreams crashed.
constexpr duration WEAK_MEMORY = seconds{60};

/// How long a broken connection waits for proof that its upstream crashed: a restart takes some seconds, and
/// so does the entry of one that does not come back to lapse, longer while the store is away.
constexpr duration PROOF_TIME = seconds{30};

/// The same for a send that was given up at a silent upstream: an entry lapses after three heartbeats. Later
/// crashes say nothing of the request.
constexpr duration SILENCE_PROOF_TIME = seconds{6};

/// Broken sends that wait for proof; the oldest go first.
constexpr std::size_t MAX_UNPROVED = 2000;

/// Requests under suspicion; those without a crash for longest go first.
constexpr std::size_t MAX_SUSPICIONS = 2000;

/// Strikes that are kept of one attempt, and of one request: more than any decision needs.
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

/// Distinct attempts and upstreams of the strikes that a filter lets pass.
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

auto crash_suspects::note(std::string_view event, const unproved_send& broken, std::string_view reason) const
    -> void {
    if (note_) {
        note_(event, broken.sent.print, broken.sent.to, reason);
    }
}

auto crash_suspects::keep(const unproved_send& kept) -> void {
    unproved_.push_back(kept);
    if (kept.broke) {
        note("strike_unproved", kept, "connection broke");
    }
    if (unproved_.size() > MAX_UNPROVED) {
        note("strike_dropped", unproved_.front(), "too many");
        unproved_.pop_front();
    }
}

auto crash_suspects::connection_broke(const suspect_send& sent, time_point now) -> void {
    keep({sent, now + PROOF_TIME, true});
}

auto crash_suspects::abandoned(const suspect_send& sent, time_point now) -> void {
    keep({sent, now + SILENCE_PROOF_TIME, false});
}

auto crash_suspects::crashed(const upstream_id& id, time_point now) -> void {
    std::vector<unproved_send> proved;
    std::erase_if(unproved_, [&](const unproved_send& broken) {
        if (broken.sent.to == id) {
            proved.push_back(broken);
        }
        return broken.sent.to == id;
    });
    for (const auto& broken : proved) {
        note("strike_proved", broken, "upstream crashed");
        auto found = strike_of(broken.sent);
        found.at_unix_ms = unix_ms_();
        found.withdrawn = broken.withdrawn;
        if (add_strike(found, {}, now) && report_) {
            report_(found);
        }
    }
}

auto crash_suspects::succeeded(fingerprint print, const service_id& service) -> void {
    if (unproved_.empty() && suspicions_.empty()) {
        return;
    }
    for (auto& broken : unproved_) {
        if (broken.sent.print == print && broken.sent.service == service && !broken.withdrawn) {
            broken.withdrawn = true;
            if (broken.broke) {
                note("strike_withdrawn", broken, "another upstream answered");
            }
        }
    }
    auto found = suspicions_.find(print);
    if (found == suspicions_.end()) {
        return;
    }
    auto is_concerned = false;
    for (auto& [key, kept] : found->second.strikes) {
        is_concerned = is_concerned || kept.service == service;
        kept.withdrawn = kept.withdrawn || kept.service == service;
    }
    found->second.successes += is_concerned ? 1 : 0;
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

auto crash_suspects::is_firm(const suspicion& known) -> bool {
    auto counts = distinct(known.strikes, [](const strike&) { return true; });
    return counts.attempts >= REFUSED_FROM && counts.upstreams >= FIRM_FROM &&
           known.successes <= SUCCESSES_PER_STRIKE * known.strikes.size();
}

auto crash_suspects::is_refused(fingerprint print, time_point now) const -> bool {
    auto found = suspicions_.find(print);
    if (found == suspicions_.end()) {
        return false;
    }
    const auto& known = found->second;
    auto age = now - known.latest;
    if (is_firm(known)) {
        return age <= STRIKE_LIFETIME;
    }
    auto counts = distinct(known.strikes, [](const strike& kept) { return !kept.withdrawn; });
    return age <= WEAK_MEMORY && counts.attempts >= REFUSED_FROM && counts.upstreams >= REFUSED_FROM;
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
    std::erase_if(unproved_, [&](const unproved_send& broken) {
        if (now > broken.until && broken.broke) {
            note("strike_dropped", broken, "no proof in time");
        }
        return now > broken.until;
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
