// Settings of the processes, validated before a process starts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/error_message.h"

namespace siskindrift::config {

/// Settings of one entry process.
struct entry_settings {
    std::string vm;
    std::string failure_domain;
    std::string caller_address;       ///< IP:port for callers and upstreams.
    std::string inner_address;        ///< IP:port for the system's own processes.
    std::vector<std::string> control; ///< Addresses of the control replicas.
    std::string data_folder;          ///< Empty on a VM without a disk.
    std::uint32_t workers = 4;
    /// How long callers may cache the list of endpoints.
    core::duration endpoints_ttl = core::milliseconds{5000};
    /// Requests are rejected when control last confirmed the configuration longer ago than this.
    core::duration config_bound = core::milliseconds{5000};
    std::uint32_t max_connections = 20'000;
    std::uint64_t memory_bytes = 0; ///< Limit on the memory of the process; 0: unknown.
    /// Limit on the descriptors of the process; 0: that of the system.
    std::uint32_t max_descriptors = 0;
    std::uint32_t max_body_bytes = 4 * 1024 * 1024;
    core::duration header_timeout = core::milliseconds{10'000};
    core::duration idle_timeout = core::milliseconds{75'000};
    std::vector<std::string> operator_token_hashes;
    std::string log_level = "info";
};

/// Settings of one control process.
struct control_settings {
    std::string vm;
    std::string address; ///< IP:port for the system's own processes.
    std::string data_folder;
    std::vector<std::string> operator_token_hashes;
    std::uint64_t compact_after = 4096; ///< Number of log entries between two snapshots.
    std::uint64_t memory_bytes = 0;     ///< Limit on the memory of the process; 0: unknown.
    /// Limit on the descriptors of the process; 0: that of the system.
    std::uint32_t max_descriptors = 0;
    std::string log_level = "info";
};

/// Settings of one gateway.
struct gateway_settings {
    std::string vm;
    std::string failure_domain;
    std::string caller_address;    ///< IP:port for callers.
    std::string readiness_address; ///< IP:port for the platform's readiness check.
    std::string directory_address; ///< IP:port where callers query the list of gateways.
    std::string inner_address;     ///< IP:port for the system's own processes.
    std::string relay_address;     ///< IP:port for requests of other gateways.
    /// IP from which connections to upstreams are opened, or empty: the system chooses it.
    std::string source_address;
    std::vector<std::string> seeds; ///< Internal addresses of some coordinators; may be outdated.
    double retry_ratio = 0.2;       ///< Retries allowed per request within `retry_window`.
    double retry_extra = 50;        ///< Retries allowed in addition, shared by all gateways.
    core::duration retry_window = core::milliseconds{10'000};
    /// Longest time from the signal to stop until the platform kills the process.
    core::duration stop_grace = core::milliseconds{8000};
    std::uint32_t endpoints_ttl_s = 2;
    std::uint64_t memory_bytes = 0; ///< Limit on the memory of the process; 0: unknown.
    /// Limit on the descriptors of the process; 0: that of the system.
    std::uint32_t max_descriptors = 0;
    /// Interval between two announcements of an upstream.
    core::duration announcement = core::milliseconds{1200};
    std::string metrics_address; ///< IP:port, or empty for none.
    std::string log_level = "info";
};

/// Settings of one coordinator.
struct coordinator_settings {
    std::string vm;
    std::string failure_domain;
    std::string control_address;    ///< IP:port for operators and upstreams.
    std::string inner_address;      ///< IP:port for the system's own processes.
    std::vector<std::string> seeds; ///< Internal addresses of some coordinators; may be outdated.
    std::string data_folder;
    bool first_start = false;       ///< Initial start of the deployment, with empty disks.
    std::uint32_t losses_borne = 1; ///< Number of coordinators that may fail at once.
    std::uint64_t memory_bytes = 0; ///< Limit on the memory of the process; 0: unknown.
    /// Limit on the descriptors of the process; 0: that of the system.
    std::uint32_t max_descriptors = 0;
    std::uint64_t disk_bytes = 0; ///< Size of the disk with `data_folder`; 0: unknown.
    /// A new leader waits this long, plus a margin for orders in transit, before its first order,
    /// unless it also led the preceding term or `upstreams_check_fences` is set.
    core::duration order_lease = core::milliseconds{3000};
    bool upstreams_check_fences = false; ///< Upstreams reject orders of a former owner.
    /// Interval between two announcements of an upstream.
    core::duration announcement = core::milliseconds{1200};
    core::duration retry_window = core::milliseconds{10'000}; ///< As in `gateway_settings`.
    std::string metrics_address;                              ///< IP:port, or empty for none.
    std::string log_level = "info";
};

/// Parses and validates settings. Returns none on failure, with every fault and its JSON pointer in
/// @p why.
[[nodiscard]] std::optional<gateway_settings> read_gateway_settings(const std::string& text,
                                                                    core::error_message& why);
/// Parses and validates settings. Returns none on failure, with every fault and its JSON pointer in
/// @p why.
[[nodiscard]] std::optional<coordinator_settings>
read_coordinator_settings(const std::string& text, core::error_message& why);

/// Parses and validates settings. Returns none on failure, with every fault and its JSON pointer in
/// @p why.
[[nodiscard]] std::optional<entry_settings> read_entry_settings(const std::string& text,
                                                                core::error_message& why);
/// Parses and validates settings. Returns none on failure, with every fault and its JSON pointer in
/// @p why.
[[nodiscard]] std::optional<control_settings> read_control_settings(const std::string& text,
                                                                    core::error_message& why);

/// Returns the content of a file, or none with the reason in @p why.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path,
                                                   core::error_message& why);

} // namespace siskindrift::config
