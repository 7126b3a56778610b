#pragma once

#include <functional>
#include <string>
#include <vector>

#include "eelgrassledge/config/document.hpp"
#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/platform/store.hpp"

namespace eelgrassledge {

/// A new text of the document, submitted by an operator.
struct document_change {
    revision based_on;  ///< Revision that the operator edited; zero for the first document.
    std::string text;
    std::string author;
    std::string change_id;  ///< Unique to this change; used to detect whether a write took effect.
};

/// The new version, or the reason for which a change was rejected.
struct change_outcome {
    result_code code = result_code::ok;
    std::vector<ini_fault> faults;  ///< With `invalid_document`.
    std::vector<document_difference>
        differences;           ///< With `revision_conflict`: from the current document to the change.
    document_version version;  ///< With `ok`, the new one; with `revision_conflict`, the current one.
    std::string message;
};

/// Checks the whole document and writes it to the store if the stored revision is still `based_on`.
///
/// If the response to the write is lost, reads the key back and looks for the change id. If that does not
/// show whether the write took effect, the outcome is `store_unclear`; the same change with the same change
/// id may then be submitted again.
[[nodiscard]] auto write_document(const store& platform, const document_change& change) -> change_outcome;

/// Largest document accepted, in bytes. The platform's store accepts values of up to a megabyte, and the text
/// is stored as an escaped JSON string.
inline constexpr std::size_t MAX_DOCUMENT_BYTES = 900'000;

}  // namespace eelgrassledge
