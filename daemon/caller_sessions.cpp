#include "caller_sessions.hpp"

#include <algorithm>
#include <array>
#include <asio/post.hpp>

namespace eelgrassledge {

namespace {

/// What a connection holds without a request: RESTinio's connection and its input buffer of 4 KiB.
constexpr std::size_t SESSION_BYTES = 8192;
/// Cost of a received byte: strings double when they grow.
constexpr std::size_t BYTE_COST = 2;
/// Cost of a received line: each may become a header field or the record of a chunk, which are larger than
/// a short line.
constexpr std::size_t LINE_COST = 32;
/// Copies of a body while its request runs, besides the one received: the handler's, the decoded query and
/// its encoding.
constexpr std::size_t HANDLER_COPIES = 3;
/// Copies of an answer while it is written: the response and RESTinio's output buffer.
constexpr std::size_t ANSWER_COPIES = 2;
/// Requests that may have a body. Those to other paths are evicted first.
constexpr std::array<std::string_view, 2> REQUESTS_WITH_BODY{"POST /search ", "PUT /admin/document "};
constexpr std::size_t LONGEST_REQUEST_LINE = 20;

thread_local std::shared_ptr<caller_session> current_session;

}  // namespace

caller_sessions::caller_sessions(session_limits limits, evicted_hook on_evicted)
    : max_sessions_(limits.connections), on_evicted_(std::move(on_evicted)) {
    memory_.limit(limits.bytes);
}

auto caller_sessions::open(asio::ip::tcp::socket& socket, asio::any_io_executor executor)
    -> std::shared_ptr<caller_session> {
    std::scoped_lock guard{lock_};
    if (open_ >= max_sessions_) {
        if (auto* oldest = memory_.next_to_replace(this, monotonic_now())) {
            oldest->evict(eviction_reason::sessions);
        }
    }
    auto session = std::make_shared<caller_session>(*this, socket, std::move(executor));
    session->update(SESSION_BYTES, session_stage::unidentified);
    enforce_memory();
    return session;
}

auto caller_sessions::enforce_memory() -> void {
    for (auto* share = memory_.next_to_evict(); share != nullptr && share->stage() != session_stage::running;
         share = memory_.next_to_evict()) {
        share->evict(eviction_reason::memory);
    }
}

caller_session::caller_session(caller_sessions& owner, asio::ip::tcp::socket& socket,
                               asio::any_io_executor executor)
    : owner_(owner), socket_(&socket), executor_(std::move(executor)), since_(monotonic_now()) {
    share_.emplace(owner.memory_, &owner, false, [this](eviction_reason reason) { evict(reason); });
    ++owner_.open_;
}

caller_session::~caller_session() {
    std::scoped_lock guard{owner_.lock_};
    end_share();
}

auto caller_session::end_share() -> void {
    if (share_) {
        share_.reset();
        --owner_.open_;
    }
}

auto caller_session::update(std::size_t bytes, session_stage stage) -> void {
    if (share_) {
        share_->update(bytes, stage, since_);
    }
}

auto caller_session::evict(eviction_reason reason) -> void {
    owner_.on_evicted_(reason, share_->stage(), share_->bytes());
    // The bytes are released soon; counted until then, they would make more sessions be evicted.
    end_share();
    // Null if the last owner is waiting for the lock in order to destroy this object.
    if (auto self = weak_from_this().lock()) {
        asio::post(executor_, [self = std::move(self)] { self->close(); });
    }
}

auto caller_session::close() -> void {
    std::scoped_lock guard{owner_.lock_};
    if (socket_ != nullptr) {
        asio::error_code ignored;
        // A shutdown would not do: the system still delivers what it has received.
        socket_->close(ignored);
    }
}

auto caller_session::detach() -> void {
    std::scoped_lock guard{owner_.lock_};
    socket_ = nullptr;
}

auto caller_session::received(std::string_view bytes) -> void {
    std::scoped_lock guard{owner_.lock_};
    if (request_cost_ == 0) {
        since_ = monotonic_now();
    }
    auto lines = static_cast<std::size_t>(std::ranges::count(bytes, '\n'));
    request_cost_ += bytes.size() * BYTE_COST + lines * LINE_COST;
    if (request_line_.size() < LONGEST_REQUEST_LINE) {
        request_line_ += bytes.substr(0, LONGEST_REQUEST_LINE - request_line_.size());
    }
    auto may_have_body = std::ranges::any_of(
        REQUESTS_WITH_BODY, [this](std::string_view start) { return request_line_.starts_with(start); });
    update(SESSION_BYTES + request_cost_,
           may_have_body ? session_stage::identified : session_stage::unidentified);
    owner_.enforce_memory();
}

auto caller_session::begin_request(std::size_t body_bytes) -> bool {
    std::scoped_lock guard{owner_.lock_};
    update(SESSION_BYTES + request_cost_ + body_bytes * HANDLER_COPIES, session_stage::running);
    request_cost_ = 0;
    request_line_.clear();
    owner_.enforce_memory();
    return body_bytes == 0 || owner_.memory_.held() <= owner_.memory_.limit();
}

auto caller_session::begin_answer(std::size_t bytes) -> void {
    std::scoped_lock guard{owner_.lock_};
    since_ = monotonic_now();
    update(SESSION_BYTES + bytes * ANSWER_COPIES, session_stage::delivering);
    owner_.enforce_memory();
}

auto caller_session::end_answer() -> void {
    std::scoped_lock guard{owner_.lock_};
    since_ = monotonic_now();
    update(SESSION_BYTES, session_stage::idle);
}

auto caller_session::current() -> const std::shared_ptr<caller_session>& {
    return current_session;
}

caller_session::completion_scope::completion_scope(std::shared_ptr<caller_session> session) {
    current_session = std::move(session);
}

caller_session::completion_scope::~completion_scope() {
    current_session.reset();
}

}  // namespace eelgrassledge
