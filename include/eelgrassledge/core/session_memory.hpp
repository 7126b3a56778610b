#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

class session_share;

/// What a session is doing, as far as it matters for eviction.
enum class session_stage : std::uint8_t {
    unidentified,  ///< Has sent no request yet, or one whose route and key are not known to be valid.
    idle,          ///< Waits for the next request.
    identified,    ///< Receives the body of a request whose route and key are valid.
    delivering,    ///< Has an answer that its client has not read completely.
    running,       ///< Its request is being handled.
    closing        ///< Was answered, and discards input until its client closes; holds no memory to free.
};

/// Why a session is evicted.
enum class eviction_reason : std::uint8_t {
    memory,   ///< The sessions of the process hold more memory than the limit.
    sessions  ///< The listener has as many sessions as it may have, and another client waits.
};

[[nodiscard]] auto to_string(session_stage stage) -> const char*;
[[nodiscard]] auto to_string(eviction_reason reason) -> const char*;

/// Memory of all sessions of a process, and the decision which of them is evicted.
///
/// Addresses clients that send requests of legal size and stop before their end, send or read very slowly, or
/// open many connections: each is within its own limits, and together they exceed the process's.
///
/// Sessions whose request has not begun to run are evicted before all others, those without a valid route and
/// key first. Then follow answers that are not read, and running requests last. Within a stage only sessions
/// that hold at least half of its average are considered, and the one whose request began first is evicted:
/// sound clients finish early, however misbehaving ones divide their bytes.
///
/// Not synchronized. A decision takes linear time in the number of sessions; it is needed only above a limit.
class session_memory {
  public:
    /// Limit that suits a process with 160 MiB of memory, in bytes.
    static constexpr std::size_t DEFAULT_LIMIT_BYTES = std::size_t{80} << 20U;

    /// Sets the limit on the bytes of all sessions together.
    auto limit(std::size_t bytes) -> void { limit_ = bytes; }
    [[nodiscard]] auto limit() const -> std::size_t { return limit_; }

    /// Bytes that all sessions hold now.
    [[nodiscard]] auto held() const -> std::size_t { return held_; }

    /// The session to evict because of the limit; null if the limit is kept or no session can be evicted.
    [[nodiscard]] auto next_to_evict() const -> session_share*;

    /// The session of `listener` to evict so that it can accept another one; null if none can be. Requests
    /// that run are never chosen, and no session that entered its stage after `latest`.
    [[nodiscard]] auto next_to_replace(const void* listener, time_point latest) const -> session_share*;

  private:
    friend class session_share;

    [[nodiscard]] auto held_in(session_stage stage) const -> std::size_t;
    /// The session to evict among those in two stages, which may be the same; null if there is none.
    [[nodiscard]] auto choose(session_stage first, session_stage second) const -> session_share*;

    std::size_t limit_ = DEFAULT_LIMIT_BYTES;
    std::size_t held_ = 0;
    std::set<session_share*> shares_;
};

/// Part of a `session_memory` that one session holds until this object is destroyed. The memory must outlive
/// it.
class session_share {
  public:
    using evict_function = std::function<void(eviction_reason)>;

    /// `listener` identifies the listener of the session. An exempt session is counted, but not evicted
    /// because of memory. `evict` must end the session or its request.
    session_share(session_memory& memory, const void* listener, bool exempt, evict_function evict);
    ~session_share();
    session_share(const session_share&) = delete;
    auto operator=(const session_share&) -> session_share& = delete;

    /// Records that the session holds `bytes` and is in `stage` since `since`. For a session that receives a
    /// request, `since` is the time when the request began.
    auto update(std::size_t bytes, session_stage stage, time_point since) -> void;

    /// Evicts the session. This object may be destroyed by it.
    auto evict(eviction_reason reason) -> void;

    [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }
    [[nodiscard]] auto stage() const -> session_stage { return stage_; }
    [[nodiscard]] auto since() const -> time_point { return since_; }

  private:
    friend class session_memory;

    session_memory& memory_;
    const void* listener_;
    bool exempt_;
    evict_function evict_;
    std::size_t bytes_ = 0;
    session_stage stage_ = session_stage::unidentified;
    time_point since_{};
};

}  // namespace eelgrassledge
