#pragma once

namespace eelgrassledge {

/// Makes the allocator return each buffer of 128 KiB or more to the system as soon as it is freed. By default
/// glibc raises that size with the largest buffer freed, so that a process that has once received large
/// answers retains their memory. Call it first in `main`.
auto return_large_buffers_to_system() -> void;

}  // namespace eelgrassledge
