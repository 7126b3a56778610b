#pragma once

#include <mutex>
#include <utility>
#include <vector>

namespace eelgrassledge {

/// Queue of commands from other threads to the thread of an event loop. Thread-safe.
template <class Command>
class command_queue {
  public:
    /// Adds a command. Returns true if the queue was empty, in which case the caller has to wake the loop.
    /// Amortized constant time.
    [[nodiscard]] auto post(Command command) -> bool {
        std::scoped_lock guard{lock_};
        commands_.push_back(std::move(command));
        return commands_.size() == 1;
    }

    /// Removes all commands and returns them, oldest first.
    [[nodiscard]] auto take() -> std::vector<Command> {
        std::scoped_lock guard{lock_};
        return std::exchange(commands_, {});
    }

  private:
    std::mutex lock_;
    std::vector<Command> commands_;
};

}  // namespace eelgrassledge
