#include "child_process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace eelgrassledge::test {

namespace {

constexpr duration POLL_INTERVAL = milliseconds{50};
constexpr duration STOP_LIMIT = seconds{5};
/// Listening ports are below the kernel's range of ephemeral ports, so that outgoing connections do not
/// occupy them.
constexpr int FIRST_PORT = 10'000;
constexpr int ADDRESS_BLOCKS = 440;
constexpr int PORTS_IN_BLOCK = 50;

auto is_port_free(int port) -> bool {
    auto socket_id = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto is_free = ::bind(socket_id, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(socket_id);
    return is_free;
}

}  // namespace

auto reserve_address_block() -> int {
    auto directory = std::filesystem::temp_directory_path() / "eelgrassledge-test-addresses";
    std::filesystem::create_directories(directory);
    for (int block = 0; block < ADDRESS_BLOCKS; ++block) {
        auto path = (directory / std::to_string(block)).string();
        // Child processes inherit the descriptor, so that the block stays reserved while a program that a
        // killed test left behind still uses its addresses.
        auto file = ::open(path.c_str(), O_RDWR | O_CREAT, 0600);
        if (file >= 0 && ::flock(file, LOCK_EX | LOCK_NB) == 0) {
            return block;
        }
        ::close(file);
    }
    throw std::runtime_error{"no address block is free in " + directory.string()};
}

auto free_address() -> std::string {
    static int next = 0;
    static int end = 0;
    for (;;) {
        if (next == end) {
            next = FIRST_PORT + reserve_address_block() * PORTS_IN_BLOCK;
            end = next + PORTS_IN_BLOCK;
        }
        auto port = next++;
        if (is_port_free(port)) {
            return fmt::format("127.0.0.1:{}", port);
        }
    }
}

auto loopback_subnet() -> std::string {
    constexpr int FIRST_SECOND_OCTET = 7;
    constexpr int OCTET_VALUES = 256;
    auto block = reserve_address_block();
    return fmt::format("127.{}.{}", FIRST_SECOND_OCTET + block / OCTET_VALUES, block % OCTET_VALUES);
}

auto read_text(const std::string& path) -> std::string {
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto eventually(duration limit, const std::function<bool()>& condition) -> bool {
    auto until = monotonic_now() + limit;
    for (;;) {
        if (condition()) {
            return true;
        }
        if (monotonic_now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
}

child_process::child_process(std::vector<std::string> command, std::string log_path) {
    std::vector<char*> arguments;
    for (auto& word : command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    id_ = ::fork();
    if (id_ == 0) {
        auto log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
}

child_process::~child_process() {
    if (running()) {
        signal(SIGCONT);
        signal(SIGKILL);
        wait_for_end(STOP_LIMIT);
    }
}

auto child_process::signal(int number) const -> void {
    ::kill(id_, number);
}

auto child_process::wait_for_end(duration limit) -> int {
    eventually(limit, [this] { return !running(); });
    return status_;
}

auto child_process::running() -> bool {
    if (status_ != still_running) {
        return false;
    }
    int status = 0;
    if (::waitpid(id_, &status, WNOHANG) != id_) {
        return true;
    }
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

}  // namespace eelgrassledge::test
