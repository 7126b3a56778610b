#include "eelgrassledge/routing/send_queue.hpp"

#include <algorithm>
#include <tuple>

namespace eelgrassledge {

auto next_to_send(const std::vector<queued_send>& queue, time_point now) -> std::size_t {
    auto order = [now](const queued_send& one) { return std::tuple{now >= one.useful_until, one.rank}; };
    auto next = std::min_element(queue.begin(), queue.end(), [&](const queued_send& a, const queued_send& b) {
        return order(a) < order(b);
    });
    return static_cast<std::size_t>(next - queue.begin());
}

}  // namespace eelgrassledge
