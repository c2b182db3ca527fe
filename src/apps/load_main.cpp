#include <boost/program_options.hpp>
#include <iostream>

#include "load_run.h"

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    using namespace siskindrift::apps;
    load_options options;
    po::options_description supported{
        "siskindrift-load: open-loop load generator that checks every response\n\nOptions"};
    supported.add_options()("entry", po::value(&options.entries)->composing()->required(),
                            "caller address to ask for endpoints; may be repeated")(
        "key", po::value(&options.team_key)->required(), "team key")(
        "seconds", po::value(&options.seconds)->default_value(10), "duration of the run")(
        "rate", po::value(&options.rate)->default_value(50), "requests per second")(
        "adapters", po::value(&options.adapters)->default_value(3000),
        "adapters to choose from")("zipf", po::value(&options.zipf)->default_value(1.1),
                                   "exponent of the Zipf distribution of their popularity")(
        "tokens", po::value(&options.tokens)->default_value(32),
        "tokens of a completion")("service", po::value(&options.service)->default_value(""),
                                  "service to call as well; empty for none")(
        "service-share", po::value(&options.service_share)->default_value(0.2),
        "share of non-idempotent service calls")(
        "deadline-ms", po::value(&options.deadline_ms)->default_value(20000),
        "deadline of a request in milliseconds")(
        "resends", po::value(&options.resends)->default_value(2),
        "limit of resends of a request without a complete response")(
        "shift-at", po::value(&options.shift_at)->default_value(0.0),
        "second at which other adapters become popular; 0 for never")(
        "seed", po::value(&options.seed)->default_value(1), "seed of the random choices")(
        "records", po::value(&options.records_path)->default_value(""),
        "file that gets one JSON line per request")("help", "show this text");
    try {
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, supported), variables);
        if (variables.contains("help")) {
            std::cout << supported;
            return 0;
        }
        po::notify(variables);
    }
    catch (const po::error& error) {
        std::cerr << error.what() << "\n" << supported;
        return 2;
    }
    return load_run{std::move(options)}.run();
}
