// Open-loop load generator: sends searches at a fixed mean rate, independent of when answers arrive, and
// checks each answer.

#include <fmt/format.h>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>

#include "eelgrassledge/config/ini_reader.hpp"
#include "eelgrassledge/transport/http_loop.hpp"

namespace {

using namespace eelgrassledge;
using nlohmann::json;

struct load_options {
    std::string daemons = "127.0.0.1:8080";
    std::string key;
    std::string service;
    double rate = 50;
    double duration_s = 10;
    double priority_share = 0.02;
    double non_idempotent_share = 0;
    std::uint32_t limit = 1000;
    std::uint32_t deadline_ms = 0;
    std::uint32_t hits_per_shard = 3;
    std::uint64_t seed = 1;
    std::uint64_t distinct_queries = 0;
    std::uint32_t retries = 0;
    bool as_json = false;
};

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

constexpr int LATENCY_BUCKETS = 2000;
constexpr double SMALLEST_MS = 0.05;
constexpr double LARGEST_MS = 60'000;
constexpr duration CALL_TIMEOUT = seconds{30};
/// Longest wait for outstanding answers after the last search was sent; later answers are not counted.
constexpr duration LAST_ANSWERS_TIMEOUT = seconds{10};
constexpr duration READY_INTERVAL = milliseconds{500};

/// Latency histogram of one lane, in logarithmic buckets about 0.7 % wide.
class latency_record {
  public:
    auto add(double ms) -> void {
        buckets_(ms);
        ++count_;
    }

    [[nodiscard]] auto quantile(double share) const -> double {
        double seen = 0;
        const auto& axis = buckets_.axis(0);
        for (int i = -1; i <= axis.size(); ++i) {
            seen += buckets_.at(i);
            if (count_ > 0 && seen >= share * static_cast<double>(count_)) {
                return axis.value(i + 1);
            }
        }
        return 0;
    }

    [[nodiscard]] auto count() const -> std::uint64_t { return count_; }

  private:
    using histogram =
        decltype(boost::histogram::make_histogram(log_axis(LATENCY_BUCKETS, SMALLEST_MS, LARGEST_MS)));
    histogram buckets_ = boost::histogram::make_histogram(log_axis(LATENCY_BUCKETS, SMALLEST_MS, LARGEST_MS));
    std::uint64_t count_ = 0;
};

/// Counters of a run.
struct tally {
    std::map<std::string, latency_record> latency_by_lane;
    std::map<std::string, std::uint64_t> codes;
    std::uint64_t sent = 0;
    std::uint64_t ended = 0;  ///< Searches with a final result, of any kind.
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;      ///< Answers without `coverage`.
    std::uint64_t cut = 0;          ///< Calls that failed or returned no JSON object.
    std::uint64_t doubled = 0;      ///< Hits whose record was already in the same answer.
    std::uint64_t crossed = 0;      ///< Answers and hits that belong to another request or snapshot.
    std::uint64_t mislabelled = 0;  ///< Answers whose `coverage` contradicts their hits.
    double coverage_sum = 0;
};

class load_run {
  public:
    explicit load_run(load_options options)
        : options_(std::move(options)),
          addresses_(split_addresses(options_.daemons)),
          ready_(addresses_.size(), true),
          random_(options_.seed) {}

    auto run() -> tally {
        auto started_at = monotonic_now();
        auto end = started_at + duration{static_cast<duration::rep>(options_.duration_s * 1e6)};
        auto next = started_at;
        auto next_ready = started_at;
        auto next_progress = started_at + seconds{1};
        std::exponential_distribution<double> gap{options_.rate};
        while (next < end) {
            auto now = monotonic_now();
            if (now >= next_ready) {
                next_ready = now + READY_INTERVAL;
                check_ready();
            }
            if (now >= next_progress) {
                next_progress = now + seconds{1};
                print_progress(now - started_at);
            }
            if (now < next) {
                std::this_thread::sleep_for(std::min<duration>(next - now, milliseconds{20}));
                continue;
            }
            send_next();
            next += duration{static_cast<duration::rep>(gap(random_) * 1e6)};
        }
        await_last_answers();
        std::scoped_lock guard{lock_};
        return tally_;
    }

  private:
    /// Polls the readiness of all instances. Like the platform's load balancer, the run sends no searches to
    /// instances that are not ready.
    auto check_ready() -> void {
        for (std::size_t i = 0; i < addresses_.size(); ++i) {
            loop_.start({"GET", "http://" + addresses_[i] + "/readyz", "", {}, milliseconds{400}}, false,
                        [this, i](const http_result& result) {
                            std::scoped_lock guard{lock_};
                            ready_[i] = result.failure == http_failure::none && result.response.status == 200;
                        });
        }
    }

    /// Returns the next ready instance in rotation, or the next instance if none is ready.
    auto choose_address() -> std::string {
        std::scoped_lock guard{lock_};
        for (std::size_t i = 0; i < addresses_.size(); ++i) {
            auto index = next_address_++ % addresses_.size();
            if (ready_[index]) {
                return addresses_[index];
            }
        }
        return addresses_[next_address_++ % addresses_.size()];
    }

    auto send_next() -> void {
        std::uniform_real_distribution<double> unit{0, 1};
        auto number = ++number_;
        auto text = options_.distinct_queries > 0 ? number % options_.distinct_queries : number;
        json body{{"request_id", fmt::format("load-{}-{}", options_.seed, number)},
                  {"service", options_.service},
                  {"query", fmt::format("query {}", text)},
                  {"limit", options_.limit},
                  {"lane", unit(random_) < options_.priority_share ? "priority" : "ordinary"},
                  {"idempotent", unit(random_) >= options_.non_idempotent_share}};
        if (options_.deadline_ms > 0) {
            body["deadline_ms"] = options_.deadline_ms;
        }
        {
            std::scoped_lock guard{lock_};
            ++tally_.sent;
        }
        send(body, options_.retries, monotonic_now());
    }

    auto send(const json& body, std::uint32_t retries, time_point started_at) -> void {
        http_request request{"POST",
                             "http://" + choose_address() + "/search",
                             body.dump(),
                             {"X-Caller-Key: " + options_.key},
                             CALL_TIMEOUT};
        loop_.start(std::move(request), false, [this, body, retries, started_at](const http_result& result) {
            auto refused = result.failure == http_failure::none && result.response.status == 503;
            if (refused && retries > 0) {
                send(body, retries - 1, started_at);
                return;
            }
            ended(body, result, monotonic_now() - started_at);
        });
    }

    auto ended(const json& body, const http_result& result, duration latency) -> void {
        std::scoped_lock guard{lock_};
        ++tally_.ended;
        auto answer = json::parse(result.response.body, nullptr, false);
        if (result.failure != http_failure::none || !answer.is_object()) {
            ++tally_.cut;
            ++tally_.codes["cut: " + result.reason];
            return;
        }
        ++tally_.codes[answer.value("reason", "unknown")];
        if (answer.value("request_id", "") != body["request_id"]) {
            ++tally_.crossed;
        }
        if (!answer.contains("coverage")) {
            ++tally_.refused;
            return;
        }
        tally_.latency_by_lane[answer.value("lane", "")].add(to_milliseconds(latency));
        check_answer(body, answer);
    }

    /// Compares the `coverage` of an answer with its hits: each answered shard must have returned
    /// `hits_per_shard` hits (up to the limit), and each hit must be present once.
    auto check_answer(const json& body, const json& answer) -> void {
        const auto& coverage = answer["coverage"];
        std::set<std::string> records;
        for (const auto& hit : answer["hits"]) {
            tally_.doubled += records.insert(hit.value("record", "")).second ? 0 : 1;
            auto expected =
                body["request_id"].get<std::string>() + "@" + std::to_string(answer.value("snapshot", 0));
            tally_.crossed += hit.value("body", "") == expected ? 0 : 1;
        }
        auto answered = coverage.value("shards_answered", 0U);
        auto total = coverage.value("shards_total", 0U);
        auto expected = std::min(options_.limit, answered * options_.hits_per_shard);
        auto consistent = records.size() == expected && coverage["missing"].size() == total - answered &&
                          coverage.value("complete", false) == (answered == total && total > 0);
        tally_.mislabelled += consistent ? 0 : 1;
        tally_.coverage_sum += total > 0 ? static_cast<double>(answered) / total : 0;
        if (coverage.value("complete", false)) {
            ++tally_.complete;
        } else {
            ++tally_.partial;
        }
    }

    auto print_progress(duration elapsed) -> void {
        if (options_.as_json) {
            return;
        }
        std::scoped_lock guard{lock_};
        std::cerr << fmt::format("{:5.0f} s: sent {}, complete {}, partial {}, refused {}, cut {}\n",
                                 to_milliseconds(elapsed) / 1000, tally_.sent, tally_.complete,
                                 tally_.partial, tally_.refused, tally_.cut);
    }

    auto await_last_answers() -> void {
        auto until = monotonic_now() + LAST_ANSWERS_TIMEOUT;
        while (monotonic_now() < until) {
            {
                std::scoped_lock guard{lock_};
                if (tally_.ended == tally_.sent) {
                    return;
                }
            }
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    load_options options_;
    std::vector<std::string> addresses_;
    std::vector<bool> ready_;
    std::mt19937_64 random_;
    std::uint64_t number_ = 0;
    std::size_t next_address_ = 0;
    std::mutex lock_;
    tally tally_;
    http_loop loop_;
};

auto to_json(const tally& t) -> json {
    json lanes = json::object();
    for (const auto& [lane, record] : t.latency_by_lane) {
        lanes[lane] = {{"answers", record.count()},
                       {"p50_ms", record.quantile(0.5)},
                       {"p99_ms", record.quantile(0.99)},
                       {"p999_ms", record.quantile(0.999)}};
    }
    auto answers = t.complete + t.partial;
    return {{"sent", t.sent},
            {"ended", t.ended},
            {"complete", t.complete},
            {"partial", t.partial},
            {"refused", t.refused},
            {"cut", t.cut},
            {"doubled", t.doubled},
            {"crossed", t.crossed},
            {"mislabelled", t.mislabelled},
            {"mean_coverage", answers > 0 ? t.coverage_sum / static_cast<double>(answers) : 0},
            {"codes", t.codes},
            {"lanes", lanes}};
}

auto print(const json& report) -> void {
    std::cout << fmt::format("sent {}, complete {}, partial {}, refused {}, cut {}, mean coverage {:.4f}\n",
                             report["sent"].get<int>(), report["complete"].get<int>(),
                             report["partial"].get<int>(), report["refused"].get<int>(),
                             report["cut"].get<int>(), report["mean_coverage"].get<double>());
    std::cout << fmt::format("doubled {}, crossed {}, mislabelled {}\n", report["doubled"].get<int>(),
                             report["crossed"].get<int>(), report["mislabelled"].get<int>());
    for (const auto& [lane, row] : report["lanes"].items()) {
        std::cout << fmt::format("{:9} {:6} answers: p50 {:.1f} ms, p99 {:.1f} ms, p99.9 {:.1f} ms\n", lane,
                                 row["answers"].get<int>(), row["p50_ms"].get<double>(),
                                 row["p99_ms"].get<double>(), row["p999_ms"].get<double>());
    }
    for (const auto& [code, count] : report["codes"].items()) {
        std::cout << fmt::format("  {}: {}\n", code, count.get<int>());
    }
}

}  // namespace

auto main(int argc, char** argv) -> int {
    load_options o;
    cxxopts::Options options{
        "eelgrassledge-load",
        "Sends searches at a rate that does not depend on the answers, and checks each answer.\n"
        "Exit codes: 0 done, 1 an answer was doubled, crossed, mislabelled or cut, 2 command line."};
    options.add_options()("daemon", "HTTP addresses, IP:PORT[,IP:PORT...]", cxxopts::value(o.daemons))(
        "key", "caller's key", cxxopts::value(o.key))(
        "service", "service to search", cxxopts::value(o.service))("rate", "searches per second",
                                                                   cxxopts::value(o.rate))(
        "duration", "seconds", cxxopts::value(o.duration_s))("priority-share", "share in the priority lane",
                                                             cxxopts::value(o.priority_share))(
        "non-idempotent-share", "share that may run only once", cxxopts::value(o.non_idempotent_share))(
        "limit", "most hits wanted", cxxopts::value(o.limit))("deadline-ms", "milliseconds; 0: the service's",
                                                              cxxopts::value(o.deadline_ms))(
        "hits-per-shard", "hits that each shard returns", cxxopts::value(o.hits_per_shard))(
        "seed", "of arrivals and lanes", cxxopts::value(o.seed))(
        "distinct-queries", "different texts; 0: all differ", cxxopts::value(o.distinct_queries))(
        "retries", "times a refused search is sent again at once", cxxopts::value(o.retries))(
        "json", "print JSON", cxxopts::value(o.as_json))("h,help", "print this help and exit");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (o.service.empty() || o.rate <= 0 || o.duration_s <= 0 || split_addresses(o.daemons).empty()) {
            std::cerr
                << "error 501 bad_option: --service, and --rate and --duration above zero, are needed\n";
            return 2;
        }
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "error 501 bad_option: " << e.what() << "\n";
        return 2;
    }
    auto result = load_run{o}.run();
    auto report = to_json(result);
    if (o.as_json) {
        std::cout << report.dump() << "\n";
    } else {
        print(report);
    }
    auto wrong =
        result.doubled + result.crossed + result.mislabelled + result.cut + (result.sent - result.ended);
    return wrong == 0 ? 0 : 1;
}
