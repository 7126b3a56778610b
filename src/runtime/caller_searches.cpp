// Searches of callers: authentication, choice of the lane, and claims for searches that may run at most once.

#include "eelgrassledge/claims/claim.hpp"
#include "eelgrassledge/runtime/application.hpp"

namespace eelgrassledge {

namespace {

/// How long an entry still accepts queries after its zone or instance was taken out of service.
constexpr duration OUT_ACCEPT_TIME = milliseconds{3000};
/// How long a lease is used for new claims. It is granted for this long plus the lifetime of a claim, so that
/// each claim lives at least its full lifetime.
constexpr duration CLAIM_LEASE_REUSE_TIME = seconds{3600};

}  // namespace

auto application::find_caller(const document& doc, const std::string& key) const -> const caller_spec* {
    auto digest = sha256_hex(key);
    const caller_spec* found = nullptr;
    for (const auto& caller : doc.callers) {
        if (digests_equal(caller.key_sha256, digest)) {
            found = &caller;
        }
    }
    return found;
}

auto application::lane_for(const caller_spec& caller, lane requested) -> lane {
    if (requested == lane::ordinary || caller.highest_lane == lane::ordinary) {
        return lane::ordinary;
    }
    auto rate = static_cast<double>(caller.priority_rate_per_s);
    std::scoped_lock guard{priority_buckets_lock_};
    auto bucket =
        priority_buckets_.try_emplace(caller.name, rate / static_cast<double>(entry_count_), rate).first;
    if (bucket->second.take(monotonic_now())) {
        return lane::priority;
    }
    metrics_.count("eelgrassledge_lane_rate_exceeded_total", {{"caller", caller.name.value()}});
    return lane::ordinary;
}

auto application::accepts_queries() const -> bool {
    if (refuse_new_queries_) {
        return false;
    }
    auto out_since = out_since_.load();
    auto out_duration = monotonic_now().time_since_epoch().count() - out_since;
    return out_since == 0 || out_duration < OUT_ACCEPT_TIME.count();
}

auto application::search(const api_request& request, respond done) -> void {
    if (request.body.size() > settings_.max_body_bytes) {
        refuse(done, result_code::body_too_large, "the body exceeds the size limit", {});
        return;
    }
    auto parsed = decode_search(request.body);
    if (!parsed) {
        refuse(done, parsed.error().code, parsed.error().message, {});
        return;
    }
    start_search(request, *parsed, std::move(done));
}

auto application::start_search(const api_request& request, const caller_search& parsed, respond done)
    -> void {
    auto doc = current_document();
    if (!doc) {
        refuse(done, result_code::no_configuration, "no configuration yet", parsed.request);
        return;
    }
    const auto* caller = find_caller(*doc, request.caller_key);
    if (caller == nullptr) {
        refuse(done, result_code::unknown_caller, "the caller's key is missing or wrong", parsed.request);
        return;
    }
    if (!accepts_queries()) {
        refuse(done, result_code::stopping, "this instance takes no new work", parsed.request);
        return;
    }
    auto service = doc->services.find(parsed.service);
    if (service == doc->services.end()) {
        refuse(done, result_code::unknown_service, "no such service", parsed.request);
        return;
    }
    const auto& spec = service->second;
    search_request search;
    search.prefer = parsed.prefer.value_or(spec.prefer);
    auto default_deadline = search.prefer == preference::coverage ? spec.max_deadline : spec.deadline;
    auto allowed = parsed.deadline_ms ? duration{milliseconds{*parsed.deadline_ms}} : default_deadline;
    if (allowed < milliseconds{1} || allowed > spec.max_deadline) {
        refuse(done, result_code::bad_deadline, "deadline_ms: outside 1 to max_deadline_ms", parsed.request);
        return;
    }
    search.request = parsed.request;
    search.caller = caller->name;
    search.service = parsed.service;
    search.priority = lane_for(*caller, parsed.requested_lane);
    search.idempotent = parsed.idempotent;
    search.received = monotonic_now();
    search.deadline = search.received + allowed;
    search.text = parsed.text;
    search.limit = parsed.limit;
    search.print = fingerprint_of(parsed.service, parsed.text, parsed.limit);
    if (!search.idempotent) {
        run_with_claim(std::move(search), done);
        return;
    }
    entry_->submit(std::move(search), [done = std::move(done)](const search_answer& answer) {
        auto response = json_response(http_status_of(answer.code), encode_answer(answer));
        response.retry_after = answer.retry_after;
        done(std::move(response));
    });
}

auto application::acquire_claim_lease() -> result<lease_id> {
    std::scoped_lock guard{claims_lock_};
    if (claim_lease_ && monotonic_now() < claim_lease_until_) {
        return *claim_lease_;
    }
    auto granted = platform_->platform_store().grant(
        CLAIM_LIFETIME + std::chrono::duration_cast<seconds>(CLAIM_LEASE_REUSE_TIME));
    if (granted) {
        claim_lease_ = *granted;
        claim_lease_until_ = monotonic_now() + CLAIM_LEASE_REUSE_TIME;
    }
    return granted;
}

auto application::run_with_claim(search_request request, const respond& done) -> void {
    std::thread{[this, request = std::move(request), done]() mutable {
        const auto& platform = platform_->platform_store();
        auto lease = acquire_claim_lease();
        if (!lease) {
            refuse(done, result_code::claim_unavailable, "the platform's store cannot be reached",
                   request.request);
            return;
        }
        auto attempt = settings_.instance.value() + "/" + nonce_ + "/" + std::to_string(next_attempt_++);
        auto taken = take_claim(platform, request.caller, request.request, attempt, *lease);
        if (!taken) {
            refuse(done, taken.error().code, taken.error().message, request.request);
            return;
        }
        entry_->submit(std::move(request), [this, held_claim = *taken, done](const search_answer& answer) {
            auto response = json_response(http_status_of(answer.code), encode_answer(answer));
            response.retry_after = answer.retry_after;
            if (answer.state == run_state::not_run) {
                std::thread{[this, held_claim] {
                    release_claim(platform_->platform_store(), held_claim);
                }}.detach();
            }
            done(std::move(response));
        });
    }}.detach();
}

}  // namespace eelgrassledge
