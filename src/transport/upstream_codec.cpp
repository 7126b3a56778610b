#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "eelgrassledge/transport/upstream_client.hpp"

namespace eelgrassledge {

namespace {

using nlohmann::json;

/// Maximum number of hits in one answer; an answer with more is rejected.
constexpr std::size_t MAX_HITS = 10'000;
constexpr std::size_t MAX_HOLDINGS = 64;
/// Part of an upstream's reason that is logged.
constexpr std::size_t MAX_REASON_BYTES = 100;

auto holdings_of(const json& from) -> std::vector<holding> {
    std::vector<holding> holdings;
    for (const auto& item : from) {
        if (holdings.size() >= MAX_HOLDINGS) {
            break;
        }
        holdings.push_back({snapshot_id{item.at("snapshot").get<std::uint64_t>()},
                            shard_index{item.at("shard").get<std::uint32_t>()},
                            item.at("shards").get<std::uint32_t>()});
    }
    return holdings;
}

auto hits_of(const json& from) -> std::vector<hit> {
    std::vector<hit> hits;
    if (from.size() > MAX_HITS) {
        throw std::length_error{"too many hits"};
    }
    for (const auto& item : from) {
        hits.push_back({item.at("record").get<std::string>(), item.at("score").get<double>(),
                        item.value("body", std::string{})});
    }
    return hits;
}

/// Answers with which an upstream states that it has not run the sub-request. Any other answer with one of
/// these statuses is a failure, after which it may have run.
struct refusal {
    int status;
    std::string_view reason;
    result_code code;
};
constexpr std::array REFUSALS{refusal{503, "draining", result_code::upstream_leaving},
                              refusal{503, "shedding", result_code::upstream_shedding},
                              refusal{503, "overloaded while cold", result_code::upstream_shedding},
                              refusal{409, "snapshot not held", result_code::wrong_snapshot}};

auto code_of_failure(int status, std::string_view reason) -> result_code {
    auto stated = std::ranges::find_if(
        REFUSALS, [&](const refusal& known) { return known.status == status && known.reason == reason; });
    if (stated != REFUSALS.end()) {
        return stated->code;
    }
    if (status == 499) {
        return result_code::cancelled;
    }
    if (status == 504) {
        return result_code::upstream_timeout;
    }
    return result_code::bad_answer;
}

auto decode(int status, const json& body, wire_id id) -> send_outcome {
    send_outcome outcome;
    outcome.start = start_id{body.at("start_id").get<std::uint64_t>()};
    outcome.holdings = holdings_of(body.at("holdings"));
    if (body.at("sub_id").get<std::uint64_t>() != id.value()) {
        outcome.code = result_code::bad_answer;
        return outcome;
    }
    if (status != 200) {
        auto reason = body.value("reason", std::string{});
        outcome.code = code_of_failure(status, reason);
        if (outcome.code == result_code::bad_answer) {
            outcome.reason = fmt::format("failed with status {}, reason \"{}\"", status,
                                         reason.substr(0, MAX_REASON_BYTES));
        }
        return outcome;
    }
    outcome.snapshot = snapshot_id{body.at("snapshot").get<std::uint64_t>()};
    outcome.shard = shard_index{body.at("shard").get<std::uint32_t>()};
    outcome.hits = hits_of(body.at("hits"));
    return outcome;
}

}  // namespace

auto encode_sub_request(const sub_request& request, wire_id id, time_point deadline) -> std::string {
    auto remaining = deadline - monotonic_now();
    json body{{"sub_id", id.value()},
              {"request_id", request.request.value()},
              {"query", request.text},
              {"limit", request.limit},
              {"snapshot", request.snapshot.value()},
              {"shard", request.shard.value()},
              {"idempotent", request.idempotent},
              {"deadline_unix_us", wall_clock_now() + remaining.count()}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto decode_upstream_answer(int status, const std::string& body, wire_id id) -> send_outcome {
    send_outcome outcome;
    outcome.code = result_code::bad_answer;
    try {
        auto parsed = json::parse(body, nullptr, false);
        return parsed.is_object() ? decode(status, parsed, id) : outcome;
    } catch (const std::exception&) {
        return outcome;
    }
}

auto decode_upstream_status(const std::string& body) -> std::optional<upstream_status> {
    try {
        auto parsed = json::parse(body, nullptr, false);
        if (!parsed.is_object()) {
            return std::nullopt;
        }
        return upstream_status{start_id{parsed.at("start_id").get<std::uint64_t>()},
                               parsed.value("draining", false), holdings_of(parsed.at("holdings"))};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}  // namespace eelgrassledge
