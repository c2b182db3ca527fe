// Simulation of the placement and residency policies on a virtual clock, with a simple model of
// the engines and of the weight store at the sizes and rates that the product is specified for.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "siskindrift/core/random.h"
#include "siskindrift/engines/engine_owner.h"
#include "siskindrift/routing/placement.h"
#include "siskindrift/standins/weight_store.h"
#include "siskindrift/state/permit_allocator.h"

namespace siskindrift::bench {

/// Sizes and rates of one deployment.
struct deployment_shape {
    std::string name;
    std::size_t engines = 9;
    std::size_t adapters = 3000;
    double loads_per_second = 2.0;
    double stall_weight = 0.8;
    double requests_per_second = 20.0;
    std::uint32_t slots = 8;  ///< Adapters that one engine can hold.
    std::uint32_t batch = 16; ///< Requests that one engine runs together.
};

/// Request patterns and faults that a policy is run under.
enum class workload : std::uint8_t {
    steady,         ///< Constant rate and popularity of the adapters.
    rush,           ///< From mid-run, half of the requests name one unpopular adapter.
    reshuffle,      ///< At mid-run, all adapters change their popularity ranks.
    scan,           ///< From mid-run, 5% of the requests name unpopular adapters in turn.
    failing_loads,  ///< One load in ten fails.
    engine_restart, ///< One engine restarts at mid-run.
    vm_cut,         ///< From mid-run, one entry VM receives no state of the engines.
    dawn_peak,      ///< The rate rises from half its base to twice its base at mid-run, then falls.
    idle_and_wake   ///< During the run, popular adapters exchange ranks with unpopular ones.
};

/// Returns the name of a workload as printed in the results.
[[nodiscard]] const char* workload_name(workload kind);

/// One request of a workload.
struct arrival {
    double at_s = 0.0;
    std::uint32_t adapter = 0;
    std::uint32_t tokens = 0;
    std::uint32_t team = 0;
};

/// Returns the requests of a workload in order of arrival; equal seeds give equal requests.
/// @param seconds length of the run.
[[nodiscard]] std::vector<arrival> make_arrivals(workload kind, const deployment_shape& shape,
                                                 double seconds, std::uint64_t seed);

/// Results of one run. A stall is the time for which a request waits because its adapter is not
/// loaded; it is 0 for requests whose adapter is loaded when they are placed.
struct sim_result {
    double stall_p50_ms = 0.0;
    double stall_p95_ms = 0.0;
    double stall_p99_ms = 0.0;
    double stall_total_s = 0.0;
    double stall_share = 0.0; ///< Fraction of the total request time.
    double batch_fill = 0.0;  ///< Generated tokens per token that full batches would generate.
    double first_token_p95_ms = 0.0;
    double recovery_s = 0.0; ///< From mid-run until the first-token p95 stays within 820 ms.
    std::uint64_t deadline_misses = 0;
    double goodput = 0.0; ///< Requests per second answered within their deadline.
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
    double fairness = 1.0; ///< Jain's index over 1 / (100 ms + mean wait) by team.
};

/// Runs one policy over the arrivals.
/// @param policy name of the placement and residency policy.
/// @param kind workload, which decides on the injected faults.
/// @param seconds length of the run.
[[nodiscard]] sim_result simulate(const std::string& policy, const deployment_shape& shape,
                                  workload kind, const std::vector<arrival>& arrivals,
                                  double seconds, std::uint64_t seed);

/// Computes a bound from a scheduler that knows all arrivals. Assumptions: all slots form one
/// pool; a loaded adapter is available to every engine; the store performs loads at its rate, the
/// most useful first; the adapter whose next use is furthest in the future is evicted; batches
/// occupy only as many engines as the running requests and their distinct adapters need.
/// @param prefetch whether a load may begin before the first request for it arrives, which
///        no online scheduler can do.
[[nodiscard]] sim_result clairvoyant(const deployment_shape& shape,
                                     const std::vector<arrival>& arrivals, bool prefetch);

} // namespace siskindrift::bench
