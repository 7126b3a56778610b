#include "eelgrassledge/core/session_memory.hpp"

#include <optional>
#include <utility>

namespace eelgrassledge {

namespace {

/// Sessions in a stage are evicted before those in later stages if they hold more than this part of the
/// limit. Below it, evicting them would close many connections and free little.
constexpr std::size_t STAGE_DIVISOR = 16;

}  // namespace

auto to_string(session_stage stage) -> const char* {
    switch (stage) {
        case session_stage::unidentified:
            return "unidentified";
        case session_stage::idle:
            return "idle";
        case session_stage::identified:
            return "identified";
        case session_stage::delivering:
            return "delivering";
        case session_stage::running:
            return "running";
        case session_stage::closing:
            return "closing";
    }
    return "";
}

auto to_string(eviction_reason reason) -> const char* {
    return reason == eviction_reason::memory ? "memory" : "sessions";
}

auto session_memory::held_in(session_stage stage) const -> std::size_t {
    std::size_t sum = 0;
    for (const auto* share : shares_) {
        sum += share->stage_ == stage && !share->exempt_ ? share->bytes_ : 0;
    }
    return sum;
}

auto session_memory::choose(session_stage first, session_stage second) const -> session_share* {
    auto is_in_stage = [&](const session_share& share) {
        return !share.exempt_ && (share.stage_ == first || share.stage_ == second);
    };
    std::size_t sum = 0;
    std::size_t count = 0;
    for (const auto* share : shares_) {
        if (is_in_stage(*share)) {
            sum += share->bytes_;
            ++count;
        }
    }
    session_share* chosen = nullptr;
    for (auto* share : shares_) {
        if (is_in_stage(*share) && share->bytes_ >= sum / count / 2 &&
            (chosen == nullptr || share->since_ < chosen->since_)) {
            chosen = share;
        }
    }
    return chosen;
}

auto session_memory::next_to_evict() const -> session_share* {
    if (held_ <= limit_) {
        return nullptr;
    }
    for (auto stage : {session_stage::unidentified, session_stage::identified}) {
        if (held_in(stage) > limit_ / STAGE_DIVISOR) {
            return choose(stage, stage);
        }
    }
    if (auto* not_running = choose(session_stage::unidentified, session_stage::identified)) {
        return not_running;
    }
    auto* delivering = choose(session_stage::delivering, session_stage::delivering);
    return delivering != nullptr ? delivering : choose(session_stage::running, session_stage::running);
}

auto session_memory::next_to_replace(const void* listener, time_point latest) const -> session_share* {
    auto rank = [](session_stage stage) -> std::optional<int> {
        switch (stage) {
            case session_stage::closing:
                // Has been answered, and only waits for its client to close.
                return 0;
            case session_stage::unidentified:
                return 1;
            case session_stage::idle:
                return 2;
            case session_stage::identified:
                return 3;
            case session_stage::delivering:
                return 4;
            default:
                return std::nullopt;
        }
    };
    session_share* chosen = nullptr;
    for (auto* share : shares_) {
        if (share->listener_ != listener || share->since_ > latest || !rank(share->stage_)) {
            continue;
        }
        if (chosen == nullptr ||
            std::pair{rank(share->stage_), share->since_} < std::pair{rank(chosen->stage_), chosen->since_}) {
            chosen = share;
        }
    }
    return chosen;
}

session_share::session_share(session_memory& memory, const void* listener, bool exempt, evict_function evict)
    : memory_(memory), listener_(listener), exempt_(exempt), evict_(std::move(evict)) {
    memory_.shares_.insert(this);
}

session_share::~session_share() {
    memory_.held_ -= bytes_;
    memory_.shares_.erase(this);
}

auto session_share::update(std::size_t bytes, session_stage stage, time_point since) -> void {
    memory_.held_ = memory_.held_ - bytes_ + bytes;
    bytes_ = bytes;
    stage_ = stage;
    since_ = since;
}

auto session_share::evict(eviction_reason reason) -> void {
    // A copy, because the function may destroy this object.
    auto function = evict_;
    function(reason);
}

}  // namespace eelgrassledge
