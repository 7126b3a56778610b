// Stand-in for a searcher, as a process of its own. It runs as many requests at once as it has slots, queues
// some more, and writes each request that arrives, starts and ends with the time of the monotonic clock in
// milliseconds.

#include <asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <iostream>

#include "eelgrassledge/proxy/http_server.hpp"

using namespace eelgrassledge;

namespace {

/// Requests that wait for a slot; further ones are refused as not run.
constexpr std::size_t MAX_QUEUE = 12;

struct searcher_settings {
    std::string id;
    std::string service;
    std::size_t slots = 1;
    duration work{};
};

class searcher {
  public:
    searcher(network_context& network, searcher_settings settings)
        : network_(network),
          settings_(std::move(settings)),
          server_(network, [this](const shared_session& s, inbound_request r) { handle(s, std::move(r)); }) {}

    auto listen(const std::string& address) -> bool {
        auto endpoint = parse_endpoint(address);
        return endpoint && server_.listen(*endpoint).has_value();
    }

  private:
    struct job {
        shared_session session;
        std::string request;
        bool is_abandoned = false;
    };

    auto log(const std::string& event, const std::string& request) const -> void {
        std::cout << to_milliseconds(monotonic_now().time_since_epoch()) << ' ' << event << ' ' << request
                  << std::endl;
    }

    auto handle(const shared_session& session, const inbound_request& request) -> void {
        std::string id{header_value(request.headers, "X-Request-Id")};
        if (request.target == "/control/leave") {
            is_leaving_ = true;
            session->respond({204, {}, ""});
            return;
        }
        if (request.target == "/health") {
            respond(session, {is_leaving_ ? 503 : 200, {{"X-Instance-Id", settings_.id}}, ""});
            return;
        }
        auto expected = header_value(request.headers, "X-Expect-Instance");
        if (!expected.empty() && expected != settings_.id) {
            log("misdirected", id);
            respond(session, {421, {{"X-Instance-Id", settings_.id}, {"X-Request-Id", id}}, ""});
            return;
        }
        log("arrived", id);
        if (queue_.size() >= MAX_QUEUE) {
            respond(session, {503, {{"X-Not-Executed", "1"}, {"X-Request-Id", id}}, ""});
            return;
        }
        auto added = std::make_shared<job>(job{session, id});
        session->on_abandoned([added] { added->is_abandoned = true; });
        queue_.push_back(added);
        start_next();
    }

    auto respond(const shared_session& session, outbound_response response) const -> void {
        if (is_leaving_) {
            response.headers.push_back({"Server-Leaving", "1"});
        }
        session->respond(response);
    }

    auto start_next() -> void {
        while (running_ < settings_.slots && !queue_.empty()) {
            auto next = queue_.front();
            queue_.pop_front();
            if (next->is_abandoned) {
                continue;
            }
            ++running_;
            log("run", next->request);
            auto timer = std::make_shared<asio::steady_timer>(network_.loop, settings_.work);
            timer->async_wait([this, next, timer](const asio::error_code&) {
                --running_;
                log("done", next->request);
                respond(next->session, {200,
                                        {{"X-Request-Id", next->request},
                                         {"X-Server-Stamp", settings_.id + '.' + next->request}},
                                        "answer of " + settings_.id + " to " + next->request});
                start_next();
            });
        }
    }

    network_context& network_;
    searcher_settings settings_;
    http_server server_;
    std::deque<std::shared_ptr<job>> queue_;
    std::size_t running_ = 0;
    bool is_leaving_ = false;
};

}  // namespace

auto main(int argc, char** argv) -> int {
    std::signal(SIGPIPE, SIG_IGN);
    constexpr int ARGUMENTS = 6;
    if (argc != ARGUMENTS) {
        std::cerr << "usage: review-searcher IP:PORT ID SERVICE SLOTS WORK_MS\n";
        return 2;
    }
    std::cout << std::fixed;
    network_context network;
    searcher one{network, {argv[2], argv[3], std::stoul(argv[4]), milliseconds{std::stoll(argv[5])}}};
    if (!one.listen(argv[1])) {
        std::cerr << "cannot listen on " << argv[1] << '\n';
        return 1;
    }
    std::cout << "listening" << std::endl;
    network.loop.run();
    return 0;
}
