#include <catch2/catch.hpp>
#include <fstream>

#include "cluster.hpp"

using namespace eelgrassledge;
using namespace eelgrassledge::test;

namespace {

struct command_result {
    int code = 0;
    std::string text;
};

auto run_command(const std::vector<std::string>& arguments) -> command_result {
    auto log = "/tmp/eelgrassledge-test-cli." + std::to_string(::getpid());
    std::remove(log.c_str());
    std::vector<std::string> command{std::string{EELGRASSLEDGE_BUILD_DIR} + "/tools/eelgrassledge"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    child_process process{command, log};
    auto code = process.wait_for_end(seconds{30});
    command_result result{code, read_text(log)};
    std::remove(log.c_str());
    return result;
}

auto contains(const std::string& text, const std::string& part) -> bool {
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("the command line without a daemon", "[path]") {
    auto examples = std::string{EELGRASSLEDGE_SOURCE_DIR} + "/examples/";
    SECTION("accepts each example") {
        for (const auto* name : {"etiket-zdrave.ini", "wadi-tracks.ini", "demo.ini"}) {
            auto checked = run_command({"config", "check", examples + name});
            CHECK(checked.code == 0);
            CHECK(contains(checked.text, "valid: 4 zones"));
        }
    }
    SECTION("lists every fault of a broken copy") {
        auto broken = "/tmp/eelgrassledge-test-broken." + std::to_string(::getpid());
        std::ofstream{broken} << read_text(examples + "demo.ini")
                              << "[service extra]\nslots = none\nspeed = 1\n[zone]\n";
        auto checked = run_command({"config", "check", broken});
        CHECK(checked.code == 3);
        CHECK(contains(checked.text, "[service extra] slots: 'none' is not a whole number"));
        CHECK(contains(checked.text, "[service extra] speed: is not a known key"));
        CHECK(contains(checked.text, "[zone] expected a name"));
        std::remove(broken.c_str());
    }
    SECTION("reports errors in its arguments and unreachable daemons") {
        CHECK(run_command({"fly"}).code == 2);
        CHECK(run_command({"--no-such-option"}).code == 2);
        CHECK(run_command({"--daemon", "nowhere", "status"}).code == 2);
        auto unreachable = run_command({"--daemon", free_address(), "status"});
        CHECK(unreachable.code == 5);
        CHECK(contains(unreachable.text, "error 504 daemon_unreachable"));
        CHECK(run_command({"--help"}).code == 0);
    }
}

TEST_CASE("a daemon starts with only a settings file", "[path]") {
    auto settings = "/tmp/eelgrassledge-test-settings." + std::to_string(::getpid()) + ".ini";
    auto log = settings + ".log";
    std::ofstream{settings} << "[daemon]\ninstance = one\nzone = a\nhttp_address = " << free_address()
                            << "\npeer_address = " << free_address()
                            << "\nplatform_address = " << free_address() << "\n";
    child_process daemon{
        {std::string{EELGRASSLEDGE_BUILD_DIR} + "/daemon/eelgrassledged", "--settings", settings}, log};
    INFO(read_text(log));
    CHECK(eventually(seconds{5}, [&] { return contains(read_text(log), "started"); }));
    CHECK(daemon.running());
    daemon.signal(SIGTERM);
    daemon.wait_for_end(seconds{15});
    std::remove(settings.c_str());
    std::remove(log.c_str());
}

TEST_CASE("the events of a request are read from log files", "[path]") {
    auto base = "/tmp/eelgrassledge-test-explain." + std::to_string(::getpid());
    std::ofstream{base + ".1"}
        << R"({"at_unix_us":2000,"level":"info","instance":"a","event":"answered","request_id":"r1","status":"200"})"
        << "\nnot json r1\n"
        << R"({"at_unix_us":1500,"level":"info","instance":"a","event":"answered","request_id":"r10"})"
        << "\n";
    std::ofstream{base + ".2"}
        << "  1.0 machine "
        << R"({"at_unix_us":1000,"level":"info","instance":"b","event":"hedge","request_id":"r1","detail":"shard=s"})"
        << "\n";
    auto explained = run_command({"explain", "r1", base + ".1", base + ".2"});
    CHECK(explained.code == 0);
    CHECK(contains(explained.text, "0.0 ms  b  hedge  detail=shard=s\n"));
    CHECK(contains(explained.text, "1.0 ms  a  answered  status=200\n"));
    CHECK_FALSE(contains(explained.text, "r10"));
    CHECK(run_command({"explain", "r2", base + ".1"}).code == 1);
    CHECK(run_command({"explain", "r1", base + ".none"}).code == 2);
    CHECK(run_command({"explain", "r1"}).code == 2);
    std::remove((base + ".1").c_str());
    std::remove((base + ".2").c_str());
}

TEST_CASE("the command line with daemons", "[path]") {
    cluster c{{}};
    REQUIRE(c.wait_until_serving());
    auto on_daemon = [&](std::vector<std::string> arguments) {
        std::vector<std::string> all{"--daemon", c.daemon_addresses(), "--token", "operator-token",
                                     "--key",    "caller-key"};
        all.insert(all.end(), arguments.begin(), arguments.end());
        return run_command(all);
    };
    auto found = on_daemon({"search", "--service", "label-desk", "--query", "rye", "--deadline-ms", "3000"});
    CHECK(found.code == 0);
    CHECK(contains(found.text, "complete, snapshot 1, shards 4/4"));
    CHECK(on_daemon({"search", "--service", "none", "--query", "rye"}).code == 1);
    CHECK(contains(on_daemon({"config", "show"}).text, "; revision 1 by test"));
    auto out = on_daemon({"zone", "out", "b"});
    CHECK(out.code == 0);
    CHECK(contains(out.text, "accepted as revision 2"));
    CHECK(on_daemon({"zone", "out", "nowhere"}).code == 1);
    CHECK(eventually(seconds{5},
                     [&] { return contains(on_daemon({"status"}).text, "revision 2 in force everywhere"); }));
    CHECK(on_daemon({"zone", "in", "b"}).code == 0);
    CHECK(contains(on_daemon({"metrics"}).text, "eelgrassledge_revision_in_force"));
}
