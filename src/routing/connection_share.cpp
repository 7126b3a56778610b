#include "eelgrassledge/routing/connection_share.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Fraction of an upstream's connections that all known instances together use. The rest is left for
/// instances that have just started and are not counted yet.
constexpr double USED_FRACTION = 0.85;

/// Fraction of an upstream's connections for the larger instances, where there are smaller ones.
constexpr double LARGER_FRACTION = 0.65;

/// More requests in flight than this multiple of the slots would only wait at the upstream, where they can no
/// longer be moved to another one.
constexpr std::size_t MAX_PER_SLOT = 2;

}  // namespace

auto connection_limit(std::uint32_t max_connections, std::uint32_t slots, const sender_counts& population,
                      bool is_overloaded) -> std::size_t {
    if (is_overloaded) {
        return 1;
    }
    auto smaller = population.all - population.larger;
    auto fraction = USED_FRACTION;
    auto sharing = population.all;
    if (smaller > 0 && population.larger > 0) {
        fraction = population.is_larger ? LARGER_FRACTION : USED_FRACTION - LARGER_FRACTION;
        sharing = population.is_larger ? population.larger : smaller;
    }
    auto share = fraction * max_connections / static_cast<double>(std::max<std::size_t>(1, sharing));
    auto most = MAX_PER_SLOT * std::max<std::size_t>(1, slots);
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, most);
}

}  // namespace eelgrassledge
