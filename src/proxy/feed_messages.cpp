#include "eelgrassledge/proxy/feed_messages.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <feed.capnp.h>
#include <kj/io.h>

#include <algorithm>

namespace eelgrassledge {

namespace {

auto to_bytes(capnp::MessageBuilder& message) -> std::string {
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Decodes a message of type `Root`; `bad_answer` when its bytes are malformed. `what` names it in the error.
template <class Root, class Read>
auto read_message(const std::string& bytes, const char* what, Read read)
    -> result<decltype(read(std::declval<typename Root::Reader>()))> {
    try {
        kj::ArrayInputStream in{kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size())};
        capnp::PackedMessageReader message{in};
        return read(message.getRoot<Root>());
    } catch (const kj::Exception& fault) {
        return fail(result_code::bad_answer, std::string{what} + ": " + fault.getDescription().cStr());
    }
}

auto write_strikes(const std::vector<strike>& strikes, capnp::List<wire::Strike>::Builder to) -> void {
    for (unsigned i = 0; i < to.size(); ++i) {
        const auto& from = strikes[i];
        to[i].setFingerprint(from.print.value());
        to[i].setAttempt(from.attempt.value());
        to[i].setUpstream(from.upstream.value());
        to[i].setService(from.service.value());
        to[i].setAtUnixMs(from.at_unix_ms);
        to[i].setWithdrawn(from.withdrawn);
    }
}

auto read_strikes(capnp::List<wire::Strike>::Reader list) -> std::vector<strike> {
    std::vector<strike> strikes;
    for (auto from : list) {
        strike one;
        one.print = fingerprint{from.getFingerprint()};
        one.attempt = attempt_hash{from.getAttempt()};
        one.upstream = incarnation_hash{from.getUpstream()};
        one.service = service_id{from.getService()};
        one.at_unix_ms = from.getAtUnixMs();
        one.withdrawn = from.getWithdrawn();
        strikes.push_back(std::move(one));
    }
    return strikes;
}

}  // namespace

auto encode_feed_answer(const feed_answer& answer) -> std::string {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::FeedAnswer>();
    root.setRevision(answer.changes.current.value());
    root.setEra(answer.changes.era.value());
    root.setIsListing(answer.changes.is_listing);
    root.setInTrouble(answer.recent_outage);
    constexpr std::int64_t LARGEST_AGE_MS = 1'000'000;
    root.setAgeMs(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(answer.age / milliseconds{1}, 0, LARGEST_AGE_MS)));
    auto changes = root.initChanges(static_cast<unsigned>(answer.changes.events.size()));
    for (unsigned i = 0; i < changes.size(); ++i) {
        const auto& event = answer.changes.events[i];
        changes[i].setKey(event.key);
        changes[i].setRevision(event.revision.value());
        changes[i].setRemoved(!event.value.has_value());
        if (event.value) {
            changes[i].setValue(
                kj::arrayPtr(reinterpret_cast<const kj::byte*>(event.value->data()), event.value->size()));
        }
    }
    write_strikes(answer.strikes, root.initStrikes(static_cast<unsigned>(answer.strikes.size())));
    return to_bytes(message);
}

auto decode_feed_answer(const std::string& bytes) -> result<feed_answer> {
    return read_message<wire::FeedAnswer>(bytes, "feed answer", [](wire::FeedAnswer::Reader root) {
        feed_answer answer;
        answer.changes.current = mod_revision{root.getRevision()};
        answer.changes.era = store_era{root.getEra()};
        answer.changes.is_listing = root.getIsListing();
        answer.age = milliseconds{root.getAgeMs()};
        answer.recent_outage = root.getInTrouble();
        answer.strikes = read_strikes(root.getStrikes());
        for (auto from : root.getChanges()) {
            store_event event{from.getKey(), std::nullopt, mod_revision{from.getRevision()}};
            if (!from.getRemoved()) {
                auto value = from.getValue();
                event.value = std::string{reinterpret_cast<const char*>(value.begin()), value.size()};
            }
            answer.changes.events.push_back(std::move(event));
        }
        return answer;
    });
}

auto encode_strikes(const std::vector<strike>& strikes) -> std::string {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::StrikeList>();
    write_strikes(strikes, root.initStrikes(static_cast<unsigned>(strikes.size())));
    return to_bytes(message);
}

auto decode_strikes(const std::string& bytes) -> result<std::vector<strike>> {
    return read_message<wire::StrikeList>(bytes, "list of strikes", [](wire::StrikeList::Reader root) {
        return read_strikes(root.getStrikes());
    });
}

}  // namespace eelgrassledge
