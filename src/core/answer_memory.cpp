#include "eelgrassledge/core/answer_memory.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace eelgrassledge {

auto answer_memory::choose() const -> answer_share* {
    std::size_t sum = 0;
    for (const auto* share : large_) {
        sum += share->bytes_;
    }
    auto rank = [](const answer_share& of) { return std::pair{of.expected_bytes_, of.bytes_}; };
    answer_share* chosen = nullptr;
    for (auto* share : large_) {
        auto is_candidate = share->bytes_ >= sum / large_.size() / 2;
        if (is_candidate && (chosen == nullptr || rank(*share) > rank(*chosen))) {
            chosen = share;
        }
    }
    return chosen;
}

auto answer_memory::enforce_limit() -> void {
    while (held_ > limit_ && !large_.empty()) {
        auto* chosen = choose();
        large_.erase(chosen);
        if (observer_) {
            observer_(chosen->bytes_, held_);
        }
        held_ -= std::exchange(chosen->bytes_, 0);
        chosen->given_up_ = true;
        chosen->give_up_();
    }
}

answer_share::answer_share(answer_memory& memory, std::function<void()> give_up)
    : memory_(memory), give_up_(std::move(give_up)) {}

answer_share::~answer_share() {
    memory_.held_ -= bytes_;
    memory_.large_.erase(this);
}

auto answer_share::update(std::size_t bytes, std::optional<std::size_t> stated_length) -> void {
    if (given_up_) {
        return;
    }
    memory_.held_ = memory_.held_ - bytes_ + bytes;
    bytes_ = bytes;
    expected_bytes_ = stated_length.value_or(std::numeric_limits<std::size_t>::max());
    if (give_up_ && bytes_ > answer_memory::SMALL_ANSWER_BYTES) {
        memory_.large_.insert(this);
    }
    memory_.enforce_limit();
}

}  // namespace eelgrassledge
