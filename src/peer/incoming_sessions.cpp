// Connections from entries: receives their sub-requests and sends messages on the link on which these
// arrived.

#include "peer_loop.hpp"

namespace eelgrassledge {

/// Receives the sub-requests, cancellations and load requests of one entry.
class peer_network::implementation::session_server final : public wire::Session::Server {
  public:
    session_server(implementation& owner, wire::AnswerSink::Client sink)
        : owner_(owner), link_(owner.next_link++) {
        owner_.answer_sinks.emplace(link_, kj::mv(sink));
        ++owner_.links_in;
    }
    ~session_server() noexcept(false) {
        owner_.answer_sinks.erase(link_);
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

/// Root RPC object of the listening address: opens sessions for entries and answers sync requests.
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
    connections_in = kj::heap<incoming_connections>(*server, *receiver, io->provider->getTimer(), *this,
                                                    limits_in, hooks.on_session_evicted);
    tasks->add(connections_in->accept_all());
}

auto peer_network::implementation::deliver(link_id link, const std::vector<broker_message>& messages)
    -> void {
    auto found = answer_sinks.find(link);
    if (found == answer_sinks.end()) {
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

}  // namespace eelgrassledge
