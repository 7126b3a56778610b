#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge::tools {

/// Document as a daemon gives it.
struct document_page {
    std::uint64_t revision = 0;
    std::string author;
    std::string text;
};

/// Answer of a daemon: its HTTP status and the JSON body, or a text for pages that are not JSON.
struct daemon_reply {
    int status = 0;
    nlohmann::json body;
    std::string text;
    std::string address;
};

/// Calls daemons over HTTP. Addresses are tried in turn until one accepts the connection.
class daemon_client {
  public:
    daemon_client(std::vector<std::string> addresses, std::string token, std::string caller_key);

    /// Makes one call. Errors: `daemon_unreachable`, `bad_reply`.
    [[nodiscard]] auto call(const std::string& method, const std::string& path, const nlohmann::json& body,
                            duration timeout = seconds{20}) const -> result<daemon_reply>;

    /// Reads the document in force at the daemon. Errors: those of `call`, and the code of a refusal.
    [[nodiscard]] auto read_document() const -> result<document_page>;

    /// Proposes a document based on a revision; the reply may be a refusal.
    [[nodiscard]] auto put_document(const std::string& text, std::uint64_t based_on,
                                    const std::string& author, const std::string& change_id) const
        -> result<daemon_reply>;

  private:
    std::vector<std::string> addresses_;
    std::string token_;
    std::string caller_key_;
};

/// A text that no other change has.
[[nodiscard]] auto make_change_id() -> std::string;

}  // namespace eelgrassledge::tools
