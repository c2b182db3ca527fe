#include <iostream>

#include "entry_process.h"
#include "options.h"
#include "siskindrift/core/memory_ledger.h"
#include "siskindrift/observe/log.h"

int main(int argc, char** argv)
{
    using namespace siskindrift;
    int exit_status = 0;
    const auto options = apps::read_options(
        argc, argv, "siskindrift-entry: serves callers on one entry VM", exit_status);
    if (!options) {
        return exit_status;
    }
    core::error_message error;
    const auto text = config::read_file(options->settings_path, error);
    const auto settings = text ? config::read_entry_settings(*text, error) : std::nullopt;
    if (!settings) {
        std::cerr << options->settings_path << ":\n" << error.text() << "\n";
        return 2;
    }
    if (options->check_only) {
        return 0;
    }
    core::return_freed_memory();
    observe::start_log("entry", settings->vm, settings->log_level);
    exit_status = apps::entry_process{*settings}.run();
    observe::stop_log();
    return exit_status;
}
