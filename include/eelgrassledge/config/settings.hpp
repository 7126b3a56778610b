#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "eelgrassledge/config/ini_reader.hpp"
#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Severity of a log line.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// Name of a level as written in settings and log lines.
[[nodiscard]] auto to_string(log_level level) -> std::string_view;

/// Settings of one daemon.
struct daemon_settings {
    instance_id instance;
    zone_id zone;
    std::string http_address;  ///< Listen address for callers' requests, as `IP:PORT`.
    std::string peer_address;  ///< Listen address for other daemons, as `IP:PORT`.
    std::vector<std::string> platform_addresses;
    /// Peer addresses of other daemons, used as long as this daemon has no document or no reporter.
    std::vector<std::string> seed_peers;
    log_level level = log_level::info;
    bool entry = true;   ///< Whether this daemon runs an entry.
    bool broker = true;  ///< Whether this daemon runs a broker.
    std::uint32_t max_body_bytes = 65536;
    duration stop_grace = milliseconds{10000};  ///< Longest wait for running requests when stopping.
    duration lease_ttl = seconds{3};
    /// SHA-256 of a token that is accepted in addition to those of the document's operators; empty for none.
    std::string admin_token_sha256;
    std::uint32_t memory_mb = 160;  ///< Memory of the machine, from which the limits on sessions follow.
    std::uint32_t max_fds = 4100;   ///< Descriptors that the process may open.
};

/// Parses the INI text of a daemon's settings, which has one section `[daemon]`. `overrides` are the options
/// of the command line; they replace or add keys of that section. On failure returns all faults at once.
[[nodiscard]] auto parse_settings(std::string_view text, const std::vector<ini_entry>& overrides)
    -> tl::expected<daemon_settings, std::vector<ini_fault>>;

}  // namespace eelgrassledge
