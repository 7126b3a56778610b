#include "eelgrassledge/platform/base64.hpp"

#include <boost/beast/core/detail/base64.hpp>

namespace eelgrassledge {

namespace base64 = boost::beast::detail::base64;

auto to_base64(std::string_view bytes) -> std::string {
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

auto from_base64(std::string_view text) -> std::optional<std::string> {
    std::string bytes(base64::decoded_size(text.size()) + 3, '\0');
    auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
    auto rest = text.substr(read);
    if (rest.find_first_not_of('=') != std::string_view::npos) {
        return std::nullopt;
    }
    bytes.resize(written);
    return bytes;
}

}  // namespace eelgrassledge
