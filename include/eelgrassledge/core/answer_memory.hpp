#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <set>

namespace eelgrassledge {

class answer_share;

/// Bounds the memory of the answers that one event loop is receiving, or passing on, at the same time.
///
/// When the sum exceeds the limit, answers are given up until it does not. The answers considered are those
/// being received that hold at least half of the average. Among them, the one expected to become largest is
/// given up first, where an answer without a stated length counts as the largest. Small answers are never
/// given up, so that answers without an end cost only each other.
///
/// Not synchronized. An update takes logarithmic time unless the limit is exceeded; giving up an answer is
/// linear in the number of answers that are not small.
class answer_memory {
  public:
    /// Called with the bytes that the answer held and those of all answers together.
    using observer = std::function<void(std::size_t answer_bytes, std::size_t total_bytes)>;

    /// An answer that holds at most this number of bytes is never given up.
    static constexpr std::size_t SMALL_ANSWER_BYTES = std::size_t{16} << 10U;

    /// Limit that suits a process with 128 MiB of memory, in bytes.
    static constexpr std::size_t DEFAULT_LIMIT_BYTES = std::size_t{32} << 20U;

    /// Sets the limit on the bytes of all answers together.
    auto limit(std::size_t bytes) -> void { limit_ = bytes; }
    [[nodiscard]] auto limit() const -> std::size_t { return limit_; }

    auto on_given_up(observer hook) -> void { observer_ = std::move(hook); }

    /// Bytes that all answers hold now.
    [[nodiscard]] auto held() const -> std::size_t { return held_; }

  private:
    friend class answer_share;

    /// The answer to give up next. At least one must be large.
    [[nodiscard]] auto choose() const -> answer_share*;
    auto enforce_limit() -> void;

    std::size_t limit_ = DEFAULT_LIMIT_BYTES;
    std::size_t held_ = 0;
    /// Shares of answers that are not small.
    std::set<answer_share*> large_;
    observer observer_;
};

/// Part of an `answer_memory` that one answer holds, from its first byte until this object is destroyed. The
/// memory must outlive it.
class answer_share {
  public:
    /// For an answer that is passed on and cannot be given up.
    explicit answer_share(answer_memory& memory) : memory_(memory) {}

    /// For an answer that is being received. `give_up` must free its memory. It may be called from within
    /// `update` of any share of the same `answer_memory`, once at most, and must not destroy or update a
    /// share.
    answer_share(answer_memory& memory, std::function<void()> give_up);
    ~answer_share();
    answer_share(const answer_share&) = delete;
    auto operator=(const answer_share&) -> answer_share& = delete;

    /// Records that the answer holds `bytes` now; `stated_length` is the length of its body, if it states
    /// one. Has no effect once the answer was given up.
    auto update(std::size_t bytes, std::optional<std::size_t> stated_length) -> void;

    /// Whether the answer was given up.
    [[nodiscard]] auto is_given_up() const -> bool { return given_up_; }

  private:
    friend class answer_memory;

    answer_memory& memory_;
    std::function<void()> give_up_;
    std::size_t bytes_ = 0;
    /// Size that the answer is expected to reach; the largest possible value if its length is not stated.
    std::size_t expected_bytes_ = 0;
    bool given_up_ = false;
};

}  // namespace eelgrassledge
