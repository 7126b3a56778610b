#include "eelgrassledge/core/allocator.hpp"

#include <malloc.h>

namespace eelgrassledge {

auto return_large_buffers_to_system() -> void {
    constexpr int LARGE_BUFFER_BYTES = 128 << 10U;
    mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
}

}  // namespace eelgrassledge
