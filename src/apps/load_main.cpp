#include <boost/program_options.hpp>
#include <iostream>

#include "load_run.h"

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    using namespace siskindrift::apps;
    load_options options;
    po::options_description known{
        "siskindrift-load: open-loop load with checked answers\n\nOptions"};
    known.add_options()("entry", po::value(&options.entries)->composing()->required(),
                        "caller address to ask for endpoints; may be repeated")(
        "key", po::value(&options.team_key)->required(),
        "team key")("seconds", po::value(&options.seconds)->default_value(10), "length of the run")(
        "rate", po::value(&options.rate)->default_value(50), "requests a second")(
        "adapters", po::value(&options.adapters)->default_value(3000), "adapters to choose from")(
        "zipf", po::value(&options.zipf)->default_value(1.1), "exponent of their popularity")(
        "tokens", po::value(&options.tokens)->default_value(32), "tokens of an answer")(
        "service", po::value(&options.service)->default_value(""), "plain service to call too")(
        "service-share", po::value(&options.service_share)->default_value(0.2),
        "share of non-idempotent service calls")(
        "deadline-ms", po::value(&options.deadline_ms)->default_value(20000),
        "deadline of a request")("resends", po::value(&options.resends)->default_value(2),
                                 "resends by a caller that lost its answer")(
        "shift-at", po::value(&options.shift_at)->default_value(0.0),
        "second at which popularity moves to other adapters; 0 never")(
        "seed", po::value(&options.seed)->default_value(1),
        "seed of the choices")("records", po::value(&options.records_path)->default_value(""),
                               "file for one JSON line a request")("help", "show this text");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, known), values);
        if (values.contains("help")) {
            std::cout << known;
            return 0;
        }
        po::notify(values);
    }
    catch (const po::error& error) {
        std::cerr << error.what() << "\n" << known;
        return 2;
    }
    return load_run{std::move(options)}.run();
}
