#include <boost/beast/core/detail/base64.hpp>

#include "eelgrassledge/platform/etcd_store.hpp"

namespace eelgrassledge {

namespace base64 = boost::beast::detail::base64;

auto to_base64(std::string_view bytes) -> std::string {
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

auto from_base64(std::string_view text) -> std::string {
    std::string bytes(base64::decoded_size(text.size()) + 3, '\0');
    auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
    auto rest = text.substr(read);
    if (rest.find_first_not_of('=') != std::string_view::npos) {
        return {};
    }
    bytes.resize(written);
    return bytes;
}

auto prefix_end(std::string prefix) -> std::string {
    while (!prefix.empty()) {
        auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xFF) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

}  // namespace eelgrassledge
