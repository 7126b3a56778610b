#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "daemon_client.hpp"

namespace eelgrassledge::tools {

/// Exit codes of the command-line tool. `usage` in eelgrassledge.cpp describes them for users.
enum exit_code : int {
    DONE = 0,
    REFUSED = 1,
    BAD_OPTION = 2,
    BAD_DOCUMENT = 3,
    CONFLICT = 4,
    UNREACHABLE = 5,
    PARTIAL = 6,
};

/// One invocation: its positional arguments, options and the daemons to call.
struct command {
    std::vector<std::string> words;
    const cxxopts::ParseResult& options;
    daemon_client client;
    bool as_json = false;

    /// Returns the positional argument at index `i`, or an empty string if there is none.
    [[nodiscard]] auto word(std::size_t i) const -> std::string {
        return i < words.size() ? words[i] : std::string{};
    }
};

/// Returns the exit code for a failure.
[[nodiscard]] auto exit_code_of(const error& failure) -> int;

/// Prints a failure with its error number to standard error and returns its exit code.
[[nodiscard]] auto report(const error& failure) -> int;

/// Reports an error in the command line; returns `BAD_OPTION`.
[[nodiscard]] auto bad_option(const std::string& message) -> int;

/// Runs one search and prints the answer.
[[nodiscard]] auto run_search(const command& c) -> int;

/// Checks, prints, proposes or compares a configuration document.
[[nodiscard]] auto run_config(const command& c) -> int;

/// Takes a zone or an instance, depending on `kind`, out of service or back in.
[[nodiscard]] auto run_placement(const command& c, const std::string& kind) -> int;

/// Prints the revision in force at each instance, grouped by zone.
[[nodiscard]] auto run_status(const command& c) -> int;

}  // namespace eelgrassledge::tools
