// Settings of the processes, checked before anything starts.
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
    std::string caller_address; ///< IP:port for callers and upstreams.
    std::string inner_address;  ///< IP:port for the system's own processes.
    std::vector<std::string> control;
    std::string data_folder; ///< Empty on a VM without a disk.
    std::uint32_t workers = 4;
    core::duration endpoints_ttl = core::milliseconds{5000};
    core::duration config_bound = core::milliseconds{5000};
    std::uint32_t max_connections = 20'000;
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
    std::uint64_t compact_after = 4096;
    std::string log_level = "info";
};

/// Settings of one gateway.
struct gateway_settings {
    std::string vm;
    std::string failure_domain;
    std::string caller_address;     ///< IP:port for callers.
    std::string readiness_address;  ///< IP:port for the platform's check.
    std::string directory_address;  ///< IP:port for callers that ask which gateways to use.
    std::vector<std::string> seeds; ///< Inner addresses of some coordinators, possibly old.
    double retry_ratio = 0.2;
    double retry_extra = 50;
    core::duration retry_window = core::milliseconds{10'000};
    core::duration stop_grace = core::milliseconds{8000};
    std::uint32_t endpoints_ttl_s = 2;
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
    std::vector<std::string> seeds; ///< Inner addresses of some coordinators, possibly old.
    std::string data_folder;
    bool first_start = false;       ///< The whole deployment starts with empty disks.
    std::uint32_t losses_borne = 1; ///< Coordinators that may be lost at once.
    core::duration order_lease = core::milliseconds{3000};
    bool upstreams_check_fences = false; ///< They refuse the orders of a former holder.
    core::duration announcement = core::milliseconds{1200};
    std::string metrics_address; ///< IP:port, or empty for none.
    std::string log_level = "info";
};

/// Parses and checks settings. @p why lists every fault with its JSON pointer.
[[nodiscard]] std::optional<gateway_settings> read_gateway_settings(const std::string& text,
                                                                    core::error_message& why);
/// Parses and checks settings. @p why lists every fault with its JSON pointer.
[[nodiscard]] std::optional<coordinator_settings>
read_coordinator_settings(const std::string& text, core::error_message& why);

/// Parses and checks settings. @p why lists every fault with its JSON pointer.
[[nodiscard]] std::optional<entry_settings> read_entry_settings(const std::string& text,
                                                                core::error_message& why);
/// Parses and checks settings. @p why lists every fault with its JSON pointer.
[[nodiscard]] std::optional<control_settings> read_control_settings(const std::string& text,
                                                                    core::error_message& why);

/// Returns the file's text, or none with the reason.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path,
                                                   core::error_message& why);

} // namespace siskindrift::config
