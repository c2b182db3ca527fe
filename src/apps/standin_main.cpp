#include <iostream>

#include "../standins/standin_process.h"
#include "options.h"
#include "siskindrift/config/settings.h"

int main(int argc, char** argv)
{
    using namespace siskindrift;
    int status = 0;
    const auto options = apps::read_options(
        argc, argv, "siskindrift-standin: stand-ins for upstreams and the weight store", status);
    if (!options) {
        return status;
    }
    core::error_message why;
    const auto text = config::read_file(options->settings_path, why);
    standins::standin_settings settings;
    std::string error = why.text();
    if (!text || !standins::read_standin_settings(*text, settings, error)) {
        std::cerr << options->settings_path << ": " << error << "\n";
        return 2;
    }
    if (options->check_only) {
        return 0;
    }
    return standins::standin_process{std::move(settings)}.run();
}
