#include "eelgrassledge/peer/peer_network.hpp"

#include <fcntl.h>
#include <unistd.h>

#include "peer_loop.hpp"

namespace eelgrassledge {

peer_network::implementation::implementation(std::string address, session_limits limits, peer_hooks callbacks)
    : listen_address(std::move(address)), limits_in(limits), hooks(std::move(callbacks)) {
    if (::pipe2(wake_pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return;
    }
    std::promise<bool> started;
    auto ready = started.get_future();
    worker = std::thread{[this, &started] { run(started); }};
    is_listening = ready.get();
}

peer_network::implementation::~implementation() {
    stop();
    ::close(wake_pipe[0]);
    ::close(wake_pipe[1]);
}

auto peer_network::implementation::post(command c) -> void {
    if (commands.post(std::move(c))) {
        // The result can be ignored: if the pipe is full, the loop is already going to wake up.
        [[maybe_unused]] auto written = ::write(wake_pipe[1], "w", 1);
    }
}

auto peer_network::implementation::stop() -> void {
    if (worker.joinable()) {
        post(stop_command{});
        worker.join();
    }
}

auto peer_network::implementation::taskFailed(kj::Exception&& failure) -> void {
    hooks.on_task_failed(failure.getDescription().cStr());
}

auto peer_network::implementation::run(std::promise<bool>& started) -> void {
    auto context = kj::setupAsyncIo();
    io = &context;
    auto running_tasks = kj::heap<kj::TaskSet>(*this);
    tasks = running_tasks.get();
    auto stopped = kj::newPromiseAndFulfiller<void>();
    on_stop = kj::mv(stopped.fulfiller);
    kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] { listen(); });
    auto ok = failure == nullptr;
    started.set_value(ok);
    if (ok) {
        wake_input = context.lowLevelProvider->wrapInputFd(wake_pipe[0]);
        tasks->add(read_wakeups());
        stopped.promise.wait(context.waitScope);
    }
    // Objects of the event loop must be destroyed on its thread, and before the objects they depend on.
    kj::runCatchingExceptions([&] {
        running_tasks = nullptr;
        links.clear();
        answer_sinks.clear();
        connections_in = nullptr;
        receiver = nullptr;
        server = nullptr;
    });
    wake_input = nullptr;
    on_stop = nullptr;
}

auto peer_network::implementation::read_wakeups() -> kj::Promise<void> {
    return wake_input->tryRead(wake_buffer.data(), 1, wake_buffer.size()).then([this](std::size_t) {
        take_commands();
        return read_wakeups();
    });
}

auto peer_network::implementation::take_commands() -> void {
    auto taken = commands.take();
    std::map<link_id, std::vector<broker_message>> replies;
    for (auto& item : taken) {
        if (auto* send = std::get_if<send_command>(&item)) {
            auto address = send->address;
            link_to(address).unsent_requests.push_back(std::move(send->request));
            addresses_to_flush.insert(address);
        } else if (auto* cancelled = std::get_if<cancel_command>(&item)) {
            link_to(cancelled->address).pending_cancels.push_back(cancelled->id);
            addresses_to_flush.insert(cancelled->address);
        } else if (auto* message = std::get_if<broker_message>(&item)) {
            replies[message->answer.key.link].push_back(std::move(*message));
        } else if (auto* sync = std::get_if<sync_command>(&item)) {
            link_to(sync->address).pending_syncs.push_back(std::move(sync->request));
            addresses_to_flush.insert(sync->address);
        } else if (auto* loads = std::get_if<loads_command>(&item)) {
            link_to(loads->address).loads_requested = true;
            addresses_to_flush.insert(loads->address);
        } else {
            on_stop->fulfill();
            return;
        }
    }
    for (const auto& [link, messages] : replies) {
        deliver(link, messages);
    }
    auto changed = std::move(addresses_to_flush);
    addresses_to_flush.clear();
    for (const auto& address : changed) {
        flush(address);
    }
}

peer_network::peer_network(std::string listen_address, session_limits limits, peer_hooks hooks)
    : impl_(std::make_unique<implementation>(std::move(listen_address), limits, std::move(hooks))) {}

peer_network::~peer_network() = default;

auto peer_network::listening() const -> bool {
    return impl_->is_listening;
}

auto peer_network::send(const std::string& address, sub_request request) -> void {
    impl_->post(implementation::send_command{address, std::move(request)});
}

auto peer_network::cancel(const std::string& address, sub_request_id id) -> void {
    impl_->post(implementation::cancel_command{address, id});
}

auto peer_network::ask_loads(const std::string& address) -> void {
    impl_->post(implementation::loads_command{address});
}

auto peer_network::reply(broker_message message) -> void {
    impl_->post(std::move(message));
}

auto peer_network::sync(const std::string& address, sync_request request) -> void {
    impl_->post(implementation::sync_command{address, std::move(request)});
}

auto peer_network::counts() const -> statistics {
    return {impl_->sub_requests_out, impl_->messages_out, impl_->syncs_out, impl_->links_in,
            impl_->links_out};
}

auto peer_network::stop() -> void {
    impl_->stop();
}

}  // namespace eelgrassledge
