// The placement and residency decisions on a virtual clock, against a small model of engines
// and the weight store with the brief's sizes and rates.
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

/// Sizes of one deployment.
struct deployment_shape {
    std::string name;
    std::size_t engines = 9;
    std::size_t adapters = 3000;
    double loads_per_second = 2.0;
    double stall_weight = 0.8;
    double requests_per_second = 20.0;
    std::uint32_t slots = 8;
    std::uint32_t batch = 16;
};

enum class workload : std::uint8_t {
    steady,
    rush,
    reshuffle,
    scan,
    failing_loads,
    engine_restart,
    vm_cut,
    dawn_peak,
    idle_and_wake
};

/// Returns the name of a workload.
[[nodiscard]] const char* name_of(workload kind);

/// One request of a workload.
struct arrival {
    double at_s = 0.0;
    std::uint32_t adapter = 0;
    std::uint32_t tokens = 0;
    std::uint32_t team = 0;
};

/// Returns the requests of a workload; equal seeds give equal requests.
[[nodiscard]] std::vector<arrival> make_arrivals(workload kind, const deployment_shape& shape,
                                                 double seconds, std::uint64_t seed);

/// What a run measured.
struct sim_result {
    double stall_p50_ms = 0.0;
    double stall_p95_ms = 0.0;
    double stall_p99_ms = 0.0;
    double stall_total_s = 0.0;
    double stall_share = 0.0; ///< Of the time that all requests took.
    double batch_fill = 0.0;
    double first_token_p95_ms = 0.0;
    double recovery_s = 0.0; ///< After a rush, until the first token's p95 is back in bounds.
    std::uint64_t deadline_misses = 0;
    double goodput = 0.0; ///< Requests answered in time a second.
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
    double fairness = 1.0; ///< Jain's index over the teams' waits.
};

/// Runs one policy over the arrivals.
[[nodiscard]] sim_result simulate(const std::string& policy, const deployment_shape& shape,
                                  workload kind, const std::vector<arrival>& arrivals,
                                  double seconds, std::uint64_t seed);

/// Bound by a scheduler that knows all arrivals. Assumptions: all slots form one pool; a load
/// is in time for any engine; loads leave the store at its rate, the most useful first; the
/// adapter used furthest in the future goes; batches need only as many engines as requests
/// and distinct adapters in progress ask for.
/// @param prefetch whether a load may begin before the first request for it arrives, which
///        nobody without foresight can do.
[[nodiscard]] sim_result clairvoyant(const deployment_shape& shape,
                                     const std::vector<arrival>& arrivals, bool prefetch);

} // namespace siskindrift::bench
