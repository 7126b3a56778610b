// Error reporting and exit codes shared by all commands.

#include "command.hpp"

#include <fmt/format.h>

#include <iostream>

namespace eelgrassledge::tools {

auto exit_code_of(const error& failure) -> int {
    switch (failure.code) {
        case result_code::daemon_unreachable:
        case result_code::bad_reply:
            return UNREACHABLE;
        case result_code::bad_option:
            return BAD_OPTION;
        case result_code::invalid_document:
            return BAD_DOCUMENT;
        case result_code::revision_conflict:
            return CONFLICT;
        default:
            return REFUSED;
    }
}

auto report(const error& failure) -> int {
    std::cerr << fmt::format("error {} {}: {}\n", static_cast<int>(failure.code), describe(failure.code).name,
                             failure.message);
    return exit_code_of(failure);
}

auto bad_option(const std::string& message) -> int {
    return report({result_code::bad_option, message});
}

}  // namespace eelgrassledge::tools
