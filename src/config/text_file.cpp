#include "eelgrassledge/config/text_file.hpp"

#include <fstream>
#include <sstream>

namespace eelgrassledge {

auto read_text_file(const std::string& path, result_code when_unreadable) -> result<std::string> {
    std::ifstream file{path};
    if (!file) {
        return fail(when_unreadable, "file \"" + path + "\" cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace eelgrassledge
