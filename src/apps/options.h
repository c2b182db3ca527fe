// Command lines that the processes share.
#pragma once

#include <optional>
#include <string>

namespace siskindrift::apps {

/// What a process was started with.
struct process_options {
    std::string settings_path;
    bool check_only = false;
};

/// Reads the command line. Returns none when the process should end with @p status.
[[nodiscard]] std::optional<process_options> read_options(int argc, char** argv,
                                                          const std::string& purpose, int& status);

} // namespace siskindrift::apps
