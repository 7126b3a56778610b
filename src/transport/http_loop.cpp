#include "eelgrassledge/transport/http_loop.hpp"

#include <unistd.h>

#include <atomic>
#include <map>
#include <thread>
#include <variant>
#include <vector>

#include "curl_request.hpp"
#include "eelgrassledge/core/command_queue.hpp"
#include "idle_sockets.hpp"

namespace eelgrassledge {

namespace {

/// Maximum number of idle connections kept open over all addresses.
constexpr long MAX_IDLE_CONNECTIONS = 4000;
constexpr int MAX_WAIT_MS = 1000;

struct call {
    call_id id;
    http_request request;
    bool fresh_connection = false;
    http_loop::done on_done;
    response_sink sink;
    header_list headers;
    idle_sockets* sockets = nullptr;
    std::uint16_t local_port = 0;  ///< Of the connection that the request is sent on; zero before that.
};

/// Host and port of an http URL.
auto address_of(std::string_view url) -> std::string {
    constexpr std::string_view SCHEME = "http://";
    auto rest = url.starts_with(SCHEME) ? url.substr(SCHEME.size()) : url;
    return std::string{rest.substr(0, rest.find('/'))};
}

auto on_open_socket(void* user, curlsocktype /*purpose*/, curl_sockaddr* address) -> curl_socket_t {
    auto socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (socket >= 0) {
        auto& opening = *static_cast<call*>(user);
        opening.sockets->on_opened(socket, address_of(opening.request.url));
    }
    return socket;
}

auto on_close_socket(void* user, curl_socket_t socket) -> int {
    static_cast<idle_sockets*>(user)->on_closed(socket);
    return ::close(socket);
}

auto on_request_ready(void* user, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
                      int local_port) -> int {
    auto& ready = *static_cast<call*>(user);
    ready.local_port = static_cast<std::uint16_t>(local_port);
    ready.sockets->mark_busy(ready.local_port);
    return CURL_PREREQFUNC_OK;
}

struct drop_command {
    call_id id;
};

struct close_idle_command {
    std::string address;
};

using command = std::variant<std::unique_ptr<call>, drop_command, close_idle_command>;

}  // namespace

struct http_loop::implementation {
    implementation() : multi(curl_multi_init()) {
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
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
    }

    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    auto post(command c) -> void {
        if (commands.post(std::move(c))) {
            curl_multi_wakeup(multi);
        }
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
        for (auto& item : commands.take()) {
            if (auto* started = std::get_if<std::unique_ptr<call>>(&item)) {
                begin(std::move(*started));
                continue;
            }
            if (const auto* idle = std::get_if<close_idle_command>(&item)) {
                sockets.shut_down_idle(idle->address);
                continue;
            }
            auto found = handles.find(std::get<drop_command>(item).id);
            if (found != handles.end()) {
                release(found->second, false);
            }
        }
    }

    auto begin(std::unique_ptr<call> started) -> void {
        auto* handle = take_handle();
        started->sink.share.emplace(answers, [&body = started->sink.response.body] { body = {}; });
        started->sockets = &sockets;
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, started.get());
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, &sockets);
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, on_request_ready);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, started.get());
        started->headers = prepare(handle, started->request, started->sink);
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, started->fresh_connection ? 1L : 0L);
        handles[started->id] = handle;
        calls[handle] = std::move(started);
        ++call_count;
        curl_multi_add_handle(multi, handle);
    }

    auto finish_calls() -> void {
        int left = 0;
        while (auto* message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            auto* handle = message->easy_handle;
            auto code = message->data.result;
            long opened = 0;
            curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &opened);
            connections_opened += static_cast<std::uint64_t>(opened);
            auto result = finish_call(handle, code, calls.at(handle)->sink);
            auto ended = release(handle, code == CURLE_OK);
            ended->on_done(result);
        }
    }

    // A handle whose call failed is not reused: libcurl may have recorded on it that the body must be rewound
    // before the next request.
    auto release(CURL* handle, bool reuse_handle) -> std::unique_ptr<call> {
        auto found = calls.find(handle);
        auto ended = std::move(found->second);
        calls.erase(found);
        handles.erase(ended->id);
        sockets.mark_idle(ended->local_port);
        curl_multi_remove_handle(multi, handle);
        if (reuse_handle) {
            curl_easy_reset(handle);
            idle_handles.push_back(handle);
        } else {
            curl_easy_cleanup(handle);
        }
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

    /// Memory of the answers of all calls. Declared before the calls, which hold shares of it.
    answer_memory answers;
    idle_sockets sockets;
    CURLM* multi;
    command_queue<command> commands;
    std::map<CURL*, std::unique_ptr<call>> calls;
    std::map<call_id, CURL*> handles;
    std::vector<CURL*> idle_handles;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> connections_opened{0};
    std::atomic<std::uint64_t> call_count{0};
    std::atomic<std::uint64_t> next_id{1};
    std::thread worker;
};

http_loop::http_loop() {
    start_http_library();
    impl_ = std::make_unique<implementation>();
}

http_loop::~http_loop() = default;

auto http_loop::start(http_request request, bool fresh_connection, done on_done) -> call_id {
    auto started = std::make_unique<call>();
    started->id = call_id{impl_->next_id++};
    started->request = std::move(request);
    started->fresh_connection = fresh_connection;
    started->on_done = std::move(on_done);
    auto id = started->id;
    impl_->post(std::move(started));
    return id;
}

auto http_loop::drop(call_id call) -> void {
    impl_->post(drop_command{call});
}

auto http_loop::close_idle(std::string address) -> void {
    impl_->post(close_idle_command{std::move(address)});
}

auto http_loop::counts() const -> statistics {
    return {impl_->connections_opened, impl_->call_count};
}

auto http_loop::stop() -> void {
    impl_->stop();
}

}  // namespace eelgrassledge
