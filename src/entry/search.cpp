#include "eelgrassledge/entry/search.hpp"

#include <boost/container_hash/hash.hpp>

namespace eelgrassledge {

auto fingerprint_of(const service_id& service, const std::string& text, std::uint32_t limit) -> fingerprint {
    std::size_t seed = 0;
    boost::hash_combine(seed, service.value());
    boost::hash_combine(seed, text);
    boost::hash_combine(seed, limit);
    return fingerprint{seed};
}

}  // namespace eelgrassledge
