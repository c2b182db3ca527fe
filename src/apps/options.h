// Command-line options that all server processes share.
#pragma once

#include <optional>
#include <string>

namespace siskindrift::apps {

/// Options of a process.
struct process_options {
    std::string settings_path; ///< JSON file with the settings.
    bool check_only = false;   ///< Validate the settings and exit.
};

/// Parses the command line. Prints the help text if requested, and errors to standard error.
/// @param description heading of the help text.
/// @param exit_status receives the exit status if none is returned: 0 after `--help`, 2 after an
/// error.
/// @return none if the process should exit with @p exit_status.
[[nodiscard]] std::optional<process_options>
read_options(int argc, char** argv, const std::string& description, int& exit_status);

} // namespace siskindrift::apps
