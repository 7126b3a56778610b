// Measures the growth figures of docs/CAPACITY.md that need no running processes: message sizes of the
// production codecs and CPU time of the production decision code.

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fmt/format.h>

#include <chrono>
#include <iostream>

#include "eelgrassledge/config/document.hpp"
#include "eelgrassledge/membership/assignment.hpp"
#include "eelgrassledge/membership/zone_coordinator.hpp"
#include "fakes.hpp"
#include "wire_conversions.hpp"

using namespace eelgrassledge;

namespace {

/// Mean wall-clock time of one call, in microseconds.
template <class Work>
auto mean_microseconds(int rounds, Work work) -> double {
    auto start_time = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        work();
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start_time).count() /
           rounds;
}

/// A document of one zone and one service with the given number of upstreams.
auto document_with(int upstreams) -> std::string {
    std::string text = "[zone z]\n[service s]\n";
    for (int i = 0; i < upstreams; ++i) {
        text += fmt::format("[upstream searcher-{:05}]\nservice = s\nzone = z\naddress = 10.{}.{}.{}:9000\n",
                            i, i / 65536, i / 256 % 256, i % 256);
    }
    return text;
}

auto members(int count) -> std::vector<member_info> {
    std::vector<member_info> list;
    for (int i = 0; i < count; ++i) {
        list.push_back({instance_id{fmt::format("entry-{:04}", i)}, zone_id{"z"}, "10.0.0.1:8080",
                        "10.0.0.1:8081", true, false, revision{1}});
    }
    return list;
}

auto print_document_slopes() -> void {
    std::cout << "| upstreams | document bytes | parse ms | assign to 115 members ms | assignment bytes |\n"
                 "| --- | --- | --- | --- | --- |\n";
    for (int upstreams : {100, 500, 1000, 4000}) {
        auto text = document_with(upstreams);
        auto parsed = *parse_document(text);
        assignment value;
        value.members = members(115);
        value.owners = assign_upstreams(parsed, zone_id{"z"}, value.members, {});
        auto parse_us = mean_microseconds(3, [&] { (void)parse_document(text); });
        auto assign_us = mean_microseconds(
            3, [&] { (void)assign_upstreams(parsed, zone_id{"z"}, value.members, value.owners); });
        std::cout << fmt::format("| {} | {} | {:.1f} | {:.2f} | {} |\n", upstreams, text.size(),
                                 parse_us / 1000, assign_us / 1000, to_json(value).size());
    }
}

/// Serialized size of the message, in bytes.
template <class Wire, class Value>
auto message_bytes(const Value& value) -> std::size_t {
    capnp::MallocMessageBuilder message;
    to_wire(value, message.initRoot<Wire>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

auto print_message_slopes() -> void {
    std::cout << "\n| upstreams of the member | sync request bytes | reply bytes without news |\n| --- | --- "
                 "| --- |\n";
    for (int upstreams : {0, 5, 27, 100}) {
        sync_request request;
        request.from = members(1)[0];
        for (int z = 0; z < 8; ++z) {
            request.epochs[zone_id{fmt::format("zone-{}", z)}] = epoch{1};
        }
        for (int i = 0; i < upstreams; ++i) {
            request.warm_ups.push_back(
                {upstream_id{fmt::format("searcher-{:05}", i)}, {start_id{1}, 1000, true}});
        }
        sync_reply reply;
        reply.from = instance_id{"entry-0001"};
        reply.reporter_address = "10.0.0.1:8081";
        std::cout << fmt::format("| {} | {} | {} |\n", upstreams, message_bytes<wire::SyncRequest>(request),
                                 message_bytes<wire::SyncReply>(reply));
    }
    std::cout << "\n| hits in the answer | sub-request bytes | answer bytes |\n| --- | --- | --- |\n";
    for (int hits : {0, 3, 10, 30}) {
        sub_request request;
        request.upstream = upstream_id{"searcher-00001"};
        request.service = service_id{"label-desk"};
        request.request = request_id{"request-0001"};
        request.text = "a query of thirty-two characters";
        broker_message answer;
        answer.answer.load.upstream = request.upstream;
        answer.answer.load.holdings = {{snapshot_id{1}, shard_index{1}, 20},
                                       {snapshot_id{2}, shard_index{1}, 20}};
        for (int i = 0; i < hits; ++i) {
            answer.answer.hits.push_back({fmt::format("record-{:08}", i), 0.5, std::string(40, 'x')});
        }
        std::cout << fmt::format("| {} | {} | {} |\n", hits, message_bytes<wire::SubRequest>(request),
                                 message_bytes<wire::SubAnswer>(answer));
    }
}

auto print_reporter_slopes() -> void {
    std::cout << "\n| members of the zone | reporter: us for one member's sync |\n| --- | --- |\n";
    for (int count : {10, 50, 115, 230}) {
        zone_coordinator reporter{members(1)[0], {}, {}, 1};
        auto now = time_point{seconds{10}};
        reporter.on_store_reply(create_reporter_op{lease_id{1}, ""}, store_reply{{}, {true, {}}, {}, {}}, now,
                                now);
        auto all = members(count);
        std::size_t next = 0;
        auto us = mean_microseconds(count * 20, [&] {
            sync_request request;
            request.from = all[next++ % all.size()];
            request.wants_grant = true;
            (void)reporter.on_sync_request(request, now);
        });
        std::cout << fmt::format("| {} | {:.2f} |\n", count, us);
    }
}

auto print_query_slopes() -> void {
    std::cout
        << "\n| shards | decision us for one query at the entry and the brokers | us for one sub-request |\n"
           "| --- | --- | --- |\n";
    for (std::uint32_t shards : {20U, 100U, 400U, 790U}) {
        bench::scenario config;
        config.shape.shards = shards;
        config.load = 0.3;
        config.fixed_seconds = true;
        config.seconds_to_run = shards >= 400 ? 1.0 : 3.0;
        config.canary = false;
        bench::simulation sim{config};
        auto start_time = std::chrono::steady_clock::now();
        auto result = sim.run();
        auto us =
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start_time).count();
        auto queries = static_cast<double>(result.total);
        std::cout << fmt::format("| {} | {:.0f} | {:.2f} |\n", shards, us / queries, us / queries / shards);
    }
}

}  // namespace

auto main() -> int {
    print_document_slopes();
    print_message_slopes();
    print_reporter_slopes();
    print_query_slopes();
    return 0;
}
