#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "eelgrassledge/config/text_file.hpp"
#include "eelgrassledge/core/allocator.hpp"
#include "eelgrassledge/runtime/application.hpp"
#include "http_server.hpp"
#include "json_log.hpp"

namespace {

using namespace eelgrassledge;

constexpr int EXIT_BAD_OPTION = 2;
constexpr int EXIT_BAD_SETTINGS = 3;
constexpr int EXIT_CANNOT_LISTEN = 4;
constexpr int EXIT_FORCED_STOP = 5;
/// Limit of the HTTP server for all request bodies. Configuration documents are larger than searches; the
/// search handler applies its own limit.
constexpr std::size_t MAX_ADMIN_BODY_BYTES = std::size_t{2} << 20U;

auto make_options() -> cxxopts::Options {
    cxxopts::Options options{"eelgrassledged",
                             "Daemon of the eelgrassledge query tier: entry and broker.\n"
                             "Exit codes: 0 stopped, 2 command line, 3 settings, 4 cannot listen, "
                             "5 stopped before all work was finished."};
    options.add_options()("s,settings", "INI file with the section [daemon]", cxxopts::value<std::string>())(
        "set", "KEY=VALUE that replaces a key of the settings; may be repeated",
        cxxopts::value<std::vector<std::string>>())("version", "print the version and exit")(
        "h,help", "print this help and exit");
    return options;
}

auto read_overrides(const std::vector<std::string>& pairs) -> result<std::vector<ini_entry>> {
    std::vector<ini_entry> entries;
    for (const auto& pair : pairs) {
        auto equals = pair.find('=');
        if (equals == std::string::npos) {
            return fail(result_code::bad_option, "--set " + pair + ": expected KEY=VALUE");
        }
        entries.push_back({pair.substr(0, equals), pair.substr(equals + 1)});
    }
    return entries;
}

auto report(const error& failure) -> int {
    std::cerr << "error " << static_cast<int>(failure.code) << " " << describe(failure.code).name << ": "
              << failure.message << "\n";
    switch (failure.code) {
        case result_code::bad_option:
            return EXIT_BAD_OPTION;
        case result_code::cannot_listen:
            return EXIT_CANNOT_LISTEN;
        default:
            return EXIT_BAD_SETTINGS;
    }
}

auto load_settings(const cxxopts::ParseResult& parsed) -> result<daemon_settings> {
    std::string text;
    std::string source = "command line";
    if (parsed.count("settings") > 0) {
        source = parsed["settings"].as<std::string>();
        auto file = read_text_file(source, result_code::bad_settings);
        if (!file) {
            return tl::unexpected{file.error()};
        }
        text = *file;
    }
    // The option has no default value: cxxopts would parse an empty list as one empty entry.
    auto pairs =
        parsed.count("set") > 0 ? parsed["set"].as<std::vector<std::string>>() : std::vector<std::string>{};
    auto overrides = read_overrides(pairs);
    if (!overrides) {
        return tl::unexpected{overrides.error()};
    }
    auto settings = parse_settings(text, *overrides);
    if (!settings) {
        return fail(result_code::bad_settings, source + ":\n" + to_string(settings.error()));
    }
    return *settings;
}

/// Blocks SIGTERM and SIGINT for the calling thread and all threads it starts, so that `sigwait` receives
/// them, and ignores SIGPIPE. Returns the blocked signals.
auto block_signals() -> sigset_t {
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return stop_signals;
}

/// Runs the daemon until it receives a stop signal; returns the exit code.
auto serve(const daemon_settings& settings) -> int {
    auto stop_signals = block_signals();
    auto log = make_json_log(settings.instance.value(), settings.level);
    application app{settings, log};
    if (!app.listening()) {
        return report({result_code::cannot_listen, settings.peer_address + ": peer address"});
    }
    http_limits limits;
    limits.max_body_bytes = std::max<std::size_t>(MAX_ADMIN_BODY_BYTES, settings.max_body_bytes);
    limits.sessions = caller_limits(settings.memory_mb, settings.max_fds);
    http_server server{[&app](const api_request& request, application::respond done) {
                           app.handle(request, std::move(done));
                       },
                       limits,
                       [&app](eviction_reason reason, session_stage stage, std::size_t bytes) {
                           app.record_eviction("callers", reason, stage, bytes);
                       }};
    auto started = server.start(settings.http_address);
    if (!started) {
        return report(started.error());
    }
    log(log_level::info, "started", {{"http", settings.http_address}, {"peer", settings.peer_address}});
    int received = 0;
    sigwait(&stop_signals, &received);
    auto all_work_finished = app.drain();
    server.stop();
    return all_work_finished ? 0 : EXIT_FORCED_STOP;
}

}  // namespace

auto main(int argc, char** argv) -> int {
    return_large_buffers_to_system();
    auto options = make_options();
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (parsed.count("version") > 0) {
            std::cout << "eelgrassledged " << EELGRASSLEDGE_VERSION << "\n";
            return 0;
        }
        auto settings = load_settings(parsed);
        return settings ? serve(*settings) : report(settings.error());
    } catch (const cxxopts::exceptions::exception& e) {
        return report({result_code::bad_option, e.what()});
    }
}
