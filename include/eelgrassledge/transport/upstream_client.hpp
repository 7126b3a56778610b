#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "eelgrassledge/broker/upstream_broker.hpp"
#include "eelgrassledge/transport/http_loop.hpp"

namespace eelgrassledge {

/// Id of a sub-request in the request to an upstream, which the answer repeats. Unlike the id assigned by the
/// entry, it is unique among all senders to the upstream, with overwhelming probability.
using wire_id = strong_type<struct wire_id_tag, std::uint64_t>;

/// Sends sub-requests to upstreams over HTTP/1.1, many concurrently, on its own thread.
///
/// Connections are pooled. Aborting a request with `close_connection` closes its connection; after a plain
/// cancellation the client waits for the answer so that the connection can be reused.
class upstream_client {
  public:
    using send_done = std::function<void(const sub_key&, const send_outcome&)>;
    using poll_done = std::function<void(const std::optional<upstream_status>&)>;

    upstream_client();
    ~upstream_client() = default;
    upstream_client(const upstream_client&) = delete;
    auto operator=(const upstream_client&) -> upstream_client& = delete;

    /// Sends a sub-request. `done` is called once on the client's thread, including when the request fails or
    /// is aborted without closing its connection.
    auto send(const std::string& address, const send_action& action, send_done done) -> void;

    /// Cancels a sub-request that was sent. With `close_connection` its `done` is never called.
    auto abort(const std::string& address, const abort_action& action) -> void;

    /// Closes the connections to an upstream on which no call is in progress.
    auto close_idle(const std::string& address) -> void;

    /// Requests the status of an upstream. `done` receives nothing if the call fails or the response is
    /// invalid.
    auto poll(const std::string& address, poll_done done) -> void;

    [[nodiscard]] auto counts() const -> http_loop::statistics;

    /// Ends the thread. Calls in flight are dropped without calling their `done`.
    auto stop() -> void;

  private:
    struct sent_request {
        call_id call;
        wire_id id;
    };
    auto finish(const sub_key& key, wire_id id, const http_result& result, const send_done& done) -> void;

    std::mutex lock_;
    std::map<sub_key, sent_request> sent_;
    std::atomic<std::uint64_t> next_wire_id_;
    http_loop loop_;
};

/// Encodes a sub-request as the JSON body of the HTTP request.
[[nodiscard]] auto encode_sub_request(const sub_request& request, wire_id id, time_point deadline)
    -> std::string;

/// Decodes an upstream's answer. The outcome is `bad_answer` if the answer is malformed or for another
/// sub-request.
[[nodiscard]] auto decode_upstream_answer(int status, const std::string& body, wire_id id) -> send_outcome;

/// Decodes an upstream's status; empty if it is malformed.
[[nodiscard]] auto decode_upstream_status(const std::string& body) -> std::optional<upstream_status>;

}  // namespace eelgrassledge
