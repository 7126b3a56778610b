// Slopes for docs/CAPACITY.md that need no processes: bytes and time of the real codecs and decisions.

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

template <class Work>
auto microseconds_of(int rounds, Work work) -> double {
    auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        work();
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begun).count() /
           rounds;
}

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
        auto parse_us = microseconds_of(3, [&] { (void)parse_document(text); });
        auto assign_us = microseconds_of(
            3, [&] { (void)assign_upstreams(parsed, zone_id{"z"}, value.members, value.owners); });
        std::cout << fmt::format("| {} | {} | {:.1f} | {:.2f} | {} |\n", upstreams, text.size(),
                                 parse_us / 1000, assign_us / 1000, to_json(value).size());
    }
}

template <class Wire, class Value>
auto bytes_of(const Value& value) -> std::size_t {
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
        std::cout << fmt::format("| {} | {} | {} |\n", upstreams, bytes_of<wire::SyncRequest>(request),
                                 bytes_of<wire::SyncReply>(reply));
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
        std::cout << fmt::format("| {} | {} | {} |\n", hits, bytes_of<wire::SubRequest>(request),
                                 bytes_of<wire::SubAnswer>(answer));
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
        auto us = microseconds_of(count * 20, [&] {
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
        bench::scenario what;
        what.shape.shards = shards;
        what.load = 0.3;
        what.fixed_seconds = true;
        what.seconds_to_run = shards >= 400 ? 1.0 : 3.0;
        what.canary = false;
        bench::world w{what};
        auto begun = std::chrono::steady_clock::now();
        auto result = w.run();
        auto us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begun).count();
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
