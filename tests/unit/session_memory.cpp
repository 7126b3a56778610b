#include "eelgrassledge/core/session_memory.hpp"

#include <catch2/catch.hpp>
#include <list>

using namespace eelgrassledge;

namespace {

constexpr std::size_t KIB = 1024;
constexpr auto LISTENER = 1;
constexpr auto OTHER_LISTENER = 2;

auto at(int millisecond) -> time_point {
    return time_point{} + milliseconds{millisecond};
}

}  // namespace

// Guards against crowds of clients that are each within their limits and together exceed the process's.
TEST_CASE("memory of sessions") {
    session_memory memory;
    memory.limit(1000 * KIB);
    std::list<session_share> shares;
    auto add = [&](std::size_t bytes, session_stage stage, int since, bool exempt = false,
                   const void* listener = &LISTENER) -> session_share* {
        auto& added = shares.emplace_back(memory, listener, exempt, [](eviction_reason) {});
        added.update(bytes, stage, at(since));
        return &added;
    };
    SECTION("is counted until a session ends, and costs none within the limit") {
        add(600 * KIB, session_stage::unidentified, 1);
        add(300 * KIB, session_stage::running, 1)->update(400 * KIB, session_stage::running, at(1));
        CHECK(memory.held() == 1000 * KIB);
        CHECK(memory.next_to_evict() == nullptr);
        shares.pop_back();
        CHECK(memory.held() == 600 * KIB);
    }
    SECTION("costs the request that began first, not a sound one that began late") {
        auto* stopped = add(260 * KIB, session_stage::identified, 1);
        for (int i = 0; i < 3; ++i) {
            add(260 * KIB, session_stage::identified, 5 + i);
        }
        CHECK(memory.next_to_evict() == stopped);
    }
    SECTION("does not cost a request that holds much less than the others") {
        add(2 * KIB, session_stage::identified, 1);
        auto* large = add(600 * KIB, session_stage::identified, 2);
        add(600 * KIB, session_stage::identified, 3);
        CHECK(memory.next_to_evict() == large);
    }
    SECTION("costs requests without a valid route or key before others, although they began later") {
        add(600 * KIB, session_stage::identified, 1);
        add(300 * KIB, session_stage::identified, 2);
        auto* unknown = add(200 * KIB, session_stage::unidentified, 3);
        CHECK(memory.next_to_evict() == unknown);
    }
    SECTION("costs valid requests while the others hold next to nothing") {
        auto* valid = add(600 * KIB, session_stage::identified, 9);
        add(600 * KIB, session_stage::identified, 10);
        for (int i = 0; i < 10; ++i) {
            add(2 * KIB, session_stage::unidentified, 1);
        }
        CHECK(memory.next_to_evict() == valid);
    }
    SECTION("costs no request that has begun to run while one is left that has not") {
        auto* running = add(900 * KIB, session_stage::running, 1);
        auto* unread = add(200 * KIB, session_stage::delivering, 2);
        auto* received = add(10 * KIB, session_stage::identified, 3);
        CHECK(memory.next_to_evict() == received);
        received->update(0, session_stage::closing, at(4));
        CHECK(memory.next_to_evict() == unread);
        unread->update(0, session_stage::closing, at(4));
        running->update(1001 * KIB, session_stage::running, at(1));
        CHECK(memory.next_to_evict() == running);
    }
    SECTION("never costs exempt sessions, which are counted") {
        add(990 * KIB, session_stage::unidentified, 1, true);
        auto* other = add(20 * KIB, session_stage::identified, 2);
        CHECK(memory.next_to_evict() == other);
        other->update(0, session_stage::closing, at(3));
        add(20 * KIB, session_stage::idle, 1);
        CHECK(memory.next_to_evict() == nullptr);
    }
    SECTION("does not cost sessions between requests") {
        add(2 * KIB, session_stage::idle, 1);
        auto* running = add(1000 * KIB, session_stage::running, 2);
        CHECK(memory.next_to_evict() == running);
    }
}

// Guards against connections that use up a listener's sessions and keep its other clients out.
TEST_CASE("replacing a session of a full listener") {
    session_memory memory;
    std::list<session_share> shares;
    auto add = [&](session_stage stage, int since, const void* listener = &LISTENER) -> session_share* {
        auto& added = shares.emplace_back(memory, listener, false, [](eviction_reason) {});
        added.update(KIB, stage, at(since));
        return &added;
    };
    add(session_stage::running, 1);
    add(session_stage::unidentified, 1, &OTHER_LISTENER);
    add(session_stage::closing, 1, &OTHER_LISTENER);
    CHECK(memory.next_to_replace(&LISTENER, at(100)) == nullptr);
    auto* unread = add(session_stage::delivering, 2);
    CHECK(memory.next_to_replace(&LISTENER, at(100)) == unread);
    auto* body = add(session_stage::identified, 3);
    CHECK(memory.next_to_replace(&LISTENER, at(100)) == body);
    auto* idle = add(session_stage::idle, 4);
    CHECK(memory.next_to_replace(&LISTENER, at(100)) == idle);
    add(session_stage::unidentified, 6);
    auto* silent = add(session_stage::unidentified, 5);
    CHECK(memory.next_to_replace(&LISTENER, at(100)) == silent);
    // Guards against clients that do not close their side after a refusal: as many of them as the listener
    // has sessions kept readiness checks out for more than a second.
    SECTION("chooses sessions that wait for their client to close before all others") {
        add(session_stage::closing, 8);
        auto* refused = add(session_stage::closing, 7);
        CHECK(memory.next_to_replace(&LISTENER, at(100)) == refused);
        CHECK(memory.next_to_replace(&LISTENER, at(6)) == silent);
    }
    SECTION("leaves a client that has just come time to send its request") {
        CHECK(memory.next_to_replace(&LISTENER, at(4)) == idle);
        CHECK(memory.next_to_replace(&LISTENER, at(1)) == nullptr);
    }
}
