// Stand-in for a searcher, as PROTOCOL.md describes it, that can fail or spoil a part of its answers.

#include <asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <iostream>

#include "eelgrassledge/proxy/http_server.hpp"

using namespace eelgrassledge;

namespace {

/// What a searcher does wrong in a part of its answers.
enum class trouble : std::uint8_t {
    none,
    busy,              ///< Runs the request and answers 503 without X-Not-Executed, as a failure of its own.
    missing_signature  ///< Runs the request and answers 200; the bytes of the signature's line are spoiled.
};

auto to_trouble(const std::string& name) -> trouble {
    if (name == "busy") {
        return trouble::busy;
    }
    return name == "unsigned" ? trouble::missing_signature : trouble::none;
}

struct searcher_settings {
    std::string address;
    std::string id;
    std::string service;
    std::uint32_t slots = 1;
    duration work_time{};
    trouble fault = trouble::none;
    /// Share of the answers that the fault concerns.
    double share = 0;
};

class searcher {
  public:
    searcher(network_context& network, searcher_settings settings)
        : network_(network),
          server_(network, [this](const shared_session& s, const inbound_request& r) { handle(s, r); }),
          settings_(std::move(settings)) {}

    auto listen() -> bool {
        auto endpoint = parse_endpoint(settings_.address);
        return endpoint && server_.listen(*endpoint);
    }

  private:
    struct job {
        shared_session session;
        std::string request;
        bool is_abandoned = false;
    };

    auto handle(const shared_session& session, const inbound_request& request) -> void {
        if (request.target == "/health") {
            session->respond({200, {{"X-Instance-Id", settings_.id}}, ""});
            return;
        }
        auto expected = header_value(request.headers, "X-Expect-Instance");
        if (!expected.empty() && expected != settings_.id) {
            session->respond({421, {{"X-Instance-Id", settings_.id}}, ""});
            return;
        }
        std::string id{header_value(request.headers, "X-Request-Id")};
        if (id.empty()) {
            session->respond({400, {{"X-Not-Executed", "1"}}, ""});
            return;
        }
        constexpr std::size_t MAX_QUEUE = 24;
        if (queue_.size() >= MAX_QUEUE) {
            session->respond({503, {{"X-Not-Executed", "1"}}, ""});
            return;
        }
        auto queued = std::make_shared<job>(job{session, id});
        session->on_abandoned([queued] { queued->is_abandoned = true; });
        queue_.push_back(queued);
        start_next();
    }

    auto start_next() -> void {
        while (running_ < settings_.slots && !queue_.empty()) {
            auto next = queue_.front();
            queue_.pop_front();
            if (next->is_abandoned) {
                continue;
            }
            ++running_;
            // From here on, the request counts as run.
            std::cout << "run " << next->request << std::endl;
            auto timer = std::make_shared<asio::steady_timer>(network_.loop, settings_.work_time);
            timer->async_wait([this, next, timer](const asio::error_code&) {
                --running_;
                next->session->respond(answer_to(next->request));
                start_next();
            });
        }
    }

    /// Whether this answer is one of those that the fault concerns; they are spread evenly.
    auto is_concerned() -> bool {
        due_ += settings_.share;
        if (due_ < 1) {
            return false;
        }
        due_ -= 1;
        return true;
    }

    auto answer_to(const std::string& request) -> outbound_response {
        outbound_response response;
        response.headers.push_back({"X-Request-Id", request});
        auto signature = settings_.service + '.' + request + '.' + settings_.id;
        response.body = "records of " + request;
        auto is_faulty = settings_.fault != trouble::none && is_concerned();
        if (is_faulty && settings_.fault == trouble::missing_signature) {
            response.headers.push_back({"X-Sfrver-Q7amp", signature});
            std::cout << "spoiled " << request << std::endl;
            return response;
        }
        response.headers.push_back({"X-Server-Stamp", signature});
        if (is_faulty) {
            response.status = 503;
            response.body = "failed";
            std::cout << "failed " << request << std::endl;
        }
        return response;
    }

    network_context& network_;
    http_server server_;
    searcher_settings settings_;
    std::deque<std::shared_ptr<job>> queue_;
    std::uint32_t running_ = 0;
    /// Grows by the fault's share with each answer.
    double due_ = 0;
};

}  // namespace

auto main(int argc, char** argv) -> int {
    std::signal(SIGPIPE, SIG_IGN);
    constexpr int ARGUMENTS = 8;
    if (argc != ARGUMENTS) {
        std::cerr << "usage: review-searcher IP:PORT ID SERVICE SLOTS WORK_MS none|busy|unsigned SHARE\n";
        return 2;
    }
    network_context network;
    searcher one{network,
                 {argv[1], argv[2], argv[3], static_cast<std::uint32_t>(std::stoul(argv[4])),
                  milliseconds{std::stoll(argv[5])}, to_trouble(argv[6]), std::stod(argv[7])}};
    if (!one.listen()) {
        std::cerr << "cannot listen on " << argv[1] << '\n';
        return 1;
    }
    std::cout << "listening" << std::endl;
    network.loop.run();
    return 0;
}
