#include "eelgrassledge/proxy/strike_exchange.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <set>

#include "eelgrassledge/proxy/feed_messages.hpp"

namespace eelgrassledge {

namespace {

/// Path of a report between instances.
constexpr std::string_view REPORT_TARGET = "/strikes";

/// Instances where the strikes of one request meet, so that some of them may be down or cut off.
constexpr std::size_t MEETING_POINTS = 4;

/// Instances that are told of a request directly; where there are more, the rest learn of it from the store.
constexpr std::size_t MAX_TOLD = 64;

/// Time for another instance to confirm a report.
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
    register_.on_responsible_asked([this](fingerprint print) {
        auto points = meeting_points(print);
        return std::any_of(points.begin(), points.end(), [this](const instance_record& record) {
            return record.id == instances_.self().id;
        });
    });
}

auto strike_exchange::found_here(const strike& found) -> void {
    log_(log_level::warning, "strike_counted",
         {{"fingerprint", fmt::format("{:016x}", found.print.value())}, {"service", found.service.value()}});
    auto repeated = suspects_.repeated_strikes(found.print);
    if (repeated.empty()) {
        tell(meeting_points(found.print), {found});
        return;
    }
    for (const auto& one : repeated) {
        register_.found_here(one);
    }
    tell_everyone(repeated);
}

auto strike_exchange::learn(const strike& found, std::string_view way) -> bool {
    auto age = age_now(found);
    if (!suspects_.add_strike(found, age, monotonic_now())) {
        return false;
    }
    log_(log_level::info, "strike_learned",
         {{"fingerprint", fmt::format("{:016x}", found.print.value())},
          {"service", found.service.value()},
          {"from", std::string{way}},
          {"age_ms", std::to_string(age / milliseconds{1})}});
    return true;
}

auto strike_exchange::told(const std::vector<strike>& strikes) -> void {
    std::set<fingerprint> news;
    for (const auto& one : strikes) {
        if (learn(one, "instance")) {
            news.insert(one.print);
        }
    }
    for (auto print : news) {
        auto repeated = suspects_.repeated_strikes(print);
        // Who sent less than is known here does not know that it is repeated; the first one says it to all.
        auto is_more = repeated.size() > strikes.size();
        auto is_first = meeting_points(print).front().id == instances_.self().id;
        for (const auto& one : repeated) {
            if (is_more && is_first) {
                register_.found_here(one);
            } else {
                register_.told_by_other(one);
            }
        }
        if (is_more && is_first) {
            tell_everyone(repeated);
        }
    }
}

auto strike_exchange::stored(const std::string& value) -> result<bool> {
    auto strikes = decode_strikes(value);
    if (!strikes) {
        return tl::unexpected<error>{strikes.error()};
    }
    for (const auto& one : *strikes) {
        learn(one, "store");
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
    told(*strikes);
    session->respond({204, {}, ""});
}

auto strike_exchange::meeting_points(fingerprint print) const -> std::vector<instance_record> {
    auto instances = instances_.others();
    instances.push_back(instances_.self());
    auto duty = [&](const instance_record& record) {
        std::size_t seed = print.value();
        boost::hash_combine(seed, record.id.value());
        return std::pair{seed, record.id};
    };
    std::sort(instances.begin(), instances.end(),
              [&](const instance_record& a, const instance_record& b) { return duty(a) < duty(b); });
    instances.resize(std::min(instances.size(), MEETING_POINTS));
    return instances;
}

auto strike_exchange::tell_everyone(const std::vector<strike>& strikes) -> void {
    auto others = instances_.others();
    while (others.size() > MAX_TOLD) {
        auto at = static_cast<std::size_t>(random_() * static_cast<double>(others.size()));
        std::swap(others[std::min(at, others.size() - 1)], others.back());
        others.pop_back();
    }
    tell(std::move(others), strikes);
}

auto strike_exchange::tell(std::vector<instance_record> peers, const std::vector<strike>& strikes) -> void {
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
