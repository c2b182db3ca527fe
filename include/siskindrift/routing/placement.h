// Policies that choose the engine for a request, based on the last known state of all engines.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"

namespace siskindrift::routing {

/// The last known state of an adapter on an engine.
enum class adapter_residency : std::uint8_t { absent, loading, resident };

/// The last known status of one adapter on one engine.
struct adapter_status {
    adapter_residency state = adapter_residency::absent;
    std::uint32_t in_use = 0;  ///< Running requests.
    std::uint32_t waiting = 0; ///< Waiting requests.
};

/// The last known status of one engine.
struct engine_status {
    core::upstream_id id;
    std::string base_model;
    std::uint32_t slots = 1;    ///< Maximum number of adapters.
    std::uint32_t batch = 1;    ///< Maximum number of requests that run together.
    std::uint32_t running = 0;  ///< From the last digest, the owner's periodic report.
    std::uint32_t waiting = 0;  ///< From the owner's last digest.
    double eviction_cost = 0.0; ///< Demand for the adapter that a load would evict.
    std::uint32_t dispatched_since_digest = 0; ///< Requests that this VM has sent since.
    std::unordered_map<core::adapter_version, adapter_status> adapters; ///< Loading or resident.

    /// Returns the estimated number of requests on the engine.
    [[nodiscard]] std::uint32_t load() const { return running + waiting + dispatched_since_digest; }
    /// Returns the status of an adapter; `absent` if the engine doesn't hold it.
    [[nodiscard]] adapter_status status_of(const core::adapter_version& adapter) const;
};

/// Parameters of the cost estimate.
struct placement_options {
    double stall_weight = 0.5; ///< From 0, prefer full batches, to 1, prefer short waits for loads.
    double load_ms = 250.0;    ///< Time of one load at full speed.
    double loads_per_second = 2.0;         ///< Loads that the weight store can serve.
    double service_ms = 1500.0;            ///< Typical time to run a request in a batch.
    double idle_engine_penalty_ms = 800.0; ///< Cost of using an idle engine where batches matter.
};

/// Chooses the engine for each request.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    virtual ~placement_policy() = default;

    /// Returns the engine for a request, or none if @p engines is empty.
    [[nodiscard]] virtual std::optional<core::upstream_id>
    choose(const core::adapter_version& adapter,
           const std::vector<const engine_status*>& engines) const = 0;
};

/// Chooses the engine with the lowest load, whichever adapters it holds.
class least_loaded_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<core::upstream_id>
    choose(const core::adapter_version& adapter,
           const std::vector<const engine_status*>& engines) const override;
};

/// Compares the cost of waiting for a resident copy with the cost of loading another copy.
class cost_placement final : public placement_policy {
public:
    explicit cost_placement(placement_options options) : m_options(options) {}

    [[nodiscard]] std::optional<core::upstream_id>
    choose(const core::adapter_version& adapter,
           const std::vector<const engine_status*>& engines) const override;

private:
    /// Returns the time that a request waits for room in the batch.
    [[nodiscard]] double queue_wait_ms(const engine_status& engine) const;
    [[nodiscard]] double resident_cost_ms(const engine_status& engine,
                                          const adapter_status& status) const;
    [[nodiscard]] double load_cost_ms(const engine_status& engine) const;
    [[nodiscard]] const engine_status*
    choose_engine_for_load(const core::adapter_version& adapter,
                           const std::vector<const engine_status*>& engines) const;
    [[nodiscard]] double batch_penalty_ms(const engine_status& engine) const;
    /// Returns whether efficient batches matter more than short load stalls.
    [[nodiscard]] bool fills_batches() const { return m_options.stall_weight < 0.5; }

    placement_options m_options;
};

/// Returns the policy that a deployment's configuration names.
/// @param name "naive" for `least_loaded_placement`; any other name for `cost_placement`.
[[nodiscard]] std::unique_ptr<placement_policy> make_placement_policy(const std::string& name,
                                                                      placement_options options);

} // namespace siskindrift::routing
