// Searches of callers: who may ask, in which lane, and requests that run at most once.

#include "eelgrassledge/claims/claim.hpp"
#include "eelgrassledge/runtime/application.hpp"

namespace eelgrassledge {

namespace {

/// An entry whose zone or instance was taken out still takes work for this long.
constexpr duration OUT_NOTICE = milliseconds{3000};
/// A lease for claims is replaced when it has this long to live less than a claim should.
constexpr duration CLAIM_LEASE_AGE = seconds{3600};

}  // namespace

auto application::find_caller(const document& doc, const std::string& key) const -> const caller_spec* {
    auto digest = sha256_hex(key);
    const caller_spec* found = nullptr;
    for (const auto& caller : doc.callers) {
        if (same_digest(caller.key_sha256, digest)) {
            found = &caller;
        }
    }
    return found;
}

auto application::lane_for(const caller_spec& caller, lane wanted) -> lane {
    if (wanted == lane::ordinary || caller.highest_lane == lane::ordinary) {
        return lane::ordinary;
    }
    auto rate = static_cast<double>(caller.priority_rate_per_s);
    std::scoped_lock guard{lanes_lock_};
    auto bucket = lane_rates_.try_emplace(caller.name, rate / static_cast<double>(entries_), rate).first;
    if (bucket->second.take(monotonic_now())) {
        return lane::priority;
    }
    metrics_.count("eelgrassledge_lane_rate_exceeded_total", {{"caller", caller.name.value()}});
    return lane::ordinary;
}

auto application::takes_work() const -> bool {
    if (refuse_new_) {
        return false;
    }
    auto out_since = out_since_.load();
    auto out_for = monotonic_now().time_since_epoch().count() - out_since;
    return out_since == 0 || out_for < OUT_NOTICE.count();
}

auto application::search(const api_request& request, respond done) -> void {
    if (request.body.size() > settings_.max_body_bytes) {
        refuse(done, result_code::body_too_large, "the body exceeds the size limit", {});
        return;
    }
    auto wanted = decode_search(request.body);
    if (!wanted) {
        refuse(done, wanted.error().code, wanted.error().message, {});
        return;
    }
    start_search(request, *wanted, std::move(done));
}

auto application::start_search(const api_request& request, const caller_search& wanted, respond done)
    -> void {
    auto doc = current_document();
    if (!doc) {
        refuse(done, result_code::no_configuration, "no configuration yet", wanted.request);
        return;
    }
    const auto* caller = find_caller(*doc, request.caller_key);
    if (caller == nullptr) {
        refuse(done, result_code::unknown_caller, "the caller's key is missing or wrong", wanted.request);
        return;
    }
    if (!takes_work()) {
        refuse(done, result_code::stopping, "this instance takes no new work", wanted.request);
        return;
    }
    auto service = doc->services.find(wanted.service);
    if (service == doc->services.end()) {
        refuse(done, result_code::unknown_service, "no such service", wanted.request);
        return;
    }
    const auto& spec = service->second;
    search_request search;
    search.prefer = wanted.prefer.value_or(spec.prefer);
    auto usual = search.prefer == preference::coverage ? spec.max_deadline : spec.deadline;
    auto allowed = wanted.deadline_ms ? duration{milliseconds{*wanted.deadline_ms}} : usual;
    if (allowed < milliseconds{1} || allowed > spec.max_deadline) {
        refuse(done, result_code::bad_deadline, "deadline_ms: outside 1 to max_deadline_ms", wanted.request);
        return;
    }
    search.request = wanted.request;
    search.caller = caller->name;
    search.service = wanted.service;
    search.priority = lane_for(*caller, wanted.wanted_lane);
    search.idempotent = wanted.idempotent;
    search.received = monotonic_now();
    search.deadline = search.received + allowed;
    search.text = wanted.text;
    search.limit = wanted.limit;
    search.print = fingerprint_of(wanted.service, wanted.text, wanted.limit);
    if (!search.idempotent) {
        run_claimed(std::move(search), done);
        return;
    }
    entry_->submit(std::move(search), [done = std::move(done)](const search_answer& answer) {
        auto response = json_response(http_status_of(answer.code), encode_answer(answer));
        response.retry_after = answer.retry_after;
        done(std::move(response));
    });
}

auto application::claim_lifetime() -> result<lease_id> {
    std::scoped_lock guard{claims_lock_};
    if (claim_lease_ && monotonic_now() < claim_lease_until_) {
        return *claim_lease_;
    }
    auto granted = platform_->platform_store().grant(CLAIM_LIFETIME +
                                                     std::chrono::duration_cast<seconds>(CLAIM_LEASE_AGE));
    if (granted) {
        claim_lease_ = *granted;
        claim_lease_until_ = monotonic_now() + CLAIM_LEASE_AGE;
    }
    return granted;
}

auto application::run_claimed(search_request request, const respond& done) -> void {
    std::thread{[this, request = std::move(request), done]() mutable {
        const auto& platform = platform_->platform_store();
        auto lifetime = claim_lifetime();
        if (!lifetime) {
            refuse(done, result_code::claim_unavailable, "the platform's store cannot be reached",
                   request.request);
            return;
        }
        auto attempt = settings_.instance.value() + "/" + nonce_ + "/" + std::to_string(next_attempt_++);
        auto held = take_claim(platform, request.caller, request.request, attempt, *lifetime);
        if (!held) {
            refuse(done, held.error().code, held.error().message, request.request);
            return;
        }
        entry_->submit(std::move(request), [this, held = *held, done](const search_answer& answer) {
            auto response = json_response(http_status_of(answer.code), encode_answer(answer));
            response.retry_after = answer.retry_after;
            if (answer.state == run_state::not_run) {
                std::thread{[this, held] { release_claim(platform_->platform_store(), held); }}.detach();
            }
            done(std::move(response));
        });
    }}.detach();
}

// ---- HTTP interface ----

}  // namespace eelgrassledge
