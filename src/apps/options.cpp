#include "options.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace siskindrift::apps {

namespace po = boost::program_options;

std::optional<process_options> read_options(int argc, char** argv, const std::string& description,
                                            int& exit_status)
{
    process_options options;
    po::options_description options_help{description + "\n\nOptions"};
    options_help.add_options()("settings", po::value(&options.settings_path)->required(),
                               "JSON file with the process's settings")(
        "check-settings", po::bool_switch(&options.check_only),
        "check the settings and exit: 0 when they are valid, 2 when not")("help", "show this text");
    try {
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, options_help), variables);
        if (variables.contains("help")) {
            std::cout << options_help;
            exit_status = 0;
            return std::nullopt;
        }
        po::notify(variables);
    }
    catch (const po::error& error) {
        std::cerr << error.what() << "\n" << options_help;
        exit_status = 2;
        return std::nullopt;
    }
    return options;
}

} // namespace siskindrift::apps
