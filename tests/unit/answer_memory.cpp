#include "eelgrassledge/core/answer_memory.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace eelgrassledge;

namespace {

constexpr std::size_t KIB = 1024;

/// An answer of a test that counts how often it was given up.
struct test_answer {
    explicit test_answer(answer_memory& memory) : share(memory, [this] { ++given_up; }) {}
    int given_up = 0;
    answer_share share;
};

}  // namespace

// Guards against many answers without an end that are each within their limit and together exceed the
// process's.
TEST_CASE("memory of answers in progress") {
    answer_memory memory;
    memory.limit(1000 * KIB);
    std::vector<std::pair<std::size_t, std::size_t>> observed;
    memory.on_given_up([&](std::size_t answer, std::size_t total) { observed.emplace_back(answer, total); });
    std::vector<std::unique_ptr<test_answer>> answers;
    auto add = [&](std::size_t bytes, std::optional<std::size_t> stated = std::nullopt) -> test_answer& {
        answers.push_back(std::make_unique<test_answer>(memory));
        auto& added = *answers.back();
        added.share.update(bytes, stated);
        return added;
    };
    SECTION("is counted until an answer ends") {
        add(300 * KIB);
        add(100 * KIB).share.update(200 * KIB, std::nullopt);
        CHECK(memory.held() == 500 * KIB);
        answers.pop_back();
        CHECK(memory.held() == 300 * KIB);
        CHECK(observed.empty());
    }
    SECTION("above the limit costs the largest answer, which is reported and frees its memory") {
        auto& largest = add(500 * KIB);
        auto& other = add(400 * KIB);
        auto& last = add(200 * KIB);
        CHECK(largest.given_up == 1);
        CHECK(largest.share.is_given_up());
        CHECK(other.given_up + last.given_up == 0);
        CHECK(memory.held() == 600 * KIB);
        CHECK(observed == std::vector<std::pair<std::size_t, std::size_t>>{{500 * KIB, 1100 * KIB}});
        largest.share.update(900 * KIB, std::nullopt);
        CHECK(memory.held() == 600 * KIB);
    }
    SECTION("costs answers without a stated length before sound large ones") {
        auto& stated = add(450 * KIB, 500 * KIB);
        auto& endless = add(300 * KIB);
        add(350 * KIB);
        CHECK(stated.given_up == 0);
        CHECK(endless.given_up == 0);
        CHECK(answers.back()->given_up == 1);
    }
    SECTION("costs the answer that states the largest length first") {
        auto& moderate = add(450 * KIB, 500 * KIB);
        auto& huge = add(400 * KIB, 8000 * KIB);
        add(300 * KIB, 400 * KIB);
        CHECK(huge.given_up == 1);
        CHECK(moderate.given_up == 0);
    }
    SECTION("does not cost an answer that holds much less than others, although its length is not stated") {
        auto& sound = add(20 * KIB);
        for (int i = 0; i < 12; ++i) {
            add(90 * KIB, 8000 * KIB);
        }
        CHECK(sound.given_up == 0);
        CHECK(memory.held() <= 1000 * KIB);
    }
    SECTION("includes answers that are passed on, which are never given up") {
        answer_share passed_on{memory};
        passed_on.update(900 * KIB, std::nullopt);
        CHECK(add(50 * KIB).given_up == 0);
        CHECK(add(60 * KIB).given_up == 1);
        CHECK(memory.held() == 950 * KIB);
    }
    SECTION("never costs small answers, however many") {
        for (int i = 0; i < 200; ++i) {
            add(answer_memory::SMALL_ANSWER_BYTES);
        }
        CHECK(observed.empty());
        auto& large = add(answer_memory::SMALL_ANSWER_BYTES + 1);
        CHECK(large.given_up == 1);
    }
}
