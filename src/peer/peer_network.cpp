#include "eelgrassledge/peer/peer_network.hpp"

#include <capnp/rpc-twoparty.h>
#include <fcntl.h>
#include <kj/async-io.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <map>
#include <thread>
#include <variant>

#include "eelgrassledge/core/command_queue.hpp"
#include "wire_conversions.hpp"

namespace eelgrassledge {

namespace {

/// Pause before a peer that could not be reached is dialled again.
constexpr duration REDIAL_PAUSE = milliseconds{200};
constexpr auto SYNC_TIMEOUT = 1500 * kj::MILLISECONDS;
constexpr auto DIAL_TIMEOUT = 1000 * kj::MILLISECONDS;

struct send_command {
    std::string address;
    sub_request request;
};
struct cancel_command {
    std::string address;
    sub_request_id id;
};
struct sync_command {
    std::string address;
    sync_request request;
};
struct loads_command {
    std::string address;
};
struct stop_command {};
using command =
    std::variant<send_command, cancel_command, broker_message, sync_command, loads_command, stop_command>;

/// Receives the answers of one broker.
class answer_sink final : public wire::AnswerSink::Server {
  public:
    explicit answer_sink(const peer_hooks& hooks) : hooks_(hooks) {}

    auto deliver(DeliverContext context) -> kj::Promise<void> override {
        for (auto answer : context.getParams().getAnswers()) {
            hooks_.on_message(from_wire(answer));
        }
        return kj::READY_NOW;
    }

  private:
    const peer_hooks& hooks_;
};

/// One connection to a broker.
struct outgoing_link {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    kj::Maybe<wire::Session::Client> session;
    kj::Maybe<wire::Peer::Client> peer;
    std::vector<sub_request> waiting;
    std::vector<sub_request_id> cancelled;
    std::vector<sync_request> syncs;
    bool wants_loads = false;
    std::uint64_t generation = 0;
    bool connected = false;
    time_point redial_at{};
};

}  // namespace

struct peer_network::implementation final : kj::TaskSet::ErrorHandler {
    implementation(std::string address, peer_hooks given)
        : listen_address(std::move(address)), hooks(std::move(given)) {
        if (::pipe2(wake_pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
            return;
        }
        std::promise<bool> started;
        auto ready = started.get_future();
        worker = std::thread{[this, &started] { run(started); }};
        is_listening = ready.get();
    }

    ~implementation() {
        stop();
        ::close(wake_pipe[0]);
        ::close(wake_pipe[1]);
    }

    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    auto post(command c) -> void {
        if (commands.post(std::move(c))) {
            // A full pipe wakes the loop as well.
            [[maybe_unused]] auto written = ::write(wake_pipe[1], "w", 1);
        }
    }

    auto stop() -> void {
        if (worker.joinable()) {
            post(stop_command{});
            worker.join();
        }
    }

    auto taskFailed(kj::Exception&& failure) -> void override {
        hooks.on_task_failed(failure.getDescription().cStr());
    }

    // ---- the network's thread ----

    class session_server;
    class peer_server;

    auto run(std::promise<bool>& started) -> void {
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
        // Everything that belongs to the event loop is dropped on its thread, users before what they use.
        kj::runCatchingExceptions([&] {
            running_tasks = nullptr;
            links.clear();
            sinks.clear();
            receiver = nullptr;
            server = nullptr;
        });
        wake_input = nullptr;
        on_stop = nullptr;
    }

    auto listen() -> void;

    auto read_wakeups() -> kj::Promise<void> {
        return wake_input->tryRead(wake_buffer.data(), 1, wake_buffer.size()).then([this](std::size_t) {
            take_commands();
            return read_wakeups();
        });
    }

    auto take_commands() -> void {
        auto taken = commands.take();
        std::map<link_id, std::vector<broker_message>> replies;
        for (auto& item : taken) {
            if (auto* send = std::get_if<send_command>(&item)) {
                auto address = send->address;
                link_to(address).waiting.push_back(std::move(send->request));
                dirty.insert(address);
            } else if (auto* cancelled = std::get_if<cancel_command>(&item)) {
                link_to(cancelled->address).cancelled.push_back(cancelled->id);
                dirty.insert(cancelled->address);
            } else if (auto* message = std::get_if<broker_message>(&item)) {
                replies[message->answer.key.link].push_back(std::move(*message));
            } else if (auto* sync = std::get_if<sync_command>(&item)) {
                link_to(sync->address).syncs.push_back(std::move(sync->request));
                dirty.insert(sync->address);
            } else if (auto* loads = std::get_if<loads_command>(&item)) {
                link_to(loads->address).wants_loads = true;
                dirty.insert(loads->address);
            } else {
                on_stop->fulfill();
                return;
            }
        }
        for (const auto& [link, messages] : replies) {
            deliver(link, messages);
        }
        auto changed = std::move(dirty);
        dirty.clear();
        for (const auto& address : changed) {
            flush(address);
        }
    }

    auto deliver(link_id link, const std::vector<broker_message>& messages) -> void {
        auto found = sinks.find(link);
        if (found == sinks.end()) {
            return;
        }
        auto request = found->second.deliverRequest();
        auto list = request.initAnswers(static_cast<unsigned>(messages.size()));
        for (unsigned i = 0; i < messages.size(); ++i) {
            to_wire(messages[i], list[i]);
        }
        messages_out += messages.size();
        tasks->add(request.send().ignoreResult());
    }

    auto link_to(const std::string& address) -> outgoing_link& { return links[address]; }

    auto flush(const std::string& address) -> void {
        auto& link = link_to(address);
        if (!link.connected) {
            dial(address, link);
            return;
        }
        if (!link.waiting.empty()) {
            KJ_IF_MAYBE (session, link.session) {
                send_batch(*session, link);
            }
        }
        if (!link.cancelled.empty()) {
            KJ_IF_MAYBE (session, link.session) {
                auto request = session->cancelRequest();
                auto ids = request.initIds(static_cast<unsigned>(link.cancelled.size()));
                for (unsigned i = 0; i < link.cancelled.size(); ++i) {
                    ids.set(i, link.cancelled[i].value());
                }
                link.cancelled.clear();
                tasks->add(request.send().ignoreResult());
            }
        }
        if (link.wants_loads) {
            KJ_IF_MAYBE (session, link.session) {
                tasks->add(session->loadsRequest().send().then([this](auto&& response) {
                    std::vector<upstream_load> loads;
                    for (auto load : response.getLoads()) {
                        loads.push_back(from_wire(load));
                    }
                    hooks.on_loads(loads);
                }));
            }
            link.wants_loads = false;
        }
        auto syncs = std::move(link.syncs);
        link.syncs.clear();
        for (const auto& request : syncs) {
            send_sync(address, link, request);
        }
    }

    auto send_batch(wire::Session::Client& session, outgoing_link& link) -> void {
        auto request = session.runRequest();
        auto batch = request.initBatch(static_cast<unsigned>(link.waiting.size()));
        for (unsigned i = 0; i < link.waiting.size(); ++i) {
            to_wire(link.waiting[i], batch[i]);
        }
        sub_requests_out += link.waiting.size();
        link.waiting.clear();
        tasks->add(request.send().ignoreResult());
    }

    auto send_sync(const std::string& address, outgoing_link& link, const sync_request& from) -> void {
        KJ_IF_MAYBE (peer, link.peer) {
            auto request = peer->syncRequest();
            to_wire(from, request.initRequest());
            auto sent = monotonic_now();
            ++syncs_out;
            auto& timer = io->provider->getTimer();
            tasks->add(timer.timeoutAfter(SYNC_TIMEOUT, request.send())
                           .then(
                               [this, address, sent](auto&& response) {
                                   hooks.on_sync_reply(address, from_wire(response.getReply()), sent);
                               },
                               [this, address](kj::Exception&&) { hooks.on_sync_failed(address); }));
        }
    }

    auto dial(const std::string& address, outgoing_link& link) -> void {
        if (link.redial_at > monotonic_now()) {
            fail_waiting(address, link);
            return;
        }
        if (dialling.contains(address)) {
            return;
        }
        auto generation = ++next_generation;
        link.generation = generation;
        link.redial_at = time_point{};
        dialling.insert(address);
        auto connecting =
            io->provider->getNetwork().parseAddress(address).then([](kj::Own<kj::NetworkAddress>&& target) {
                auto connected = target->connect();
                return connected.attach(kj::mv(target));
            });
        tasks->add(io->provider->getTimer()
                       .timeoutAfter(DIAL_TIMEOUT, kj::mv(connecting))
                       .then(
                           [this, address, generation](kj::Own<kj::AsyncIoStream>&& stream) {
                               connected(address, generation, kj::mv(stream));
                           },
                           [this, address, generation](kj::Exception&&) { lost(address, generation); }));
    }

    auto connected(const std::string& address, std::uint64_t generation, kj::Own<kj::AsyncIoStream> stream)
        -> void {
        dialling.erase(address);
        auto& link = link_to(address);
        if (link.generation != generation) {
            return;
        }
        link.stream = kj::mv(stream);
        link.client = kj::heap<capnp::TwoPartyClient>(*link.stream);
        auto peer = link.client->bootstrap().castAs<wire::Peer>();
        auto open = peer.openRequest();
        open.setSink(kj::heap<answer_sink>(hooks));
        link.session = open.send().getSession();
        link.peer = kj::mv(peer);
        link.connected = true;
        ++links_out;
        tasks->add(
            link.client->onDisconnect().then([this, address, generation] { lost(address, generation); }));
        flush(address);
    }

    auto lost(const std::string& address, std::uint64_t generation) -> void {
        dialling.erase(address);
        auto found = links.find(address);
        if (found == links.end() || found->second.generation != generation) {
            return;
        }
        auto& link = found->second;
        auto was_connected = link.connected;
        link.connected = false;
        link.redial_at = monotonic_now() + REDIAL_PAUSE;
        // The connection is dropped once the callback that reported its loss has returned.
        auto dropped = kj::heap<outgoing_link>();
        dropped->client = kj::mv(link.client);
        dropped->stream = kj::mv(link.stream);
        dropped->session = kj::mv(link.session);
        dropped->peer = kj::mv(link.peer);
        link.session = nullptr;
        link.peer = nullptr;
        tasks->add(kj::evalLater([keep = kj::mv(dropped)]() mutable {
            keep->session = nullptr;
            keep->peer = nullptr;
            keep->client = nullptr;
            keep->stream = nullptr;
        }));
        if (was_connected) {
            hooks.on_broker_lost(address);
        }
        fail_waiting(address, link);
    }

    auto fail_waiting(const std::string& address, outgoing_link& link) -> void {
        auto had_work = !link.waiting.empty();
        auto syncs = link.syncs.size();
        auto unsent = std::move(link.waiting);
        link.waiting.clear();
        link.cancelled.clear();
        link.syncs.clear();
        if (had_work) {
            for (const auto& request : unsent) {
                broker_message message;
                message.answer.key = request.key;
                message.answer.code = result_code::upstream_unreachable;
                message.answer.snapshot = request.snapshot;
                message.answer.shard = request.shard;
                hooks.on_message(std::move(message));
            }
        }
        for (std::size_t i = 0; i < syncs; ++i) {
            hooks.on_sync_failed(address);
        }
    }

    std::string listen_address;
    peer_hooks hooks;
    std::array<int, 2> wake_pipe{-1, -1};
    std::array<char, 4096> wake_buffer{};
    command_queue<command> commands;
    bool is_listening = false;

    kj::AsyncIoContext* io = nullptr;
    kj::TaskSet* tasks = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> on_stop;
    kj::Own<kj::AsyncInputStream> wake_input;
    kj::Own<capnp::TwoPartyServer> server;
    kj::Own<kj::ConnectionReceiver> receiver;
    std::map<std::string, outgoing_link> links;
    std::set<std::string> dirty;
    std::set<std::string> dialling;
    std::map<link_id, wire::AnswerSink::Client> sinks;
    std::uint64_t next_generation = 0;
    std::uint64_t next_link = 1;
    std::atomic<std::uint64_t> sub_requests_out{0};
    std::atomic<std::uint64_t> messages_out{0};
    std::atomic<std::uint64_t> syncs_out{0};
    std::atomic<std::uint64_t> links_in{0};
    std::atomic<std::uint64_t> links_out{0};
    std::thread worker;
};

/// Serves the sub-requests of one entry.
class peer_network::implementation::session_server final : public wire::Session::Server {
  public:
    session_server(implementation& owner, wire::AnswerSink::Client sink)
        : owner_(owner), link_(owner.next_link++) {
        owner_.sinks.emplace(link_, kj::mv(sink));
        ++owner_.links_in;
    }
    ~session_server() noexcept(false) {
        owner_.sinks.erase(link_);
        owner_.hooks.on_link_closed(link_);
    }
    session_server(const session_server&) = delete;
    auto operator=(const session_server&) -> session_server& = delete;

    auto run(RunContext context) -> kj::Promise<void> override {
        for (auto request : context.getParams().getBatch()) {
            owner_.hooks.on_sub_request(from_wire(request, link_));
        }
        return kj::READY_NOW;
    }

    auto cancel(CancelContext context) -> kj::Promise<void> override {
        for (auto id : context.getParams().getIds()) {
            owner_.hooks.on_cancel({link_, sub_request_id{id}});
        }
        return kj::READY_NOW;
    }

    auto loads(LoadsContext context) -> kj::Promise<void> override {
        auto loads = owner_.hooks.on_ask_loads();
        auto list = context.getResults().initLoads(static_cast<unsigned>(loads.size()));
        for (unsigned i = 0; i < loads.size(); ++i) {
            to_wire(loads[i], list[i]);
        }
        return kj::READY_NOW;
    }

  private:
    implementation& owner_;
    link_id link_;
};

class peer_network::implementation::peer_server final : public wire::Peer::Server {
  public:
    explicit peer_server(implementation& owner) : owner_(owner) {}

    auto open(OpenContext context) -> kj::Promise<void> override {
        context.getResults().setSession(kj::heap<session_server>(owner_, context.getParams().getSink()));
        return kj::READY_NOW;
    }

    auto sync(SyncContext context) -> kj::Promise<void> override {
        auto reply = owner_.hooks.on_sync(from_wire(context.getParams().getRequest()));
        to_wire(reply, context.getResults().initReply());
        return kj::READY_NOW;
    }

  private:
    implementation& owner_;
};

auto peer_network::implementation::listen() -> void {
    server = kj::heap<capnp::TwoPartyServer>(kj::heap<peer_server>(*this));
    auto address = io->provider->getNetwork().parseAddress(listen_address).wait(io->waitScope);
    receiver = address->listen();
    tasks->add(server->listen(*receiver));
}

peer_network::peer_network(std::string listen_address, peer_hooks hooks)
    : impl_(std::make_unique<implementation>(std::move(listen_address), std::move(hooks))) {}

peer_network::~peer_network() = default;

auto peer_network::listening() const -> bool {
    return impl_->is_listening;
}

auto peer_network::send(const std::string& address, sub_request request) -> void {
    impl_->post(send_command{address, std::move(request)});
}

auto peer_network::cancel(const std::string& address, sub_request_id id) -> void {
    impl_->post(cancel_command{address, id});
}

auto peer_network::ask_loads(const std::string& address) -> void {
    impl_->post(loads_command{address});
}

auto peer_network::reply(broker_message message) -> void {
    impl_->post(std::move(message));
}

auto peer_network::sync(const std::string& address, sync_request request) -> void {
    impl_->post(sync_command{address, std::move(request)});
}

auto peer_network::counts() const -> statistics {
    return {impl_->sub_requests_out, impl_->messages_out, impl_->syncs_out, impl_->links_in,
            impl_->links_out};
}

auto peer_network::stop() -> void {
    impl_->stop();
}

}  // namespace eelgrassledge
