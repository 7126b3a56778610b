#include "incoming_connections.hpp"

#include <optional>

namespace eelgrassledge {

namespace {

/// What a connection holds without a message: its RPC state and buffers.
constexpr std::size_t CONNECTION_BYTES = 16384;
/// Most bytes of a message that arrive before they are counted.
constexpr std::size_t READ_BYTES = 65536;
/// Size of the start of a message, which holds the number and the size of its segments.
constexpr std::size_t SIZE_BYTES = 8;
/// Pause after a failed attempt to accept, for example because all descriptors are in use.
constexpr auto ACCEPT_RETRY_DELAY = 100 * kj::MILLISECONDS;

}  // namespace

/// Stream that counts the bytes of the message being received and of the one being written.
class incoming_connections::counted_stream final : public kj::AsyncIoStream {
  public:
    counted_stream(incoming_connections& owner, kj::Own<kj::AsyncIoStream> inner,
                   kj::Own<kj::PromiseFulfiller<void>> on_evict)
        : owner_(owner), inner_(kj::mv(inner)), on_evict_(kj::mv(on_evict)), since_(monotonic_now()) {
        share_.emplace(owner.memory_, &owner, false, [this](eviction_reason reason) { evict(reason); });
        ++owner_.open_;
        update();
    }
    ~counted_stream() noexcept(false) { end_share(); }
    KJ_DISALLOW_COPY(counted_stream);

    auto tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
        -> kj::Promise<std::size_t> override {
        return read_rest(static_cast<kj::byte*>(buffer), 0, min_bytes, max_bytes);
    }
    auto write(const void* buffer, std::size_t size) -> kj::Promise<void> override {
        begin_write(size);
        return inner_->write(buffer, size).then([this] { end_write(); });
    }
    auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) -> kj::Promise<void> override {
        std::size_t size = 0;
        for (auto piece : pieces) {
            size += piece.size();
        }
        begin_write(size);
        return inner_->write(pieces).then([this] { end_write(); });
    }
    auto whenWriteDisconnected() -> kj::Promise<void> override { return inner_->whenWriteDisconnected(); }
    auto shutdownWrite() -> void override { inner_->shutdownWrite(); }
    auto abortRead() -> void override { inner_->abortRead(); }
    auto getsockopt(int level, int option, void* value, unsigned* length) -> void override {
        inner_->getsockopt(level, option, value, length);
    }
    auto setsockopt(int level, int option, const void* value, unsigned length) -> void override {
        inner_->setsockopt(level, option, value, length);
    }

  private:
    /// Reads the part of a message after its first `received` bytes.
    auto read_rest(kj::byte* buffer, std::size_t received, std::size_t min_bytes, std::size_t max_bytes)
        -> kj::Promise<std::size_t> {
        return inner_->tryRead(buffer + received, 1, kj::min(max_bytes - received, READ_BYTES))
            .then([=, this](std::size_t size) -> kj::Promise<std::size_t> {
                auto total = received + size;
                if (size == 0 || total >= min_bytes) {
                    received_ = 0;
                    // The first read is only the size of a message.
                    sent_message_ = sent_message_ || received > 0 || min_bytes > SIZE_BYTES;
                    since_ = monotonic_now();
                    update();
                    return total;
                }
                if (received_ == 0) {
                    since_ = monotonic_now();
                }
                received_ = total;
                update();
                owner_.enforce_memory();
                return read_rest(buffer, total, min_bytes, max_bytes);
            });
    }

    auto begin_write(std::size_t size) -> void {
        written_ = size;
        update();
        owner_.enforce_memory();
    }

    auto end_write() -> void {
        written_ = 0;
        update();
    }

    [[nodiscard]] auto stage() const -> session_stage {
        if (received_ > 0 || !sent_message_) {
            return session_stage::unidentified;
        }
        return written_ > 0 ? session_stage::delivering : session_stage::idle;
    }

    auto update() -> void {
        if (share_) {
            share_->update(CONNECTION_BYTES + received_ + written_, stage(), since_);
        }
    }

    auto evict(eviction_reason reason) -> void {
        owner_.on_evicted_(reason, share_->stage(), share_->bytes());
        end_share();
        on_evict_->fulfill();
    }

    /// Takes the connection out of the account.
    auto end_share() -> void {
        if (share_) {
            share_.reset();
            --owner_.open_;
        }
    }

    incoming_connections& owner_;
    kj::Own<kj::AsyncIoStream> inner_;
    kj::Own<kj::PromiseFulfiller<void>> on_evict_;
    std::optional<session_share> share_;  ///< None once the connection is evicted.
    time_point since_;
    std::size_t received_ = 0;
    std::size_t written_ = 0;
    bool sent_message_ = false;  ///< Whether a complete message arrived.
};

incoming_connections::incoming_connections(capnp::TwoPartyServer& server, kj::ConnectionReceiver& receiver,
                                           kj::Timer& timer, kj::TaskSet::ErrorHandler& on_failure,
                                           session_limits limits, evicted_hook on_evicted)
    : server_(server),
      receiver_(receiver),
      timer_(timer),
      on_failure_(on_failure),
      max_connections_(limits.connections),
      on_evicted_(std::move(on_evicted)),
      connections_(on_failure) {
    memory_.limit(limits.bytes);
}

auto incoming_connections::accept_all() -> kj::Promise<void> {
    return receiver_.accept().then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) {
            add(kj::mv(stream));
            return accept_all();
        },
        [this](kj::Exception&& failure) {
            on_failure_.taskFailed(kj::mv(failure));
            return timer_.afterDelay(ACCEPT_RETRY_DELAY).then([this] { return accept_all(); });
        });
}

auto incoming_connections::add(kj::Own<kj::AsyncIoStream> stream) -> void {
    if (open_ >= max_connections_) {
        if (auto* oldest = memory_.next_to_replace(this, monotonic_now())) {
            oldest->evict(eviction_reason::sessions);
        }
    }
    auto evicted = kj::newPromiseAndFulfiller<void>();
    auto counted = kj::heap<counted_stream>(*this, kj::mv(stream), kj::mv(evicted.fulfiller));
    auto& served = *counted;
    connections_.add(server_.accept(served).exclusiveJoin(kj::mv(evicted.promise)).attach(kj::mv(counted)));
    enforce_memory();
}

auto incoming_connections::enforce_memory() -> void {
    while (auto* share = memory_.next_to_evict()) {
        share->evict(eviction_reason::memory);
    }
}

}  // namespace eelgrassledge
