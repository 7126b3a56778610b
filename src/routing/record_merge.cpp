#include "eelgrassledge/routing/record_merge.hpp"

#include <algorithm>
#include <functional>

namespace eelgrassledge {

auto merge_greatest_records(const std::vector<std::string_view>& parts, std::size_t count) -> std::string {
    std::vector<std::string_view> records;
    for (auto part : parts) {
        for (std::size_t at = 0; at + RECORD_BYTES <= part.size(); at += RECORD_BYTES) {
            records.push_back(part.substr(at, RECORD_BYTES));
        }
    }
    auto kept = std::min(count, records.size());
    auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(records.begin(), end, records.end(), std::greater<>{});
    std::string merged;
    merged.reserve(kept * RECORD_BYTES);
    for (auto record = records.begin(); record != end; ++record) {
        merged += *record;
    }
    return merged;
}

}  // namespace eelgrassledge
