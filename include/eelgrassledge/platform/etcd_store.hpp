#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/platform/base64.hpp"
#include "eelgrassledge/platform/store.hpp"

namespace eelgrassledge {

/// Returns a store backed by a service that implements a subset of etcd v3's HTTP/JSON gateway: `range`,
/// `txn`, `lease/grant`, `lease/keepalive` and `lease/revoke`. The addresses are tried in order. A write is
/// retried on the next address only if the request was certainly not sent or the service answered 503.
[[nodiscard]] auto make_etcd_store(std::vector<std::string> addresses) -> store;

/// Watches a prefix and calls `on_keys` with the changed keys of each message, until it returns false, the
/// stream ends or no data arrives for `idle_timeout`. A progress message resets the idle timeout; `on_keys`
/// is called with an empty list.
auto watch_etcd_prefix(const std::string& address, const std::string& prefix, duration idle_timeout,
                       const std::function<bool(const std::vector<key_value>&)>& on_keys) -> result<bool>;

/// Returns the first key that sorts after all keys with a prefix.
[[nodiscard]] auto prefix_end(std::string prefix) -> std::string;

}  // namespace eelgrassledge
