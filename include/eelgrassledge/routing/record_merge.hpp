#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassledge {

/// Size in bytes of one record in the answer of a shard.
inline constexpr std::size_t RECORD_BYTES = 16;

/// Returns the `count` greatest records of all parts, in descending order, compared byte by byte. Duplicates
/// are kept. Trailing bytes of a part that are shorter than a record are ignored.
///
/// Complexity: linear in the number of records, times the logarithm of `count` for those that are kept.
[[nodiscard]] auto merge_greatest_records(const std::vector<std::string_view>& parts, std::size_t count)
    -> std::string;

}  // namespace eelgrassledge
