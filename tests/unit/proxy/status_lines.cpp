#include <catch2/catch.hpp>

#include "eelgrassledge/proxy/http_parsers.hpp"

using namespace eelgrassledge;

namespace {

/// What follows `HTTP/1.1 ` in a status line, with the expected state after the answer.
struct status_case {
    std::string_view text;
    parse_state expected;
};

/// State after an answer without a body, fed in pieces of this size.
auto state_after(const std::string& bytes, std::size_t piece) -> parse_state {
    response_parser parser{false};
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        parser.feed(std::string_view{bytes}.substr(at, piece), {});
    }
    return parser.state();
}

}  // namespace

// Guards against statuses outside 200 to 599 that are passed on, and against an answer whose status is read
// differently from what the upstream wrote, such as 0200.
TEST_CASE("status of an answer") {
    const std::vector<status_case> cases{
        {"200 OK", parse_state::complete},
        {"200", parse_state::complete},
        {"200 ", parse_state::complete},
        {"418 I'm a teapot", parse_state::complete},
        {"599 Other", parse_state::complete},
        {"000 OK", parse_state::malformed},
        {"099 OK", parse_state::malformed},
        {"600 OK", parse_state::malformed},
        {"999 OK", parse_state::malformed},
        {"1000 OK", parse_state::malformed},
        {"2000 OK", parse_state::malformed},
        {"20 OK", parse_state::malformed},
        {"20", parse_state::malformed},
        {"2 OK", parse_state::malformed},
        {"0200 OK", parse_state::malformed},
        {"00200 OK", parse_state::malformed},
        {"+200 OK", parse_state::malformed},
        {"-200 OK", parse_state::malformed},
        {"200x OK", parse_state::malformed},
        {"2x0 OK", parse_state::malformed},
        {"0xc8 OK", parse_state::malformed},
        {"", parse_state::malformed},
        {"OK", parse_state::malformed},
        {"101 Switching Protocols", parse_state::malformed},
        {"0100 Continue", parse_state::malformed},
        {"10 Continue", parse_state::malformed},
    };
    const std::string fields = "\r\nContent-Length: 2\r\n\r\nok";
    for (const auto& one : cases) {
        for (std::size_t piece : {1U, 2U, 5U, 11U, 1000U}) {
            INFO("status \"" << one.text << "\" in pieces of " << piece);
            auto answer = "HTTP/1.1 " + std::string{one.text} + fields;
            CHECK(state_after(answer, piece) == one.expected);
            CHECK(state_after("HTTP/1.1 100 Continue\r\n\r\n" + answer, piece) == one.expected);
            CHECK(state_after("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n\r\n" + answer, piece) ==
                  one.expected);
        }
    }
}

// Guards against a wait until the deadline for an answer that never follows.
TEST_CASE("a switch of protocols that was not requested is a failure at once") {
    for (const auto* fields : {"", "Connection: Upgrade\r\nUpgrade: other\r\n"}) {
        INFO(fields);
        auto head = std::string{"HTTP/1.1 101 Switching Protocols\r\n"} + fields + "\r\n";
        CHECK(state_after(head, 1) == parse_state::malformed);
        CHECK(state_after(head, head.size()) == parse_state::malformed);
    }
}

// Guards against a check of the status that refuses the interim answers which may precede an answer.
TEST_CASE("interim answers stay valid, and their number stays limited") {
    for (const auto* interim : {"100 Continue", "102 Processing", "103 Early Hints", "199 Other"}) {
        INFO(interim);
        auto head = "HTTP/1.1 " + std::string{interim} + "\r\n\r\n";
        for (std::size_t piece : {1U, 7U, 1000U}) {
            CHECK(state_after(head + head, piece) == parse_state::head);
            CHECK(state_after(head + head + "HTTP/1.1 204 No Content\r\n\r\n", piece) ==
                  parse_state::complete);
        }
        std::string many;
        while (many.size() < std::size_t{8} * message_limits{}.max_header_bytes) {
            many += head;
        }
        CHECK(state_after(many, 1000) == parse_state::header_too_large);
    }
}
