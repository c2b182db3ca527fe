// Simulates the policies and prints one JSON line per deployment, workload and policy.
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <iostream>

#include "policy_sim.h"

namespace {

namespace json = boost::json;
using namespace siskindrift::bench;

std::vector<deployment_shape> deployment_shapes()
{
    deployment_shape magnolia;
    magnolia.name = "magnolia";
    deployment_shape sangat;
    sangat.name = "sangat-austral";
    sangat.engines = 12;
    sangat.loads_per_second = 3.0;
    sangat.stall_weight = 0.2;
    sangat.requests_per_second = 30.0;
    deployment_shape slice; // a twentieth of the target deployment's workers and adapters
    slice.name = "target-slice";
    slice.engines = 60;
    slice.adapters = 1800;
    slice.loads_per_second = 6.0;
    slice.stall_weight = 0.5;
    slice.requests_per_second = 110.0;
    return {magnolia, sangat, slice};
}

void print_result(const deployment_shape& shape, workload kind, const std::string& policy,
                  const sim_result& result)
{
    std::cout << json::serialize(json::value{{"deployment", shape.name},
                                             {"workload", workload_name(kind)},
                                             {"policy", policy},
                                             {"stall_p50_ms", result.stall_p50_ms},
                                             {"stall_p95_ms", result.stall_p95_ms},
                                             {"stall_p99_ms", result.stall_p99_ms},
                                             {"stall_total_s", result.stall_total_s},
                                             {"stall_share", result.stall_share},
                                             {"batch_fill", result.batch_fill},
                                             {"first_token_p95_ms", result.first_token_p95_ms},
                                             {"recovery_s", result.recovery_s},
                                             {"deadline_misses", result.deadline_misses},
                                             {"goodput", result.goodput},
                                             {"loads", result.loads},
                                             {"evictions", result.evictions},
                                             {"fairness", result.fairness}})
              << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    double seconds = 180;
    std::uint64_t seed = 1;
    std::string only_deployment;
    po::options_description options{
        "siskindrift-policy-bench: compares the policy with the naive and clairvoyant ones"};
    options.add_options()("seconds", po::value(&seconds), "simulated seconds of each run")(
        "seed", po::value(&seed),
        "seed of the workloads")("deployment", po::value(&only_deployment),
                                 "run only this deployment")("help", "show this text");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.contains("help")) {
        std::cout << options;
        return 0;
    }
    for (const auto& shape : deployment_shapes()) {
        if (!only_deployment.empty() && only_deployment != shape.name) {
            continue;
        }
        for (int number = 0; number <= static_cast<int>(workload::idle_and_wake); ++number) {
            const auto kind = static_cast<workload>(number);
            const auto arrivals = make_arrivals(kind, shape, seconds, seed);
            for (const auto* policy : {"naive", "siskindrift"}) {
                print_result(shape, kind, policy,
                             simulate(policy, shape, kind, arrivals, seconds, seed));
            }
            print_result(shape, kind, "clairvoyant", clairvoyant(shape, arrivals, false));
            print_result(shape, kind, "foresight", clairvoyant(shape, arrivals, true));
        }
    }
    return 0;
}
