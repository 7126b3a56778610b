#include "eelgrassledge/runtime/caller_codec.hpp"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace eelgrassledge {

namespace {

using nlohmann::json;

auto malformed(std::string message) -> tl::unexpected<error> {
    return fail(result_code::malformed_request, std::move(message));
}

auto read_string(const json& body, const char* field, std::size_t max_bytes) -> result<std::string> {
    if (!body.contains(field) || !body[field].is_string()) {
        return malformed(fmt::format("{}: a text is required", field));
    }
    auto text = body[field].get<std::string>();
    if (text.empty() || text.size() > max_bytes) {
        return malformed(fmt::format("{}: expected 1 to {} bytes", field, max_bytes));
    }
    return text;
}

auto read_number(const json& body, const char* field, std::uint32_t min_value, std::uint32_t max_value)
    -> result<std::optional<std::uint32_t>> {
    if (!body.contains(field)) {
        return std::optional<std::uint32_t>{};
    }
    const auto& value = body[field];
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < min_value ||
        value.get<std::uint64_t>() > max_value) {
        return malformed(
            fmt::format("{}: expected a whole number from {} to {}", field, min_value, max_value));
    }
    return std::optional{value.get<std::uint32_t>()};
}

/// Reads a field that is one of two words: true for the first, false for the second, empty if absent.
auto read_choice(const json& body, const char* field, const char* first, const char* second)
    -> result<std::optional<bool>> {
    if (!body.contains(field)) {
        return std::optional<bool>{};
    }
    if (body[field] == first) {
        return std::optional{true};
    }
    if (body[field] == second) {
        return std::optional{false};
    }
    return malformed(fmt::format("{}: expected \"{}\" or \"{}\"", field, first, second));
}

auto check_fields(const json& body) -> result<bool> {
    static const std::set<std::string> known{"request_id",  "service", "query",      "limit",
                                             "deadline_ms", "prefer",  "idempotent", "lane"};
    for (const auto& [name, value] : body.items()) {
        if (!known.contains(name)) {
            return malformed(fmt::format("{}: not a known field", name.substr(0, MAX_REQUEST_ID_BYTES)));
        }
    }
    if (body.contains("idempotent") && !body["idempotent"].is_boolean()) {
        return malformed("idempotent: expected true or false");
    }
    return true;
}

auto dump(const json& body) -> std::string {
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto result_fields(result_code code, run_state state) -> json {
    const auto& info = describe(code);
    return {{"code", static_cast<int>(code)}, {"reason", info.name}, {"state", to_string(state)}};
}

}  // namespace

auto decode_search(std::string_view text) -> result<caller_search> {
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return malformed("the body is not a JSON object");
    }
    if (auto fields = check_fields(body); !fields) {
        return tl::unexpected{fields.error()};
    }
    auto request = read_string(body, "request_id", MAX_REQUEST_ID_BYTES);
    auto service = read_string(body, "service", MAX_REQUEST_ID_BYTES);
    auto query = read_string(body, "query", MAX_QUERY_BYTES);
    auto limit = read_number(body, "limit", 1, MAX_LIMIT);
    auto deadline = read_number(body, "deadline_ms", 0, 4'294'967'295);
    auto prefers_coverage = read_choice(body, "prefer", "coverage", "time");
    auto is_priority = read_choice(body, "lane", "priority", "ordinary");
    for (const auto* fault :
         {request ? nullptr : &request.error(), service ? nullptr : &service.error(),
          query ? nullptr : &query.error(), limit ? nullptr : &limit.error(),
          deadline ? nullptr : &deadline.error(), prefers_coverage ? nullptr : &prefers_coverage.error(),
          is_priority ? nullptr : &is_priority.error()}) {
        if (fault != nullptr) {
            return tl::unexpected{*fault};
        }
    }
    caller_search search;
    search.request = request_id{*request};
    search.service = service_id{*service};
    search.text = *query;
    search.limit = limit->value_or(search.limit);
    search.deadline_ms = *deadline;
    if (*prefers_coverage) {
        search.prefer = **prefers_coverage ? preference::coverage : preference::time;
    }
    search.idempotent = body.value("idempotent", true);
    search.requested_lane = is_priority->value_or(false) ? lane::priority : lane::ordinary;
    return search;
}

auto encode_answer(const search_answer& answer) -> std::string {
    auto body = result_fields(answer.code, answer.state);
    body["request_id"] = answer.request.value();
    body["lane"] = answer.served_in == lane::priority ? "priority" : "ordinary";
    if (answer.retry_after) {
        body["retry_after_ms"] = answer.retry_after->count() / 1000;
    }
    if (!answer.snapshot) {
        return dump(body);
    }
    body["snapshot"] = answer.snapshot->value();
    json missing = json::array();
    for (const auto& shard : answer.missing) {
        missing.push_back(fmt::format("shard-{}", shard.value()));
    }
    body["coverage"] = {{"complete", answer.complete()},
                        {"shards_total", answer.shards_total},
                        {"shards_answered", answer.shards_answered},
                        {"missing", missing}};
    json hits = json::array();
    for (const auto& found : answer.hits) {
        hits.push_back({{"record", found.record}, {"score", found.score}, {"body", found.body}});
    }
    body["hits"] = std::move(hits);
    return dump(body);
}

auto encode_refusal(result_code code, std::string_view message, const request_id& request) -> std::string {
    auto body = result_fields(code, describe(code).state);
    body["message"] = message;
    if (!request.value().empty()) {
        body["request_id"] = request.value();
    }
    return dump(body);
}

auto http_status_of(result_code code) -> int {
    switch (code) {
        case result_code::ok:
            return 200;
        case result_code::malformed_request:
        case result_code::bad_deadline:
            return 400;
        case result_code::unknown_caller:
            return 401;
        case result_code::forbidden:
            return 403;
        case result_code::unknown_service:
        case result_code::not_found:
            return 404;
        case result_code::already_claimed:
        case result_code::revision_conflict:
            return 409;
        case result_code::body_too_large:
        case result_code::document_too_large:
            return 413;
        case result_code::quarantined:
        case result_code::invalid_document:
            return 422;
        case result_code::outcome_unknown:
        case result_code::crashed_upstreams:
        case result_code::store_unclear:
        case result_code::store_bad_answer:
            return 502;
        case result_code::deadline_passed:
            return 504;
        default:
            return 503;
    }
}

auto sha256_hex(std::string_view text) -> std::string {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned i = 0; i < length; ++i) {
        hex += fmt::format("{:02x}", digest[i]);
    }
    return hex;
}

auto digests_equal(std::string_view a, std::string_view b) -> bool {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace eelgrassledge
