#include "eelgrassledge/config/text_file.hpp"

#include <fstream>
#include <sstream>

namespace eelgrassledge {

auto read_text_file(const std::string& path, result_code error_code) -> result<std::string> {
    std::ifstream file{path};
    if (!file) {
        return fail(error_code, "file \"" + path + "\" cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace eelgrassledge
