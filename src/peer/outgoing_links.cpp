// Connections to brokers: sends sub-requests, cancellations, load requests and syncs, and receives the
// answers.

#include "peer_loop.hpp"

namespace eelgrassledge {

namespace {

/// Delay after a lost connection or failed attempt before the next attempt to the same peer.
constexpr duration RECONNECT_DELAY = milliseconds{200};
constexpr auto SYNC_TIMEOUT = 1500 * kj::MILLISECONDS;
constexpr auto CONNECT_TIMEOUT = 1000 * kj::MILLISECONDS;

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

}  // namespace

auto peer_network::implementation::flush(const std::string& address) -> void {
    auto& link = link_to(address);
    if (!link.connected) {
        open_connection(address, link);
        return;
    }
    if (!link.unsent_requests.empty()) {
        KJ_IF_MAYBE (session, link.session) {
            send_batch(*session, link);
        }
    }
    if (!link.pending_cancels.empty()) {
        KJ_IF_MAYBE (session, link.session) {
            auto request = session->cancelRequest();
            auto ids = request.initIds(static_cast<unsigned>(link.pending_cancels.size()));
            for (unsigned i = 0; i < link.pending_cancels.size(); ++i) {
                ids.set(i, link.pending_cancels[i].value());
            }
            link.pending_cancels.clear();
            tasks->add(request.send().ignoreResult());
        }
    }
    if (link.loads_requested) {
        KJ_IF_MAYBE (session, link.session) {
            tasks->add(session->loadsRequest().send().then([this](auto&& response) {
                std::vector<upstream_load> loads;
                for (auto load : response.getLoads()) {
                    loads.push_back(from_wire(load));
                }
                hooks.on_loads(loads);
            }));
        }
        link.loads_requested = false;
    }
    auto syncs = std::move(link.pending_syncs);
    link.pending_syncs.clear();
    for (const auto& request : syncs) {
        send_sync(address, link, request);
    }
}

auto peer_network::implementation::send_batch(wire::Session::Client& session, outgoing_link& link) -> void {
    auto request = session.runRequest();
    auto batch = request.initBatch(static_cast<unsigned>(link.unsent_requests.size()));
    for (unsigned i = 0; i < link.unsent_requests.size(); ++i) {
        to_wire(link.unsent_requests[i], batch[i]);
    }
    sub_requests_out += link.unsent_requests.size();
    link.unsent_requests.clear();
    tasks->add(request.send().ignoreResult());
}

auto peer_network::implementation::send_sync(const std::string& address, outgoing_link& link,
                                             const sync_request& from) -> void {
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

auto peer_network::implementation::open_connection(const std::string& address, outgoing_link& link) -> void {
    if (link.reconnect_at > monotonic_now()) {
        fail_unsent(address, link);
        return;
    }
    if (connecting.contains(address)) {
        return;
    }
    auto generation = ++next_generation;
    link.generation = generation;
    link.reconnect_at = time_point{};
    connecting.insert(address);
    auto connection =
        io->provider->getNetwork().parseAddress(address).then([](kj::Own<kj::NetworkAddress>&& target) {
            auto connected = target->connect();
            return connected.attach(kj::mv(target));
        });
    tasks->add(
        io->provider->getTimer()
            .timeoutAfter(CONNECT_TIMEOUT, kj::mv(connection))
            .then(
                [this, address, generation](kj::Own<kj::AsyncIoStream>&& stream) {
                    on_connected(address, generation, kj::mv(stream));
                },
                [this, address, generation](kj::Exception&&) { on_disconnected(address, generation); }));
}

auto peer_network::implementation::on_connected(const std::string& address, std::uint64_t generation,
                                                kj::Own<kj::AsyncIoStream> stream) -> void {
    connecting.erase(address);
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
    tasks->add(link.client->onDisconnect().then(
        [this, address, generation] { on_disconnected(address, generation); }));
    flush(address);
}

auto peer_network::implementation::on_disconnected(const std::string& address, std::uint64_t generation)
    -> void {
    connecting.erase(address);
    auto found = links.find(address);
    if (found == links.end() || found->second.generation != generation) {
        return;
    }
    auto& link = found->second;
    auto was_connected = link.connected;
    link.connected = false;
    link.reconnect_at = monotonic_now() + RECONNECT_DELAY;
    // Destruction is deferred because this function may run in a callback of the connection being destroyed.
    auto dropped = kj::heap<outgoing_link>();
    dropped->client = kj::mv(link.client);
    dropped->stream = kj::mv(link.stream);
    dropped->session = kj::mv(link.session);
    dropped->peer = kj::mv(link.peer);
    link.session = nullptr;
    link.peer = nullptr;
    tasks->add(kj::evalLater([old_connection = kj::mv(dropped)]() mutable {
        old_connection->session = nullptr;
        old_connection->peer = nullptr;
        old_connection->client = nullptr;
        old_connection->stream = nullptr;
    }));
    if (was_connected) {
        hooks.on_broker_lost(address);
    }
    fail_unsent(address, link);
}

auto peer_network::implementation::fail_unsent(const std::string& address, outgoing_link& link) -> void {
    auto had_work = !link.unsent_requests.empty();
    auto syncs = link.pending_syncs.size();
    auto unsent = std::move(link.unsent_requests);
    link.unsent_requests.clear();
    link.pending_cancels.clear();
    link.pending_syncs.clear();
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

}  // namespace eelgrassledge
