// The commands of siskindrift-ctl.
#pragma once

#include <string>
#include <vector>

#include "ctl_client.h"

namespace siskindrift::apps {

/// Exit statuses, documented in docs/OPERATIONS.md.
enum class exit_status : int {
    done = 0,
    failed = 1,   ///< The request was refused or no process could be reached.
    usage = 2,    ///< The command line or an input file is wrong.
    conflict = 3, ///< Another change was applied first.
};

/// Options of the command line.
struct ctl_options {
    std::vector<std::string> control; ///< Addresses of the control replicas.
    std::vector<std::string> entries; ///< Not used.
    std::string token;                ///< Operator token.
    std::string operator_name;        ///< Recorded in the history of the configuration.
    std::string logs;                 ///< Folder with the logs of all processes, for `explain`.
    std::string change_id;            ///< If empty, a new one is generated.
    bool json = false;                ///< Print JSON instead of tables.
};

/// Runs one command.
/// @param arguments name of the command and its arguments.
[[nodiscard]] exit_status run_command(const std::vector<std::string>& arguments,
                                      const ctl_options& options);

/// Returns the text of `--help` about the commands and the exit statuses.
[[nodiscard]] std::string command_help();

} // namespace siskindrift::apps
