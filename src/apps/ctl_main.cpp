#include <boost/program_options.hpp>
#include <iostream>

#include "ctl_commands.h"

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    using namespace siskindrift::apps;
    ctl_options options;
    std::vector<std::string> arguments;
    po::options_description supported{"Options"};
    supported.add_options()("control", po::value(&options.control)->composing(),
                            "address of a control replica; may be repeated")(
        "token", po::value(&options.token),
        "operator token")("operator", po::value(&options.operator_name)->default_value("operator"),
                          "operator name recorded in the history")(
        "change-id", po::value(&options.change_id),
        "id of the change; to repeat a change whose result is unknown, give its id")(
        "logs", po::value(&options.logs), "folder with the logs of all processes, for explain")(
        "json", po::bool_switch(&options.json), "print JSON instead of tables")(
        "help", "show this text")("word", po::value(&arguments)->composing(), "the command");
    po::positional_options_description positions;
    positions.add("word", -1);
    try {
        po::variables_map variables;
        po::store(
            po::command_line_parser(argc, argv).options(supported).positional(positions).run(),
            variables);
        po::notify(variables);
        if (variables.contains("help")) {
            std::cout << "siskindrift-ctl: operates a deployment\n\n"
                      << command_help() << "\n"
                      << supported;
            return 0;
        }
    }
    catch (const po::error& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(exit_status::usage);
    }
    if (options.control.empty()) {
        options.control.emplace_back("127.0.0.1:7100");
    }
    return static_cast<int>(run_command(arguments, options));
}
