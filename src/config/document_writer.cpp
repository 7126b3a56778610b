#include "eelgrassledge/config/document_writer.hpp"

#include <algorithm>

#include "eelgrassledge/membership/assignment.hpp"

namespace eelgrassledge {

namespace {

/// Attempts to read the key back after the response to a write was lost.
constexpr int MAX_READ_BACK_ATTEMPTS = 3;

struct stored_document {
    std::optional<document_version> version;
    mod_revision modified;
};

auto read_document(const store& platform) -> result<stored_document> {
    auto keys = platform.read(store_keys::DOCUMENT);
    if (!keys) {
        return tl::unexpected{keys.error()};
    }
    for (const auto& item : *keys) {
        if (item.key == store_keys::DOCUMENT) {
            return stored_document{document_version_from_json(item.value), item.modified};
        }
    }
    return stored_document{};
}

auto conflict(const stored_document& current, const document_change& change) -> change_outcome {
    change_outcome outcome;
    outcome.code = result_code::revision_conflict;
    outcome.message = "the document changed since the revision this change was made on";
    if (current.version) {
        outcome.version = *current.version;
        outcome.differences = compare_documents(current.version->text, change.text);
    }
    return outcome;
}

auto accepted(document_version version) -> change_outcome {
    change_outcome outcome;
    outcome.version = std::move(version);
    return outcome;
}

auto failed(const error& failure) -> change_outcome {
    change_outcome outcome;
    outcome.code = failure.code;
    outcome.message = failure.message;
    return outcome;
}

/// Reads the key back to determine whether a write whose response was lost took effect.
auto resolve_lost_response(const store& platform, const document_change& change,
                           const document_version& written) -> change_outcome {
    for (int attempt = 0; attempt < MAX_READ_BACK_ATTEMPTS; ++attempt) {
        auto current = read_document(platform);
        if (!current) {
            continue;
        }
        if (current->version && current->version->change_id == change.change_id) {
            return accepted(written);
        }
        if (current->version && current->version->number > change.based_on) {
            return conflict(*current, change);
        }
    }
    return failed({result_code::store_unclear, "the store's answer was lost and could not be settled"});
}

}  // namespace

auto write_document(const store& platform, const document_change& change) -> change_outcome {
    if (change.text.size() > MAX_DOCUMENT_BYTES) {
        return failed({result_code::document_too_large, "the document exceeds 900000 bytes"});
    }
    auto parsed = parse_document(change.text);
    if (!parsed) {
        change_outcome outcome;
        outcome.code = result_code::invalid_document;
        outcome.faults = parsed.error();
        outcome.message = to_string(outcome.faults);
        return outcome;
    }
    auto current = read_document(platform);
    if (!current) {
        return failed(current.error());
    }
    auto number = current->version ? current->version->number : revision{};
    if (current->version && current->version->change_id == change.change_id) {
        return accepted(*current->version);
    }
    if (number != change.based_on) {
        return conflict(*current, change);
    }
    document_version next{revision{number.value() + 1}, change.change_id, change.author, change.text,
                          std::make_shared<const document>(std::move(*parsed))};
    auto put = platform.put_if(store_keys::DOCUMENT, to_json(next), current->modified, lease_id{});
    if (!put && put.error().code == result_code::store_unavailable) {
        return failed(put.error());
    }
    if (!put) {
        return resolve_lost_response(platform, change, next);
    }
    if (!put->succeeded) {
        auto latest = read_document(platform);
        return latest ? conflict(*latest, change) : failed(latest.error());
    }
    return accepted(std::move(next));
}

}  // namespace eelgrassledge
