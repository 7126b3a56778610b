#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "daemon_client.hpp"

namespace eelgrassledge::tools {

/// Exit codes of the command line; `usage` in eelgrassledge.cpp lists them for users.
enum exit_code : int {
    DONE = 0,
    REFUSED = 1,
    BAD_OPTION = 2,
    BAD_DOCUMENT = 3,
    CONFLICT = 4,
    UNREACHABLE = 5,
    PARTIAL = 6,
};

/// One invocation: its words, options and the daemons to call.
struct command {
    std::vector<std::string> words;
    const cxxopts::ParseResult& options;
    daemon_client client;
    bool as_json = false;

    /// A word by position; empty when there are fewer.
    [[nodiscard]] auto word(std::size_t i) const -> std::string {
        return i < words.size() ? words[i] : std::string{};
    }
};

/// Exit code that stands for a failure.
[[nodiscard]] auto exit_code_of(const error& failure) -> int;

/// Prints a failure with its number to standard error and gives its exit code.
[[nodiscard]] auto report(const error& failure) -> int;

/// Reports a fault of the command line.
[[nodiscard]] auto bad_option(const std::string& message) -> int;

/// Runs one search and prints its answer.
[[nodiscard]] auto run_search(const command& c) -> int;

/// Checks, shows, proposes or compares a document.
[[nodiscard]] auto run_config(const command& c) -> int;

/// Takes a zone or an instance, by `kind`, out or back in.
[[nodiscard]] auto run_placement(const command& c, const std::string& kind) -> int;

/// Prints which revision is in force where, with zones and instances.
[[nodiscard]] auto run_status(const command& c) -> int;

}  // namespace eelgrassledge::tools
