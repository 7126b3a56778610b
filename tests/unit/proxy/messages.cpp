#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "eelgrassledge/output/bounded_log.hpp"
#include "eelgrassledge/proxy/caller_answers.hpp"
#include "eelgrassledge/proxy/http_parsers.hpp"
#include "eelgrassledge/proxy/peer_protocol.hpp"
#include "eelgrassledge/routing/record_merge.hpp"
#include "routing_fixture.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

auto state_after(std::string_view bytes, const message_limits& limits = {}) -> parse_state {
    request_parser parser;
    parser.feed(bytes, limits);
    return parser.state();
}

auto answer_state(std::string_view bytes, bool ends) -> parse_state {
    response_parser parser{false};
    parser.feed(bytes, {});
    if (ends) {
        parser.end_of_connection();
    }
    return parser.state();
}

}  // namespace

TEST_CASE("waits in seconds are parsed") {
    CHECK(parse_seconds("2") == seconds{2});
    CHECK(parse_seconds("0") == duration{});
    CHECK(parse_seconds("0.25") == milliseconds{250});
    CHECK(parse_seconds("1e3") == std::nullopt);
    for (const auto* invalid : {"", "-1", "+1", "soon", "1.2.3", ".", "nan", "inf", "0x10", "1 s",
                                "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        INFO(invalid);
        CHECK_FALSE(parse_seconds(invalid));
    }
    CHECK(parse_seconds("99999999999") == std::chrono::hours{24});
    CHECK(parse_seconds(std::string(5000, '9')) == std::chrono::hours{24});
}

TEST_CASE("requests of callers") {
    SECTION("are parsed completely, and the bytes after them are not consumed") {
        request_parser parser;
        std::string bytes =
            "POST /a/b?c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        auto used = parser.feed(bytes + "GET / HTTP/1.1\r\n", {});
        REQUIRE(parser.state() == parse_state::complete);
        CHECK(used == bytes.size());
        auto request = parser.take();
        CHECK(request.method == "POST");
        CHECK(request.target == "/a/b?c");
        CHECK(request.body == "abcde");
        CHECK(request.keep_alive);
        CHECK(parser.state() == parse_state::head);
    }
    SECTION("with ambiguous framing are malformed") {
        CHECK(state_after("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n0\r\n\r\n") == parse_state::malformed);
        CHECK(
            state_after("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd") ==
            parse_state::malformed);
    }
    SECTION("that are not HTTP are malformed") {
        CHECK(state_after("\x16\x03\x01\x02") == parse_state::malformed);
        CHECK(state_after("GET / HTTP/1.1\r\nbad header\r\n\r\n") == parse_state::malformed);
    }
    SECTION("are limited in size") {
        message_limits limits{100, 10};
        CHECK(state_after("GET /" + std::string(200, 'x') + " HTTP/1.1\r\n", limits) ==
              parse_state::header_too_large);
        CHECK(state_after("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", limits) ==
              parse_state::body_too_large);
        CHECK(state_after("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n",
                          limits) == parse_state::body_too_large);
    }
}

TEST_CASE("answers of upstreams") {
    SECTION("without a length are complete only when the connection is closed in an orderly way") {
        CHECK(answer_state("HTTP/1.1 200 OK\r\n\r\nabc", false) == parse_state::body);
        CHECK(answer_state("HTTP/1.1 200 OK\r\n\r\nabc", true) == parse_state::complete);
    }
    SECTION("that end early are malformed") {
        CHECK(answer_state("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", true) ==
              parse_state::malformed);
        CHECK(answer_state("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true) ==
              parse_state::malformed);
        CHECK(answer_state("HTTP/1.1 200", true) == parse_state::malformed);
    }
    SECTION("may follow an interim answer") {
        response_parser parser{false};
        parser.feed("HTTP/1.1 102 Processing\r\n\r\n", {});
        CHECK(parser.has_interim());
        CHECK(parser.state() == parse_state::head);
        parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", {});
        REQUIRE(parser.state() == parse_state::complete);
        CHECK(parser.status() == 200);
        CHECK(parser.take_body() == "ok");
    }
    SECTION("leave the bytes after them unconsumed") {
        std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        response_parser parser{false};
        CHECK(parser.feed(whole + "HTTP/1.1 200 OK\r\n", {}) == whole.size());
        CHECK(parser.state() == parse_state::complete);
    }
}

TEST_CASE("headers that apply to a single connection are not forwarded") {
    std::vector<http_header> headers{{"Connection", "keep-alive, X-Private"},
                                     {"X-Private", "1"},
                                     {"keep-alive", "timeout=5"},
                                     {"Transfer-Encoding", "chunked"},
                                     {"X-Kept", "2"}};
    auto kept = without_connection_headers(headers);
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].name == "X-Kept");
}

TEST_CASE("parsing of whole numbers") {
    CHECK(to_whole_number("1500", -1) == 1500);
    for (const auto* bad : {"", "-1", "1.5", "1500 ", "99999999999999999999", "x"}) {
        CHECK(to_whole_number(bad, -7) == -7);
    }
}

TEST_CASE("answers generated by the instance") {
    SECTION("have status 503 only if the request has not run") {
        for (const auto& row : result_codes()) {
            auto is_unavailable = status_of(row.code) == 503;
            if (is_unavailable) {
                INFO(row.name);
                CHECK(row.state == run_state::not_run);
            }
        }
    }
    SECTION("state Retry-After in a refusal, but not in other failures") {
        auto refusal = error_response(result_code::upstream_shedding, milliseconds{250});
        CHECK(refusal.status == 503);
        CHECK(header_value(refusal.headers, "Retry-After") == "0.25");
        CHECK_FALSE(has_header(error_response(result_code::upstream_timeout, {}).headers, "Retry-After"));
    }
    SECTION("state the missing parts") {
        query_answer answer;
        answer.part_signatures = {"a", "b"};
        answer.missing_parts = 1;
        forwarding_headers names{"Id", "Left", "Sig", "To", "No", "Leaving", "Parts", "Missing", "Team"};
        auto response = to_caller_response(answer, request_id{"r"}, names);
        CHECK(response.status == 200);
        CHECK(header_value(response.headers, "Parts") == "a, b");
        CHECK(header_value(response.headers, "Missing") == "1");
        CHECK(header_value(response.headers, "Id") == "r");
    }
}

TEST_CASE("queries between instances") {
    SECTION("encode their shards as a bitmap and decode them without loss") {
        std::vector<std::size_t> shards{0, 3, 4, 17, 89};
        CHECK(from_bitmap(to_bitmap(shards)) == shards);
        CHECK(from_bitmap("")->empty());
        CHECK_FALSE(from_bitmap("0g"));
    }
    SECTION("are decoded from headers, which are then removed") {
        auto headers = to_headers({config_version{9}, {1, 5}, milliseconds{70}});
        headers.push_back({"X-Other", "1"});
        auto query = extract_peer_query(headers);
        REQUIRE(query);
        CHECK(query->version == config_version{9});
        CHECK(query->shards == std::vector<std::size_t>{1, 5});
        CHECK(query->answer_in == milliseconds{70});
        CHECK(headers.size() == 1);
        CHECK_FALSE(extract_peer_query(headers));
    }
    SECTION("carry parts in the order of their signatures") {
        query_answer answer;
        answer.part_signatures = {"x", "y"};
        answer.parts = {2, 7};
        answer.open_shards = {4};
        answer.merged = "records";
        auto response = to_peer_response(answer);
        auto outcome = read_peer_response(response.status, response.headers, response.body, {2, 4, 7});
        CHECK(outcome.end == group_end::answered);
        CHECK(outcome.shards == answer.parts);
        CHECK(outcome.signatures == answer.part_signatures);
        CHECK(outcome.open_shards == answer.open_shards);
        CHECK(outcome.merged == "records");
        CHECK(read_peer_response(200, response.headers, "", {2, 4}).end == group_end::failed);
        CHECK(read_peer_response(502, {}, "", {2}).end == group_end::failed);
    }
    SECTION("that were not taken are marked as such") {
        CHECK(is_not_taken(peer_not_taken().headers));
        CHECK_FALSE(refused_wait(peer_not_taken().headers));
        CHECK(is_not_taken(peer_refused(milliseconds{250}).headers));
        CHECK(refused_wait(peer_refused(milliseconds{250}).headers) == milliseconds{250});
    }
}

TEST_CASE("merge of records") {
    SECTION("keeps the greatest, including equal ones, and ignores an incomplete record at the end") {
        std::string low(16, 'a');
        std::string high(16, 'c');
        std::string middle(16, 'b');
        auto first = low + high + "rest";
        auto second = middle + high;
        CHECK(merge_greatest_records({first, second}, 3) == high + high + middle);
        CHECK(merge_greatest_records({first}, 10) == high + low);
        CHECK(merge_greatest_records({}, 10).empty());
    }
    SECTION("compares bytes as unsigned values") {
        std::string low(16, 'z');
        std::string high(16, '\xff');
        CHECK(merge_greatest_records({low, high}, 1) == high);
    }
}

TEST_CASE("log lines") {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    bounded_log log{ends[1], "me \"quoted\""};
    SECTION("are JSON and are written to the file descriptor") {
        log.write(log_level::info, "event", {{"key", "a\nb"}});
        log.flush();
        char buffer[512];
        auto count = read(ends[0], buffer, sizeof buffer);
        std::string line{buffer, static_cast<std::size_t>(count)};
        CHECK(line.find(R"("instance":"me \"quoted\"","event":"event","key":"a\u000ab"})") !=
              std::string::npos);
    }
    SECTION("never block; lines beyond the limit are dropped and counted") {
        for (int i = 0; i < 5000; ++i) {
            log.write(log_level::info, "event", {{"text", std::string(400, 'x')}});
            log.flush();
        }
        CHECK(log.dropped() > 4000);
    }
    close(ends[0]);
    close(ends[1]);
}

// Guards against callers that replace headers that decide about a request after its body, or with a name that
// upstreams read differently.
TEST_CASE("fields of a request that could replace others") {
    request_parser parser;
    parser.feed(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Team: a\r\n\r\n",
        {});
    REQUIRE(parser.state() == parse_state::complete);
    auto request = parser.take();
    CHECK(request.body == "x");
    CHECK_FALSE(has_header(request.headers, "X-Team"));
    CHECK(has_header(request.headers, "Host"));
    CHECK(state_after("GET / HTTP/1.1\r\nX-Team : a\r\n\r\n") == parse_state::malformed);
}

TEST_CASE("refusals that depend on the team") {
    auto unknown = error_response(result_code::unknown_caller, {});
    CHECK(unknown.status == 401);
    CHECK_FALSE(has_header(unknown.headers, "Retry-After"));
    auto over = error_response(result_code::quota_exceeded, milliseconds{1500});
    CHECK(over.status == 429);
    CHECK(header_value(over.headers, "Retry-After") == "1.50");
    CHECK(error_response(result_code::quota_unavailable, {}).status == 503);
    CHECK(is_not_run(result_code::quota_exceeded));
    CHECK_FALSE(is_not_run(result_code::unknown_caller));
    CHECK_FALSE(is_not_run(result_code::upstream_failed));
}
