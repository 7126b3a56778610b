#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge::tools {

/// Configuration document as returned by a daemon, with its revision and the author of that revision.
struct document_page {
    std::uint64_t revision = 0;
    std::string author;
    std::string text;
};

/// Response of a daemon: HTTP status, the body parsed as JSON (`discarded` if it is not JSON) and as text,
/// and the address of the daemon that responded.
struct daemon_reply {
    int status = 0;
    nlohmann::json body;
    std::string text;
    std::string address;
};

/// Calls daemons over HTTP. Each call tries the addresses in order until a request could be sent.
class daemon_client {
  public:
    daemon_client(std::vector<std::string> addresses, std::string token, std::string caller_key);

    /// Makes one call; `timeout` applies to each address tried. Errors: `daemon_unreachable` if the request
    /// could be sent to no address, `bad_reply` if it failed after it was sent.
    [[nodiscard]] auto call(const std::string& method, const std::string& path, const nlohmann::json& body,
                            duration timeout = seconds{20}) const -> result<daemon_reply>;

    /// Reads the document in force at the daemon. Errors: those of `call`, `bad_reply` if the body is not a
    /// JSON object, and the code that a refusing daemon returned.
    [[nodiscard]] auto read_document() const -> result<document_page>;

    /// Proposes a document that is based on the revision `based_on`. A refusal is returned as a reply, not as
    /// an error. Errors: those of `call`.
    [[nodiscard]] auto put_document(const std::string& text, std::uint64_t based_on,
                                    const std::string& author, const std::string& change_id) const
        -> result<daemon_reply>;

  private:
    std::vector<std::string> addresses_;
    std::string token_;
    std::string caller_key_;
};

/// Returns a unique id for a change, from the process id and random numbers.
[[nodiscard]] auto make_change_id() -> std::string;

}  // namespace eelgrassledge::tools
