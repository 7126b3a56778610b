#include "eelgrassledge/claims/claim.hpp"

#include <optional>

namespace eelgrassledge {

namespace {

auto claim_key(const caller_id& caller, const request_id& request) -> std::string {
    return store_keys::CLAIMS + caller.value() + "/" + request.value();
}

auto read_claim(const store& kv_store, const std::string& key) -> result<std::optional<key_value>> {
    auto keys = kv_store.read(key);
    if (!keys) {
        return tl::unexpected{keys.error()};
    }
    for (auto& item : *keys) {
        if (item.key == key) {
            return std::optional{std::move(item)};
        }
    }
    return std::optional<key_value>{};
}

}  // namespace

auto take_claim(const store& kv_store, const caller_id& caller, const request_id& request,
                const std::string& attempt, lease_id lease) -> result<claim> {
    auto key = claim_key(caller, request);
    auto put = kv_store.put_if(key, attempt, mod_revision{}, lease);
    if (put && put->succeeded) {
        return claim{key, put->modified};
    }
    if (put) {
        return fail(result_code::already_claimed, "an earlier attempt holds the claim");
    }
    if (put.error().code == result_code::store_unavailable) {
        return fail(result_code::claim_unavailable, put.error().message);
    }
    auto stored = read_claim(kv_store, key);
    if (!stored || !stored->has_value()) {
        return fail(result_code::claim_unavailable, "the claim's answer was lost");
    }
    if ((*stored)->value != attempt) {
        return fail(result_code::already_claimed, "an earlier attempt holds the claim");
    }
    return claim{key, (*stored)->modified};
}

auto release_claim(const store& kv_store, const claim& held) -> bool {
    auto removed = kv_store.remove_if(held.key, held.modified);
    return removed && removed->succeeded;
}

}  // namespace eelgrassledge
