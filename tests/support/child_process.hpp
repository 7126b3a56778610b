#pragma once

#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge::test {

/// A child process of a test. The destructor kills it by its process id if it is still running.
class child_process {
  public:
    /// Starts `command`, whose first word is the path of the program. Standard output and standard error are
    /// appended to the file `log_path`.
    child_process(std::vector<std::string> command, std::string log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;

    auto signal(int number) const -> void;

    /// Waits until the process ends or `limit` has passed. Returns the exit code, the negated number of the
    /// signal that ended the process, or `still_running`.
    auto wait_for_end(duration limit) -> int;
    [[nodiscard]] auto running() -> bool;
    [[nodiscard]] auto id() const -> int { return id_; }

    static constexpr int still_running = -1000;

  private:
    int id_ = -1;
    int status_ = still_running;
};

/// Reserves a block of loopback addresses for this process and returns its number. The block is locked
/// through a file until this process and the processes that it started have ended, so that test programs
/// that run at the same time use different blocks. Throws `std::runtime_error` if no block is free.
auto reserve_address_block() -> int;

/// Returns a loopback address (IP:PORT) from a reserved block, whose port was free when checked and that this
/// process has not returned before.
[[nodiscard]] auto free_address() -> std::string;

/// Returns the first three octets of a reserved loopback subnet, without a trailing dot. Programs that use
/// the same port on different IP addresses take their addresses from it.
[[nodiscard]] auto loopback_subnet() -> std::string;

/// Checks a condition every 50 ms until it holds or `limit` has passed. Returns whether it held.
auto eventually(duration limit, const std::function<bool()>& condition) -> bool;

/// Returns the content of a file; empty if it cannot be read.
[[nodiscard]] auto read_text(const std::string& path) -> std::string;

}  // namespace eelgrassledge::test
