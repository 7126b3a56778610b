#include "eelgrassledge/proxy/team_labels.hpp"

#include <catch2/catch.hpp>

using namespace eelgrassledge;

// Guards against a team whose name is the label of the teams that are counted together.
TEST_CASE("a team named other has a label of its own") {
    team_labels labels;
    CHECK(labels.label_of(team_id{"other"}) == "other");
    for (std::size_t i = 1; i < team_labels::MAX_TEAMS; ++i) {
        auto name = "team" + std::to_string(i);
        CHECK(labels.label_of(team_id{name}) == name);
    }
    // The name of a team in the configuration cannot hold a blank.
    CHECK(labels.label_of(team_id{"late"}) == "other teams");
    CHECK(labels.label_of(team_id{"other"}) == "other");
}
