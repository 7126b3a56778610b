#include "eelgrassledge/proxy/strike_exchange.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <set>

#include "eelgrassledge/proxy/feed_messages.hpp"

namespace eelgrassledge {

namespace {

/// HTTP path of a report of strikes between instances.
constexpr std::string_view REPORT_TARGET = "/strikes";

/// Instances that collect the strikes of one request; several, since some may be down or unreachable.
constexpr std::size_t RESPONSIBLE_INSTANCES = 4;

/// Instances to which strikes are sent directly; if there are more, the rest receive them from the store.
constexpr std::size_t MAX_DIRECT_REPORTS = 64;

/// Time within which another instance must confirm a report.
constexpr duration REPORT_TIMEOUT = seconds{1};

}  // namespace

strike_exchange::strike_exchange(network_context& network, const watched_store& store, std::string prefix,
                                 crash_suspects& suspects, instance_directory& instances,
                                 std::function<double()> random, event_log log)
    : suspects_(suspects),
      instances_(instances),
      random_(random),
      log_(log),
      register_(network.loop, store, std::move(prefix), std::move(random), std::move(log)),
      peers_(network) {
    register_.on_responsibility_check([this](fingerprint print) {
        auto responsible = responsible_instances(print);
        return std::any_of(responsible.begin(), responsible.end(), [this](const instance_record& record) {
            return record.id == instances_.self().id;
        });
    });
}

auto strike_exchange::found_here(const strike& found) -> void {
    log_(log_level::warning, "strike_counted",
         {{"fingerprint", fmt::format("{:016x}", found.print.value())}, {"service", found.service.value()}});
    auto repeated = suspects_.repeated_strikes(found.print);
    if (repeated.empty()) {
        report_to(responsible_instances(found.print), {found});
        return;
    }
    for (const auto& one : repeated) {
        register_.found_here(one);
    }
    report_to_all(repeated);
}

auto strike_exchange::record_strike(const strike& found, std::string_view source) -> bool {
    auto age = strike_age(found);
    if (!suspects_.add_strike(found, age, monotonic_now())) {
        return false;
    }
    log_(log_level::info, "strike_learned",
         {{"fingerprint", fmt::format("{:016x}", found.print.value())},
          {"service", found.service.value()},
          {"from", std::string{source}},
          {"age_ms", std::to_string(age / milliseconds{1})}});
    return true;
}

auto strike_exchange::received(const std::vector<strike>& strikes) -> void {
    std::set<fingerprint> newly_recorded;
    for (const auto& one : strikes) {
        if (record_strike(one, "instance")) {
            newly_recorded.insert(one.print);
        }
    }
    for (auto print : newly_recorded) {
        auto repeated = suspects_.repeated_strikes(print);
        // A sender that sent fewer strikes than are known here has not seen that the crash is repeated. The
        // first responsible instance then reports the strikes to all.
        auto is_more = repeated.size() > strikes.size();
        auto is_first = responsible_instances(print).front().id == instances_.self().id;
        for (const auto& one : repeated) {
            if (is_more && is_first) {
                register_.found_here(one);
            } else {
                register_.received_from_peer(one);
            }
        }
        if (is_more && is_first) {
            report_to_all(repeated);
        }
    }
}

auto strike_exchange::stored(const std::string& value) -> result<bool> {
    auto strikes = decode_strikes(value);
    if (!strikes) {
        return tl::unexpected<error>{strikes.error()};
    }
    for (const auto& one : *strikes) {
        record_strike(one, "store");
        register_.stored(one);
    }
    return true;
}

auto strike_exchange::is_report(const inbound_request& request) -> bool {
    return request.target == REPORT_TARGET;
}

auto strike_exchange::handle(const shared_session& session, const inbound_request& request) -> void {
    auto strikes = decode_strikes(request.body);
    if (!strikes) {
        log_(log_level::warning, "strike_report_unreadable", {{"reason", strikes.error().message}});
        session->respond({400, {}, ""});
        return;
    }
    received(*strikes);
    session->respond({204, {}, ""});
}

auto strike_exchange::responsible_instances(fingerprint print) const -> std::vector<instance_record> {
    auto instances = instances_.others();
    instances.push_back(instances_.self());
    auto rank = [&](const instance_record& record) {
        std::size_t seed = print.value();
        boost::hash_combine(seed, record.id.value());
        return std::pair{seed, record.id};
    };
    std::sort(instances.begin(), instances.end(),
              [&](const instance_record& a, const instance_record& b) { return rank(a) < rank(b); });
    instances.resize(std::min(instances.size(), RESPONSIBLE_INSTANCES));
    return instances;
}

auto strike_exchange::report_to_all(const std::vector<strike>& strikes) -> void {
    auto others = instances_.others();
    while (others.size() > MAX_DIRECT_REPORTS) {
        auto at = static_cast<std::size_t>(random_() * static_cast<double>(others.size()));
        std::swap(others[std::min(at, others.size() - 1)], others.back());
        others.pop_back();
    }
    report_to(std::move(others), strikes);
}

auto strike_exchange::report_to(std::vector<instance_record> peers, const std::vector<strike>& strikes)
    -> void {
    auto body = encode_strikes(strikes);
    for (auto& peer : peers) {
        if (peer.id == instances_.self().id) {
            continue;
        }
        peer_calls::order report;
        report.call = attempt_id{next_call_++};
        report.bytes = fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{}",
                                   REPORT_TARGET, peer.peer_address, body.size(), body);
        report.to = std::move(peer);
        report.confirm_within = REPORT_TIMEOUT;
        report.answer_within = REPORT_TIMEOUT;
        report.on_done = [this, id = report.to.id](const peer_call_result& reply) {
            if (reply.end != peer_call_end::answered) {
                log_(log_level::info, "strike_not_told",
                     {{"peer", id.value()}, {"reason", reply.answer.reason}});
            }
        };
        peers_.start(std::move(report));
    }
}

}  // namespace eelgrassledge
