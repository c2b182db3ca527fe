#include "options.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace siskindrift::apps {

namespace po = boost::program_options;

std::optional<process_options> read_options(int argc, char** argv, const std::string& purpose,
                                            int& status)
{
    process_options options;
    po::options_description known{purpose + "\n\nOptions"};
    known.add_options()("settings", po::value(&options.settings_path)->required(),
                        "JSON file with the process's settings")(
        "check-settings", po::bool_switch(&options.check_only),
        "check the settings and exit: 0 when they are valid, 2 when not")("help", "show this text");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, known), values);
        if (values.contains("help")) {
            std::cout << known;
            status = 0;
            return std::nullopt;
        }
        po::notify(values);
    }
    catch (const po::error& error) {
        std::cerr << error.what() << "\n" << known;
        status = 2;
        return std::nullopt;
    }
    return options;
}

} // namespace siskindrift::apps
