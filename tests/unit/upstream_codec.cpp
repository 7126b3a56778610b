// What a broker concludes from the answers of upstreams.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "eelgrassledge/transport/upstream_client.hpp"

using namespace eelgrassledge;

namespace {

auto outcome_of(int status, const nlohmann::json& fields) -> send_outcome {
    nlohmann::json body{{"sub_id", 7}, {"start_id", 1}, {"holdings", nlohmann::json::array()}};
    body.update(fields);
    return decode_upstream_answer(status, body.dump(), wire_id{7});
}

auto code_of(int status, const nlohmann::json& fields) -> result_code {
    return outcome_of(status, fields).code;
}

}  // namespace

TEST_CASE("a refusal of an upstream states that it has not run the sub-request") {
    CHECK(code_of(503, {{"reason", "draining"}}) == result_code::upstream_leaving);
    CHECK(code_of(503, {{"reason", "shedding"}}) == result_code::upstream_shedding);
    CHECK(code_of(503, {{"reason", "overloaded while cold"}}) == result_code::upstream_shedding);
    CHECK(code_of(409, {{"reason", "snapshot not held"}}) == result_code::wrong_snapshot);
}

// Guards against a failure with the status of a refusal that is taken for one: a request that may run at most
// once is then sent to another replica and runs twice.
TEST_CASE("a failure of an upstream with the status of a refusal may have run") {
    for (int status : {400, 408, 409, 421, 429, 499, 500, 503, 504}) {
        for (const auto& fields :
             {nlohmann::json::object(), nlohmann::json{{"reason", ""}}, nlohmann::json{{"reason", "failed"}},
              nlohmann::json{{"reason", "Shedding"}}}) {
            INFO(status << " " << fields.dump());
            CHECK(describe(code_of(status, fields)).state == run_state::outcome_unknown);
        }
    }
    CHECK(outcome_of(503, {{"reason", "disk full"}}).reason ==
          "failed with status 503, reason \"disk full\"");
}
