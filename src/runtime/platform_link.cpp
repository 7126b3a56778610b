#include "eelgrassledge/runtime/platform_link.hpp"

#include <nlohmann/json.hpp>

#include "eelgrassledge/platform/etcd_store.hpp"
#include "eelgrassledge/transport/http_call.hpp"

namespace eelgrassledge {

namespace {

/// Interval between checks for a due store operation and of the stop flag.
constexpr duration CHECK_INTERVAL = milliseconds{20};
/// Interval between reads of the instance list, and the time-out of one read.
constexpr duration INSTANCE_LIST_INTERVAL = milliseconds{1000};
constexpr duration INSTANCE_LIST_TIMEOUT = milliseconds{900};
/// A watch that receives no message for this long, not even a progress message, is reopened.
constexpr duration WATCH_IDLE_TIMEOUT = seconds{4};
/// Pause before a watch is opened again, and between checks whether this daemon is the reporter.
constexpr duration WATCH_RETRY_INTERVAL = milliseconds{200};

/// Wraps an operation of the store so that its calls are counted by outcome.
template <class Result, class... Args>
auto counted(std::function<Result(Args...)> operation, metrics& counters, const char* name)
    -> std::function<Result(Args...)> {
    return [operation = std::move(operation), &counters, name](Args... args) {
        auto answer = operation(args...);
        auto outcome = answer ? std::string{"ok"} : std::string{describe(answer.error().code).name};
        counters.count("eelgrassledge_platform_calls_total", {{"call", name}, {"outcome", outcome}});
        return answer;
    };
}

auto counted(const store& uncounted, metrics& counters) -> store {
    return {counted(uncounted.read, counters, "read"),
            counted(uncounted.put_if, counters, "put_if"),
            counted(uncounted.remove_if, counters, "remove_if"),
            counted(uncounted.grant, counters, "grant"),
            counted(uncounted.keep_alive, counters, "keep_alive"),
            counted(uncounted.revoke, counters, "revoke")};
}

/// Builds a reply from the answer of a store call, stored in the given field.
template <class Answer, class Field>
auto reply_with(const result<Answer>& answer, Field field) -> result<store_reply> {
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    store_reply reply;
    reply.*field = *answer;
    return reply;
}

}  // namespace

platform_link::platform_link(std::vector<std::string> addresses, shared_coordinator& coordinator,
                             metrics& counters, event_log log)
    : addresses_(std::move(addresses)),
      coordinator_(coordinator),
      metrics_(counters),
      log_(std::move(log)),
      store_(counted(make_etcd_store(addresses_), counters)) {
    threads_.emplace_back([this] { run_store_ops(); });
    threads_.emplace_back([this] { run_watch(); });
    threads_.emplace_back([this] { run_instance_list(); });
}

platform_link::~platform_link() {
    stop();
}

auto platform_link::stop() -> void {
    stopping_ = true;
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

auto platform_link::pause(duration length) -> void {
    auto until = monotonic_now() + length;
    while (!stopping_ && monotonic_now() < until) {
        std::this_thread::sleep_for(std::min<duration>(CHECK_INTERVAL, until - monotonic_now()));
    }
}

auto platform_link::is_reporter() -> bool {
    std::scoped_lock guard{coordinator_.lock};
    return coordinator_.decisions.is_reporter();
}

auto platform_link::perform(const store_op& op) -> result<store_reply> {
    if (std::holds_alternative<read_shared_op>(op)) {
        return reply_with(store_.read(store_keys::SHARED), &store_reply::keys);
    }
    if (std::holds_alternative<read_reporter_op>(op)) {
        return reply_with(store_.read(reporter_key()), &store_reply::keys);
    }
    if (std::holds_alternative<grant_lease_op>(op)) {
        return reply_with(store_.grant(lease_ttl_seconds()), &store_reply::lease);
    }
    if (const auto* create = std::get_if<create_reporter_op>(&op)) {
        return reply_with(store_.put_if(reporter_key(), create->value, mod_revision{}, create->lease),
                          &store_reply::put);
    }
    if (const auto* renew = std::get_if<keep_alive_op>(&op)) {
        return reply_with(store_.keep_alive(renew->lease), &store_reply::time_to_live);
    }
    if (const auto* write = std::get_if<write_assignment_op>(&op)) {
        auto key = store_keys::ASSIGNMENTS + write->value.zone.value();
        return reply_with(store_.put_if(key, to_json(write->value), write->expected, lease_id{}),
                          &store_reply::put);
    }
    auto revoked = store_.revoke(std::get<revoke_op>(op).lease);
    if (!revoked) {
        return tl::unexpected{revoked.error()};
    }
    return store_reply{};
}

auto platform_link::reporter_key() -> std::string {
    std::scoped_lock guard{coordinator_.lock};
    return store_keys::REPORTERS + coordinator_.decisions.self().zone.value() + "/holder";
}

auto platform_link::lease_ttl_seconds() -> seconds {
    std::scoped_lock guard{coordinator_.lock};
    return std::chrono::duration_cast<seconds>(coordinator_.decisions.times().lease_ttl);
}

auto platform_link::run_store_ops() -> void {
    auto was_reporter = false;
    while (!stopping_) {
        std::optional<store_op> op;
        {
            std::scoped_lock guard{coordinator_.lock};
            op = coordinator_.decisions.next_store_op(monotonic_now());
        }
        if (!op) {
            std::this_thread::sleep_for(CHECK_INTERVAL);
            continue;
        }
        auto sent = monotonic_now();
        auto reply = perform(*op);
        {
            std::scoped_lock guard{coordinator_.lock};
            coordinator_.decisions.on_store_reply(*op, reply, sent, monotonic_now());
        }
        if (is_reporter() != was_reporter) {
            was_reporter = !was_reporter;
            log_(log_level::info, "reporter", {{"reporting", was_reporter ? "true" : "false"}});
        }
    }
}

auto platform_link::run_watch() -> void {
    std::size_t next_address = 0;
    while (!stopping_) {
        if (!is_reporter()) {
            pause(WATCH_RETRY_INTERVAL);
            continue;
        }
        metrics_.count("eelgrassledge_platform_calls_total", {{"call", "watch"}, {"outcome", "opened"}});
        const auto& address = addresses_[next_address++ % addresses_.size()];
        auto watched =
            watch_etcd_prefix(address, store_keys::SHARED, WATCH_IDLE_TIMEOUT, [this](const auto& keys) {
                std::scoped_lock guard{coordinator_.lock};
                coordinator_.decisions.on_shared_keys(keys);
                return !stopping_ && coordinator_.decisions.is_reporter();
            });
        if (!watched) {
            log_(log_level::debug, "watch_ended", {{"reason", watched.error().message}});
        }
        pause(WATCH_RETRY_INTERVAL);
    }
}

auto platform_link::read_instance_list() -> void {
    for (const auto& address : addresses_) {
        auto answer = call_http({"GET", "http://" + address + "/instances", "", {}, INSTANCE_LIST_TIMEOUT});
        metrics_.count(
            "eelgrassledge_platform_calls_total",
            {{"call", "instances"}, {"outcome", answer.failure == http_failure::none ? "ok" : "failed"}});
        if (answer.failure != http_failure::none || answer.response.status != 200) {
            continue;
        }
        auto list = nlohmann::json::parse(answer.response.body, nullptr, false);
        if (!list.is_array()) {
            continue;
        }
        std::vector<upstream_id> leaving;
        for (const auto& item : list) {
            if (item.is_object() && item.value("state", "") == "leaving") {
                leaving.emplace_back(item.value("name", ""));
            }
        }
        std::scoped_lock guard{coordinator_.lock};
        coordinator_.decisions.on_instance_list(std::move(leaving));
        return;
    }
}

auto platform_link::run_instance_list() -> void {
    while (!stopping_) {
        if (is_reporter()) {
            read_instance_list();
        }
        pause(INSTANCE_LIST_INTERVAL);
    }
}

}  // namespace eelgrassledge
