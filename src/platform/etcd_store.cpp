#include "eelgrassledge/platform/etcd_store.hpp"

#include <memory>
#include <nlohmann/json.hpp>

#include "eelgrassledge/transport/http_call.hpp"

namespace eelgrassledge {

namespace {

using nlohmann::json;

constexpr duration CALL_TIMEOUT = milliseconds{1500};

/// Reads an integer field; zero if absent. The gateway encodes 64-bit numbers as strings.
auto number_of(const json& from, const char* name) -> std::int64_t {
    if (!from.contains(name)) {
        return 0;
    }
    const auto& value = from.at(name);
    return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<std::int64_t>();
}

auto key_value_of(const json& kv) -> key_value {
    // A key or value that is not valid base64 is treated as empty; an empty key matches no known key.
    return {from_base64(kv.value("key", "")).value_or(""), from_base64(kv.value("value", "")).value_or(""),
            mod_revision{number_of(kv, "mod_revision")}};
}

/// Client of the store's HTTP/JSON gateway.
class gateway {
  public:
    explicit gateway(std::vector<std::string> addresses) : addresses_(std::move(addresses)) {}

    /// Posts to the addresses in order until one answers. With `is_write` it stops with `store_unclear` when
    /// a request may have been sent, because the write may have taken effect.
    auto post(const std::string& path, const json& body, bool is_write) -> result<json> {
        auto failure = error{result_code::store_unavailable, "no store address"};
        for (const auto& address : addresses_) {
            auto answer = call_http({"POST", "http://" + address + path, body.dump(), {}, CALL_TIMEOUT});
            if (answer.failure != http_failure::none && answer.failure != http_failure::not_sent &&
                is_write) {
                return fail(result_code::store_unclear, answer.reason);
            }
            if (answer.failure != http_failure::none) {
                failure.message = answer.reason;
                continue;
            }
            if (answer.response.status == 503) {
                failure.message = "the store answered 503";
                continue;
            }
            return parse(answer.response);
        }
        return tl::unexpected{failure};
    }

  private:
    static auto parse(const http_response& response) -> result<json> {
        if (response.status != 200) {
            return fail(result_code::store_bad_answer, "status " + std::to_string(response.status));
        }
        auto parsed = json::parse(response.body, nullptr, false);
        if (!parsed.is_object()) {
            return fail(result_code::store_bad_answer, "not a JSON object");
        }
        return parsed;
    }

    std::vector<std::string> addresses_;
};

/// Converts the gateway's answer to a typed value; an answer of unexpected structure becomes
/// `store_bad_answer`.
template <class T, class Convert>
auto convert_answer(const result<json>& answer, Convert conversion) -> result<T> {
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    try {
        return conversion(*answer);
    } catch (const std::exception& e) {
        return fail(result_code::store_bad_answer, e.what());
    }
}

auto put_outcome_of(const json& answer) -> put_outcome {
    put_outcome outcome;
    outcome.succeeded = answer.value("succeeded", false);
    outcome.modified = mod_revision{number_of(answer.at("header"), "revision")};
    return outcome;
}

auto compare_revision(const std::string& key, mod_revision expected) -> json {
    return json::array({{{"key", to_base64(key)},
                         {"target", "MOD"},
                         {"result", "EQUAL"},
                         {"mod_revision", std::to_string(expected.value())}}});
}

auto put_request(const std::string& key, const std::string& value, lease_id lease) -> json {
    json put{{"key", to_base64(key)}, {"value", to_base64(value)}};
    if (lease.value() != 0) {
        put["lease"] = std::to_string(lease.value());
    }
    return {{"requestPut", put}};
}

auto lease_body(lease_id lease) -> json {
    return {{"ID", std::to_string(lease.value())}};
}

}  // namespace

auto prefix_end(std::string prefix) -> std::string {
    while (!prefix.empty()) {
        auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xFF) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

auto make_etcd_store(std::vector<std::string> addresses) -> store {
    auto service = std::make_shared<gateway>(std::move(addresses));
    store hooks;
    hooks.read = [service](const std::string& prefix) {
        json body{{"key", to_base64(prefix)}, {"range_end", to_base64(prefix_end(prefix))}};
        return convert_answer<std::vector<key_value>>(
            service->post("/v3/kv/range", body, false), [](const json& from) {
                std::vector<key_value> keys;
                for (const auto& kv : from.value("kvs", json::array())) {
                    keys.push_back(key_value_of(kv));
                }
                return keys;
            });
    };
    hooks.put_if = [service](const std::string& key, const std::string& value, mod_revision expected,
                             lease_id lease) {
        json body{{"compare", compare_revision(key, expected)},
                  {"success", json::array({put_request(key, value, lease)})}};
        return convert_answer<put_outcome>(service->post("/v3/kv/txn", body, true), put_outcome_of);
    };
    hooks.remove_if = [service](const std::string& key, mod_revision expected) {
        json remove{{"requestDeleteRange", {{"key", to_base64(key)}}}};
        json body{{"compare", compare_revision(key, expected)}, {"success", json::array({remove})}};
        return convert_answer<put_outcome>(service->post("/v3/kv/txn", body, true), put_outcome_of);
    };
    hooks.grant = [service](seconds time_to_live) {
        json body{{"TTL", std::to_string(time_to_live.count())}};
        return convert_answer<lease_id>(service->post("/v3/lease/grant", body, true),
                                        [](const json& from) { return lease_id{number_of(from, "ID")}; });
    };
    hooks.keep_alive = [service](lease_id lease) {
        return convert_answer<seconds>(
            service->post("/v3/lease/keepalive", lease_body(lease), false),
            [](const json& from) { return seconds{number_of(from.at("result"), "TTL")}; });
    };
    hooks.revoke = [service](lease_id lease) {
        return convert_answer<bool>(service->post("/v3/lease/revoke", lease_body(lease), true),
                                    [](const json&) { return true; });
    };
    return hooks;
}

auto watch_etcd_prefix(const std::string& address, const std::string& prefix, duration idle_timeout,
                       const std::function<bool(const std::vector<key_value>&)>& on_keys) -> result<bool> {
    json create{
        {"key", to_base64(prefix)}, {"range_end", to_base64(prefix_end(prefix))}, {"progress_notify", true}};
    json body{{"create_request", create}};
    auto bad_line = false;
    auto on_line = [&](std::string_view line) {
        auto parsed = json::parse(line, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("result")) {
            bad_line = true;
            return false;
        }
        std::vector<key_value> keys;
        for (const auto& event : parsed["result"].value("events", json::array())) {
            if (event.contains("kv")) {
                keys.push_back(key_value_of(event["kv"]));
            }
        }
        return on_keys(keys);
    };
    auto stream_result = stream_http(
        {"POST", "http://" + address + "/v3/watch", body.dump(), {}, duration{0}}, idle_timeout, on_line);
    if (bad_line) {
        return fail(result_code::store_bad_answer, "watch: not a JSON object with a result");
    }
    if (stream_result.failure == http_failure::not_sent) {
        return fail(result_code::store_unavailable, stream_result.reason);
    }
    return true;
}

}  // namespace eelgrassledge
