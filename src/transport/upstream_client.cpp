#include "eelgrassledge/transport/upstream_client.hpp"

#include <curl/curl.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <variant>
#include <vector>

#include "eelgrassledge/transport/http_call.hpp"

namespace eelgrassledge {

namespace {

constexpr long CONNECT_TIMEOUT_MS = 1000;
constexpr long POLL_TIMEOUT_MS = 900;
/// Idle connections kept over all upstreams.
constexpr long MAX_IDLE_CONNECTIONS = 4000;
constexpr int MAX_WAIT_MS = 1000;
constexpr std::size_t MAX_BODY_BYTES = std::size_t{8} << 20U;

enum class call_kind : std::uint8_t { search, cancel, poll };

struct call {
    call_kind kind = call_kind::search;
    sub_key key;
    wire_id id;
    CURL* handle = nullptr;
    std::string url;
    std::string body;
    std::string response;
    bool fresh_connection = false;
    upstream_client::send_done on_sent;
    upstream_client::poll_done on_polled;
};

struct abort_command {
    std::string address;
    abort_action action;
};

using command = std::variant<std::unique_ptr<call>, abort_command>;

/// A random start for wire ids, so that those of two processes do not meet.
auto first_wire_id() -> std::uint64_t {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 31U) ^ device();
}

auto on_body(char* data, std::size_t size, std::size_t count, void* user) -> std::size_t {
    auto& response = static_cast<call*>(user)->response;
    if (response.size() + size * count > MAX_BODY_BYTES) {
        return 0;
    }
    response.append(data, size * count);
    return size * count;
}

}  // namespace

struct upstream_client::implementation {
    implementation() : multi(curl_multi_init()) {
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
        headers = curl_slist_append(nullptr, "Content-Type: application/json");
        headers = curl_slist_append(headers, "Expect:");
        worker = std::thread{[this] { run(); }};
    }

    ~implementation() {
        stop();
        for (auto& [handle, owned] : calls) {
            curl_multi_remove_handle(multi, handle);
            curl_easy_cleanup(handle);
        }
        for (auto* handle : idle_handles) {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(multi);
        curl_slist_free_all(headers);
    }

    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    auto post(command c) -> void {
        {
            std::scoped_lock guard{lock};
            commands.push_back(std::move(c));
        }
        curl_multi_wakeup(multi);
    }

    auto stop() -> void {
        stopping = true;
        curl_multi_wakeup(multi);
        if (worker.joinable()) {
            worker.join();
        }
    }

    auto run() -> void {
        while (!stopping) {
            take_commands();
            int active = 0;
            curl_multi_perform(multi, &active);
            finish_calls();
            curl_multi_poll(multi, nullptr, 0, MAX_WAIT_MS, nullptr);
        }
    }

    auto take_commands() -> void {
        std::vector<command> taken;
        {
            std::scoped_lock guard{lock};
            taken.swap(commands);
        }
        for (auto& item : taken) {
            if (auto* start = std::get_if<std::unique_ptr<call>>(&item)) {
                begin(std::move(*start));
            } else {
                abort(std::get<abort_command>(item));
            }
        }
    }

    auto begin(std::unique_ptr<call> started) -> void {
        auto* handle = take_handle();
        started->handle = handle;
        curl_easy_setopt(handle, CURLOPT_URL, started->url.c_str());
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, started.get());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, started->fresh_connection ? 1L : 0L);
        if (started->kind == call_kind::poll) {
            curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, POLL_TIMEOUT_MS);
        } else {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(started->body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, started->body.c_str());
            curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        }
        if (started->kind == call_kind::search) {
            searches[started->key] = handle;
        }
        ++requests;
        calls[handle] = std::move(started);
        curl_multi_add_handle(multi, handle);
    }

    auto abort(const abort_command& aborted) -> void {
        auto found = searches.find(aborted.action.key);
        if (found == searches.end()) {
            return;
        }
        if (aborted.action.close_connection) {
            release(found->second);
            return;
        }
        auto cancel = std::make_unique<call>();
        cancel->kind = call_kind::cancel;
        cancel->url = "http://" + aborted.address + "/cancel";
        cancel->body = "{\"sub_id\":" + std::to_string(calls.at(found->second)->id.value()) + "}";
        begin(std::move(cancel));
    }

    auto finish_calls() -> void {
        int left = 0;
        while (auto* message = curl_multi_info_read(multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    auto finish(CURL* handle, CURLcode code) -> void {
        long status = 0;
        long opened = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &opened);
        connections_opened += static_cast<std::uint64_t>(opened);
        auto ended = release(handle);
        if (ended->kind == call_kind::search) {
            ended->on_sent(ended->key, outcome_of(*ended, code, static_cast<int>(status)));
        } else if (ended->kind == call_kind::poll) {
            auto answered = code == CURLE_OK && status == 200;
            ended->on_polled(answered ? decode_upstream_status(ended->response) : std::nullopt);
        }
    }

    static auto outcome_of(const call& ended, CURLcode code, int status) -> send_outcome {
        if (code == CURLE_OK) {
            return decode_upstream_answer(status, ended.response, ended.id);
        }
        send_outcome outcome;
        outcome.code = result_code::upstream_failed;
        if (code == CURLE_COULDNT_CONNECT) {
            outcome.code = result_code::upstream_unreachable;
        } else if (code == CURLE_WRITE_ERROR) {
            outcome.code = result_code::bad_answer;
        }
        return outcome;
    }

    auto release(CURL* handle) -> std::unique_ptr<call> {
        auto found = calls.find(handle);
        auto ended = std::move(found->second);
        calls.erase(found);
        if (ended->kind == call_kind::search) {
            searches.erase(ended->key);
        }
        curl_multi_remove_handle(multi, handle);
        curl_easy_reset(handle);
        idle_handles.push_back(handle);
        return ended;
    }

    auto take_handle() -> CURL* {
        if (idle_handles.empty()) {
            return curl_easy_init();
        }
        auto* handle = idle_handles.back();
        idle_handles.pop_back();
        return handle;
    }

    CURLM* multi;
    curl_slist* headers = nullptr;
    std::mutex lock;
    std::vector<command> commands;
    std::map<CURL*, std::unique_ptr<call>> calls;
    std::map<sub_key, CURL*> searches;
    std::vector<CURL*> idle_handles;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> connections_opened{0};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> next_wire_id{first_wire_id()};
    std::thread worker;
};

upstream_client::upstream_client() {
    start_http_library();
    impl_ = std::make_unique<implementation>();
}

upstream_client::~upstream_client() = default;

auto upstream_client::send(const std::string& address, const send_action& action, send_done done) -> void {
    auto started = std::make_unique<call>();
    started->kind = call_kind::search;
    started->key = action.request.key;
    started->url = "http://" + address + "/search";
    started->id = wire_id{impl_->next_wire_id++};
    started->body = encode_sub_request(action.request, started->id, action.deadline);
    started->fresh_connection = action.fresh_connection;
    started->on_sent = std::move(done);
    impl_->post(std::move(started));
}

auto upstream_client::abort(const std::string& address, const abort_action& action) -> void {
    impl_->post(abort_command{address, action});
}

auto upstream_client::poll(const std::string& address, poll_done done) -> void {
    auto started = std::make_unique<call>();
    started->kind = call_kind::poll;
    started->url = "http://" + address + "/status";
    started->on_polled = std::move(done);
    impl_->post(std::move(started));
}

auto upstream_client::counts() const -> statistics {
    return {impl_->connections_opened, impl_->requests};
}

auto upstream_client::stop() -> void {
    impl_->stop();
}

}  // namespace eelgrassledge
