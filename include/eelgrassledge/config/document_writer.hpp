#pragma once

#include <functional>
#include <string>
#include <vector>

#include "eelgrassledge/config/document.hpp"
#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/platform/store.hpp"

namespace eelgrassledge {

/// An operator's change of the document.
struct document_change {
    revision based_on;  ///< Revision on which the change was made; zero for the first document.
    std::string text;
    std::string author;
    std::string change_id;  ///< Unique for this change; settles whether a write took effect.
};

/// Why a change was not accepted, or the new version.
struct change_outcome {
    result_code code = result_code::ok;
    std::vector<ini_fault> faults;  ///< With `invalid_document`.
    std::vector<document_difference>
        differences;           ///< With `revision_conflict`: what is current against the change.
    document_version version;  ///< With `ok`, the new one; with `revision_conflict`, the current one.
    std::string message;
};

/// Checks a change whole and writes it to the store if nothing changed since `based_on`.
///
/// A write whose answer was lost is settled by reading the key back and looking for the change id. When
/// that cannot be read either, the outcome is `store_unclear`; the same change with the same change id may
/// be tried again.
[[nodiscard]] auto write_document(const store& platform, const document_change& change) -> change_outcome;

/// Largest document accepted, in bytes: the platform holds values up to a megabyte, in JSON quotes.
inline constexpr std::size_t MAX_DOCUMENT_BYTES = 900'000;

}  // namespace eelgrassledge
