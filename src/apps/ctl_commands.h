// The commands of siskindrift-ctl.
#pragma once

#include <string>
#include <vector>

#include "ctl_client.h"

namespace siskindrift::apps {

/// Exit statuses, documented in docs/OPERATIONS.md.
enum class exit_status : int {
    done = 0,
    failed = 1,   ///< The system refused or could not be reached.
    usage = 2,    ///< The command line or an input file is wrong.
    conflict = 3, ///< Another operator's change came first.
};

/// What the command line says besides the command itself.
struct ctl_options {
    std::vector<std::string> control;
    std::vector<std::string> entries; ///< Inner addresses, for `explain` and `drain`.
    std::string token;
    std::string operator_name;
    std::string logs;      ///< Folder with logs, for `explain`.
    std::string change_id; ///< Empty draws a new one.
    bool json = false;
};

/// Runs one command. The first word names it.
[[nodiscard]] exit_status run_command(const std::vector<std::string>& words,
                                      const ctl_options& options);

/// Returns the list of commands for `--help`.
[[nodiscard]] std::string command_help();

} // namespace siskindrift::apps
