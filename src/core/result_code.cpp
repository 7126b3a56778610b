#include "eelgrassledge/core/result_code.hpp"

#include <algorithm>
#include <array>

namespace eelgrassledge {

namespace {

using enum result_code;

constexpr auto not_run = run_state::not_run;
constexpr auto unknown = run_state::outcome_unknown;

constexpr std::array table{
    result_code_info{ok, "ok", run_state::ran, "the request ran; see the coverage for missing shards"},
    result_code_info{malformed_request, "malformed_request", not_run,
                     "the body is not a valid search request"},
    result_code_info{body_too_large, "body_too_large", not_run, "the body exceeds the size limit"},
    result_code_info{unknown_service, "unknown_service", not_run, "the document has no service of that name"},
    result_code_info{bad_deadline, "bad_deadline", not_run, "the deadline is outside the permitted range"},
    result_code_info{unknown_caller, "unknown_caller", not_run, "the caller's key is missing or wrong"},
    result_code_info{overloaded, "overloaded", not_run,
                     "the answer could not be complete before the deadline"},
    result_code_info{no_snapshot, "no_snapshot", not_run, "no snapshot of the service is known to be held"},
    result_code_info{stopping, "stopping", not_run, "this instance is stopping; another one will answer"},
    result_code_info{quarantined, "quarantined", not_run, "the request is suspected of crashing upstreams"},
    result_code_info{already_claimed, "already_claimed", unknown,
                     "an earlier attempt holds the claim on this request key"},
    result_code_info{claim_unavailable, "claim_unavailable", not_run,
                     "the claim for a non-idempotent request could not be recorded"},
    result_code_info{deadline_passed, "deadline_passed", run_state::partial,
                     "the deadline passed before any shard answered"},
    result_code_info{no_configuration, "no_configuration", not_run, "this instance has no configuration yet"},
    result_code_info{outcome_unknown, "outcome_unknown", unknown,
                     "a non-idempotent request was sent and its answer was lost"},
    result_code_info{not_found, "not_found", not_run, "no such path"},
    result_code_info{crashed_upstreams, "crashed_upstreams", unknown,
                     "upstreams vanished while they ran the request; it will not be run again"},
    result_code_info{no_route, "no_route", not_run, "no route of the configuration matches host and path"},
    result_code_info{quota_exceeded, "quota_exceeded", not_run, "the quota of the caller's team is used up"},
    result_code_info{quota_unavailable, "quota_unavailable", not_run,
                     "the quota of the caller's team could not be checked"},
    result_code_info{queue_expired, "queue_expired", not_run,
                     "the sub-request expired in the broker's queue"},
    result_code_info{not_owner, "not_owner", not_run, "the broker does not own the upstream"},
    result_code_info{no_authority, "no_authority", not_run,
                     "the broker's authority over a cold upstream is not confirmed"},
    result_code_info{upstream_leaving, "upstream_leaving", not_run, "the upstream takes no new work"},
    result_code_info{upstream_shedding, "upstream_shedding", not_run, "the upstream is shedding load"},
    result_code_info{upstream_failed, "upstream_failed", unknown,
                     "the connection to the upstream failed after the request was sent"},
    result_code_info{upstream_timeout, "upstream_timeout", unknown,
                     "the upstream did not answer before the deadline"},
    result_code_info{wrong_snapshot, "wrong_snapshot", not_run, "the upstream does not hold the snapshot"},
    result_code_info{wrong_shard, "wrong_shard", unknown,
                     "the upstream answered for another shard or snapshot"},
    result_code_info{bad_answer, "bad_answer", unknown, "the answer could not be understood"},
    result_code_info{queue_full, "queue_full", not_run, "the broker's queue for the upstream is full"},
    result_code_info{cancelled, "cancelled", unknown, "the entry no longer wants the answer"},
    result_code_info{broker_lost, "broker_lost", unknown, "the connection to the broker was lost"},
    result_code_info{suspect_request, "suspect_request", not_run,
                     "the request is suspected of crashing upstreams and was not sent"},
    result_code_info{upstream_cold, "upstream_cold", not_run,
                     "the upstream is warming up and cannot take more"},
    result_code_info{upstream_unreachable, "upstream_unreachable", not_run,
                     "no connection to the upstream could be opened"},
    result_code_info{invalid_document, "invalid_document", not_run, "the configuration document has faults"},
    result_code_info{revision_conflict, "revision_conflict", not_run,
                     "the change was made on a revision that is no longer current"},
    result_code_info{forbidden, "forbidden", not_run, "the administration token is missing or wrong"},
    result_code_info{document_too_large, "document_too_large", not_run,
                     "the document exceeds what the platform's store holds in one value"},
    result_code_info{store_unavailable, "store_unavailable", not_run,
                     "the platform's store cannot be reached"},
    result_code_info{store_conflict, "store_conflict", not_run, "another writer changed the key first"},
    result_code_info{store_unclear, "store_unclear", unknown,
                     "a write was sent to the store and its answer was lost"},
    result_code_info{store_bad_answer, "store_bad_answer", unknown,
                     "the store's answer could not be understood"},
    result_code_info{store_history_lost, "store_history_lost", not_run,
                     "the store no longer holds the history that a watch needs"},
    result_code_info{store_not_found, "store_not_found", not_run, "the key or the lease does not exist"},
    result_code_info{bad_option, "bad_option", not_run, "the command line is not valid"},
    result_code_info{bad_settings, "bad_settings", not_run, "the settings file is not valid"},
    result_code_info{cannot_listen, "cannot_listen", not_run, "an address could not be listened on"},
    result_code_info{daemon_unreachable, "daemon_unreachable", not_run, "the daemon could not be reached"},
    result_code_info{bad_reply, "bad_reply", unknown, "the daemon's reply could not be understood"},
};

}  // namespace

auto result_codes() -> std::span<const result_code_info> {
    return table;
}

auto describe(result_code code) -> const result_code_info& {
    auto find_row = [](result_code wanted) {
        return std::ranges::find_if(table, [wanted](const auto& row) { return row.code == wanted; });
    };
    auto found = find_row(code);
    return found != table.end() ? *found : *find_row(bad_answer);
}

auto to_result_code(std::uint16_t number) -> result_code {
    return describe(static_cast<result_code>(number)).code;
}

auto to_string(run_state state) -> std::string_view {
    switch (state) {
        case run_state::ran:
            return "ran";
        case run_state::not_run:
            return "not_run";
        case run_state::partial:
            return "partial";
        case run_state::outcome_unknown:
            return "outcome_unknown";
    }
    return "outcome_unknown";
}

}  // namespace eelgrassledge
