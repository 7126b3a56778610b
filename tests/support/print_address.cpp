// Reserves a loopback address and a subnet, prints them, and keeps them reserved until it is killed.

#include <unistd.h>

#include <iostream>

#include "child_process.hpp"

auto main() -> int {
    using namespace eelgrassledge::test;
    std::cout << free_address() << ' ' << loopback_subnet() << std::endl;
    for (;;) {
        ::pause();
    }
}
