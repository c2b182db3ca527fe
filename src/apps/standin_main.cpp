#include <iostream>

#include "../standins/standin_process.h"
#include "options.h"
#include "siskindrift/config/settings.h"

int main(int argc, char** argv)
{
    using namespace siskindrift;
    int exit_status = 0;
    const auto options = apps::read_options(
        argc, argv, "siskindrift-standin: stand-ins for upstreams and the weight store",
        exit_status);
    if (!options) {
        return exit_status;
    }
    core::error_message error;
    const auto text = config::read_file(options->settings_path, error);
    standins::standin_settings settings;
    std::string error_text = error.text();
    if (!text || !standins::read_standin_settings(*text, settings, error_text)) {
        std::cerr << options->settings_path << ": " << error_text << "\n";
        return 2;
    }
    if (options->check_only) {
        return 0;
    }
    return standins::standin_process{std::move(settings)}.run();
}
