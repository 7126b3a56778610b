// Test searcher, also for demonstrations: slots, a connection limit, cold start, snapshots, shedding,
// draining, cancellation, and faults that occur in real searchers.

#include <unistd.h>

#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <memory>
#include <random>
#include <set>

#include "standin_server.hpp"

namespace {

using standins::json;
using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

constexpr int CRASH_EXIT_CODE = 42;
constexpr int HITS_PER_SHARD = 3;

struct searcher_options {
    std::string address;
    std::string name;
    std::string service;
    std::uint32_t shard = 0;
    std::uint32_t shards = 1;
    std::uint64_t snapshot = 1;
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    double connect_cost_ms = 6;
    double service_time_ms = 8;
    double sigma = 0.3;
    double straggler_share = 0.01;
    double straggler_factor = 8;
    std::uint64_t seed = 1;
    double cold_rate = 20;
    double warm_rate = 200;
    double warm_requests = 200;
    bool start_warm = false;
    std::uint32_t shed_queue = 1000;
};

struct held_snapshot {
    std::uint32_t shard = 0;
    std::uint32_t shards = 1;
};

struct work_item {
    restinio::request_handle_t request;
    json body;
    std::uint64_t sub_id = 0;
    bool new_connection = false;
};

auto unix_us() -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

class searcher {
  public:
    searcher(asio::io_context& io, searcher_options options)
        : io_(io), options_(std::move(options)), random_(options_.seed) {
        std::random_device device;
        start_id_ = (static_cast<std::uint64_t>(device()) << 20U) ^ device();
        held_[options_.snapshot] = {options_.shard, options_.shards};
        completed_ = options_.start_warm ? options_.warm_requests : 0;
    }

    auto handle(const restinio::request_handle_t& request) -> restinio::request_handling_status_t {
        auto path = standins::path_of(request);
        if (path == "/search") {
            search(request);
        } else if (path == "/cancel") {
            cancel(request);
        } else if (path == "/status" || path == "/health") {
            status(request);
        } else if (path == "/counts") {
            counts(request);
        } else if (path == "/control") {
            control(request);
        } else {
            standins::send_json(request, 404, {{"reason", "no such path"}});
        }
        return restinio::request_accepted();
    }

  private:
    auto holdings() const -> json {
        json list = json::array();
        for (const auto& [snapshot, held] : held_) {
            list.push_back({{"snapshot", snapshot}, {"shard", held.shard}, {"shards", held.shards}});
        }
        return list;
    }

    auto reply(const restinio::request_handle_t& request, std::uint64_t sub_id, int status, json body)
        -> void {
        body["sub_id"] = offset_sub_ids_ ? sub_id + 1 : sub_id;
        body["start_id"] = start_id_;
        body["holdings"] = holdings();
        standins::send_json(request, status, body);
    }

    auto record_connection(std::uint64_t connection) -> bool {
        auto is_new = connections_.insert(connection).second;
        connections_opened_ += is_new ? 1 : 0;
        return is_new;
    }

    auto search(const restinio::request_handle_t& request) -> void {
        auto connection = request->connection_id();
        auto is_new = record_connection(connection);
        ++arrivals_;
        last_arrival_unix_us_ = unix_us();
        if (make_existing_unresponsive_) {
            unresponsive_connections_ = connections_;
            make_existing_unresponsive_ = false;
        }
        if (unresponsive_connections_.contains(connection)) {
            unanswered_.push_back(request);
            return;
        }
        work_item item{request, standins::body_of(request), 0, is_new};
        if (!item.body.is_object() || !item.body.contains("sub_id")) {
            standins::send_json(request, 400, {{"reason", "malformed"}});
            return;
        }
        item.sub_id = item.body["sub_id"].get<std::uint64_t>();
        if (item.body.value("query", "").starts_with("crash:")) {
            std::cerr << "crashed by " << item.body.value("request_id", "") << "\n";
            ::_exit(CRASH_EXIT_CODE);
        }
        admit(std::move(item));
    }

    auto admit(work_item item) -> void {
        if (draining_) {
            ++refused_draining_;
            reply(item.request, item.sub_id, 503, {{"reason", "draining"}});
            return;
        }
        if (shedding_ || queue_.size() >= options_.shed_queue) {
            reply(item.request, item.sub_id, 503, {{"reason", "shedding"}});
            return;
        }
        if (!has_capacity()) {
            ++overloads_;
            completed_ = 0;
            reply(item.request, item.sub_id, 503, {{"reason", "overloaded while cold"}});
            return;
        }
        queue_.push_back(std::move(item));
        start_work();
    }

    auto sustainable_rate() const -> double {
        auto progress = std::min(1.0, completed_ / options_.warm_requests);
        return options_.cold_rate + (options_.warm_rate - options_.cold_rate) * progress;
    }

    // While cold, a searcher accepts requests up to its sustainable rate in any second; a burst of as many as
    // it has slots is always accepted.
    auto has_capacity() -> bool {
        if (completed_ >= options_.warm_requests) {
            return true;
        }
        auto now = clock_type::now();
        recent_arrivals_.push_back(now);
        while (!recent_arrivals_.empty() && now - recent_arrivals_.front() > std::chrono::seconds{1}) {
            recent_arrivals_.pop_front();
        }
        auto allowed = std::max<double>(options_.slots, sustainable_rate()) + 1;
        return static_cast<double>(recent_arrivals_.size()) <= allowed;
    }

    auto start_work() -> void {
        while (running_.size() < options_.slots && !queue_.empty()) {
            auto item = std::move(queue_.front());
            queue_.pop_front();
            run(std::move(item));
        }
        max_queue_ = std::max(max_queue_, queue_.size());
    }

    auto run(work_item item) -> void {
        auto deadline = item.body.value("deadline_unix_us", std::int64_t{0});
        if (deadline != 0 && deadline <= unix_us()) {
            reply(item.request, item.sub_id, 504, {{"reason", "deadline passed"}});
            return;
        }
        auto snapshot = item.body.value("snapshot", std::uint64_t{0});
        if (!held_.contains(snapshot)) {
            reply(item.request, item.sub_id, 409, {{"reason", "snapshot not held"}});
            return;
        }
        ++runs_;
        if (!item.body.value("idempotent", true)) {
            ++runs_by_request_[item.body.value("request_id", "")];
        }
        auto timer = std::make_shared<asio::steady_timer>(io_);
        timer->expires_after(service_time(item.new_connection));
        auto sub_id = item.sub_id;
        auto shared = std::make_shared<work_item>(std::move(item));
        running_[sub_id] = {timer, shared};
        max_running_ = std::max(max_running_, running_.size());
        timer->async_wait([this, sub_id](const asio::error_code& failure) { finish(sub_id, !failure); });
    }

    auto service_time(bool new_connection) -> clock_type::duration {
        std::normal_distribution<double> spread{0, options_.sigma};
        std::uniform_real_distribution<double> unit{0, 1};
        auto ms = options_.service_time_ms * std::exp(spread(random_)) * slow_factor_;
        if (unit(random_) < options_.straggler_share) {
            ms *= options_.straggler_factor;
        }
        ms += new_connection ? options_.connect_cost_ms : 0;
        return std::chrono::duration_cast<clock_type::duration>(
            std::chrono::duration<double, std::milli>{ms});
    }

    auto finish(std::uint64_t sub_id, bool completed) -> void {
        auto found = running_.find(sub_id);
        if (found == running_.end()) {
            return;
        }
        auto item = found->second.item;
        running_.erase(found);
        if (completed && failure_status_ != 0) {
            reply(item->request, sub_id, failure_status_, {{"reason", "failed"}});
        } else if (completed) {
            completed_ += 1;
            answer(*item);
        } else {
            ++cancelled_;
            reply(item->request, sub_id, 499, {{"reason", "cancelled"}});
        }
        start_work();
    }

    auto answer(const work_item& item) -> void {
        auto snapshot = item.body["snapshot"].get<std::uint64_t>();
        auto held =
            held_.contains(snapshot) ? held_[snapshot] : held_snapshot{options_.shard, options_.shards};
        auto query = item.body.value("query", "");
        json hits = json::array();
        for (int i = 0; i < HITS_PER_SHARD; ++i) {
            auto record = options_.service + "-" + std::to_string(held.shards) + "-" +
                          std::to_string(held.shard) + "-" + std::to_string(i);
            auto score = static_cast<double>(std::hash<std::string>{}(record + query) % 10'000) / 10'000.0;
            hits.push_back({{"record", record},
                            {"score", score},
                            {"body", item.body.value("request_id", "") + "@" + std::to_string(snapshot)}});
        }
        ++answered_;
        auto shard = wrong_shard_ ? held.shard + 1 : held.shard;
        reply(item.request, item.sub_id, 200, {{"snapshot", snapshot}, {"shard", shard}, {"hits", hits}});
    }

    auto cancel(const restinio::request_handle_t& request) -> void {
        auto body = standins::body_of(request);
        auto sub_id = body.is_object() ? body.value("sub_id", std::uint64_t{0}) : 0;
        auto running = running_.find(sub_id);
        if (running != running_.end()) {
            running->second.timer->cancel();
        }
        auto queued =
            std::find_if(queue_.begin(), queue_.end(), [&](const auto& i) { return i.sub_id == sub_id; });
        if (queued != queue_.end()) {
            auto item = std::move(*queued);
            queue_.erase(queued);
            ++cancelled_;
            reply(item.request, sub_id, 499, {{"reason", "cancelled"}});
        }
        standins::send_json(request, 200, json::object());
    }

    auto status(const restinio::request_handle_t& request) -> void {
        record_connection(request->connection_id());
        if (!status_override_.is_null()) {
            standins::send_json(request, 200, status_override_);
            return;
        }
        standins::send_json(
            request, 200,
            {{"start_id", start_id_}, {"draining", draining_}, {"holdings", holdings()}, {"load", 0}});
    }

    auto counts(const restinio::request_handle_t& request) -> void {
        standins::send_json(request, 200,
                            {{"name", options_.name},
                             {"start_id", start_id_},
                             {"arrivals", arrivals_},
                             {"runs", runs_},
                             {"answered", answered_},
                             {"cancelled", cancelled_},
                             {"overloads", overloads_},
                             {"refused_draining", refused_draining_},
                             {"max_running", max_running_},
                             {"max_queue", max_queue_},
                             {"connections_opened", connections_opened_},
                             {"last_arrival_unix_us", last_arrival_unix_us_},
                             {"completed_since_start", completed_},
                             {"runs_by_request", runs_by_request_}});
    }

    auto control(const restinio::request_handle_t& request) -> void {
        auto body = standins::body_of(request);
        if (!body.is_object()) {
            standins::send_json(request, 400, {{"reason", "not an object"}});
            return;
        }
        draining_ = body.value("drain", draining_);
        shedding_ = body.value("shed", shedding_);
        slow_factor_ = body.value("slow_factor", slow_factor_);
        failure_status_ = body.value("fail_status", failure_status_);
        wrong_shard_ = body.value("wrong_shard", wrong_shard_);
        offset_sub_ids_ = body.value("cross_answers", offset_sub_ids_);
        make_existing_unresponsive_ = body.value("silence_connections", false);
        status_override_ = body.contains("lie") ? body["lie"] : status_override_;
        if (body.contains("hold")) {
            auto held = body["hold"];
            held_[held["snapshot"]] = {held["shard"], held["shards"]};
        }
        if (body.contains("retire")) {
            held_.erase(body["retire"].get<std::uint64_t>());
        }
        standins::send_json(request, 200, json::object());
    }

    struct running_item {
        std::shared_ptr<asio::steady_timer> timer;
        std::shared_ptr<work_item> item;
    };

    asio::io_context& io_;
    searcher_options options_;
    std::mt19937_64 random_;
    std::uint64_t start_id_ = 0;
    std::map<std::uint64_t, held_snapshot> held_;
    std::deque<work_item> queue_;
    std::map<std::uint64_t, running_item> running_;
    std::deque<clock_type::time_point> recent_arrivals_;
    std::set<std::uint64_t> connections_;
    std::set<std::uint64_t> unresponsive_connections_;
    std::vector<restinio::request_handle_t> unanswered_;
    std::map<std::string, std::uint64_t> runs_by_request_;
    double completed_ = 0;
    double slow_factor_ = 1;
    bool draining_ = false;
    bool shedding_ = false;
    bool wrong_shard_ = false;
    bool offset_sub_ids_ = false;
    bool make_existing_unresponsive_ = false;
    /// Status with which requests fail after they have run; zero if they do not fail.
    int failure_status_ = 0;
    json status_override_;
    std::uint64_t arrivals_ = 0;
    std::uint64_t runs_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t overloads_ = 0;
    std::uint64_t refused_draining_ = 0;
    std::uint64_t connections_opened_ = 0;
    std::int64_t last_arrival_unix_us_ = 0;
    std::size_t max_running_ = 0;
    std::size_t max_queue_ = 0;
};

auto read_options(int argc, char** argv) -> searcher_options {
    searcher_options o;
    cxxopts::Options options{"standin-searcher", "Searcher for tests."};
    options.add_options()("address", "IP:PORT", cxxopts::value(o.address))(
        "name", "", cxxopts::value(o.name))("service", "", cxxopts::value(o.service))(
        "shard", "", cxxopts::value(o.shard))("shards", "", cxxopts::value(o.shards))(
        "snapshot", "", cxxopts::value(o.snapshot))("slots", "", cxxopts::value(o.slots))(
        "connections", "", cxxopts::value(o.connections))("connect-cost-ms", "",
                                                          cxxopts::value(o.connect_cost_ms))(
        "service-time-ms", "", cxxopts::value(o.service_time_ms))("sigma", "", cxxopts::value(o.sigma))(
        "straggler-share", "", cxxopts::value(o.straggler_share))(
        "straggler-factor", "", cxxopts::value(o.straggler_factor))("seed", "", cxxopts::value(o.seed))(
        "cold-rate", "", cxxopts::value(o.cold_rate))("warm-rate", "", cxxopts::value(o.warm_rate))(
        "warm-requests", "", cxxopts::value(o.warm_requests))("start-warm", "", cxxopts::value(o.start_warm))(
        "shed-queue", "", cxxopts::value(o.shed_queue));
    options.parse(argc, argv);
    return o;
}

}  // namespace

auto main(int argc, char** argv) -> int {
    try {
        auto options = read_options(argc, argv);
        asio::io_context io;
        searcher server{io, options};
        standins::serve(io, options.address, [&server](auto request) { return server.handle(request); });
        return 0;
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 1;
    }
}
