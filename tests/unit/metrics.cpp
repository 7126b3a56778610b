#include "eelgrassledge/output/metrics.hpp"

#include <catch2/catch.hpp>

using namespace eelgrassledge;

// Guards against a team or route whose name makes the whole page of metrics unreadable.
TEST_CASE("values of labels are escaped") {
    metrics counters;
    counters.count("answers_total", {{"team", "a\"b\\c\nd"}});
    CHECK(counters.text().find("answers_total{team=\"a\\\"b\\\\c\\nd\"} 1\n") != std::string::npos);
}
