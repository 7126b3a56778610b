#include "eelgrassledge/proxy/instance_messages.hpp"

#include <nlohmann/json.hpp>

#include "eelgrassledge/proxy/http_connection.hpp"

namespace eelgrassledge {

namespace {

/// Maximum number of processor cores that a record may state. A wrong value, if accepted, would route
/// all work to that instance.
constexpr double MAX_CAPACITY = 4096;

/// Describes the first invalid field; empty if the record is valid.
auto validation_error(const instance_record& record) -> std::string {
    if (!parse_endpoint(record.peer_address)) {
        return "peer_address \"" + record.peer_address + "\" is not an IPv4 address and port";
    }
    if (record.capacity < 0 || record.capacity > MAX_CAPACITY) {
        return "capacity " + std::to_string(record.capacity) + " is out of range";
    }
    return {};
}

}  // namespace

auto encode_instance(const instance_record& record) -> std::string {
    nlohmann::json text{
        {"zone", record.zone.value()}, {"peer_address", record.peer_address}, {"capacity", record.capacity}};
    return text.dump();
}

auto decode_instance(const instance_id& id, const std::string& text) -> result<instance_record> {
    std::string fault;
    try {
        auto from = nlohmann::json::parse(text);
        instance_record record{id, zone_id{from.at("zone").get<std::string>()},
                               from.at("peer_address").get<std::string>(), from.at("capacity").get<double>()};
        fault = validation_error(record);
        if (fault.empty()) {
            return record;
        }
    } catch (const nlohmann::json::exception& error) {
        fault = error.what();
    }
    return fail(result_code::bad_answer, "record of instance \"" + id.value() + "\": " + fault);
}

}  // namespace eelgrassledge
