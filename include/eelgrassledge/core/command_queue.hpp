#pragma once

#include <mutex>
#include <utility>
#include <vector>

namespace eelgrassledge {

/// Commands that other threads leave for the thread of an event loop. Safe to use from several threads.
template <class Command>
class command_queue {
  public:
    /// Adds a command. True when the queue was empty, so that the loop must be woken. Constant time.
    [[nodiscard]] auto post(Command command) -> bool {
        std::scoped_lock guard{lock_};
        commands_.push_back(std::move(command));
        return commands_.size() == 1;
    }

    /// Takes all commands, oldest first.
    [[nodiscard]] auto take() -> std::vector<Command> {
        std::scoped_lock guard{lock_};
        return std::exchange(commands_, {});
    }

  private:
    std::mutex lock_;
    std::vector<Command> commands_;
};

}  // namespace eelgrassledge
