// Chooses the engine for a request from what this VM believes about all engines.
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

/// How an adapter stands on an engine, as far as this VM knows.
enum class adapter_residency : std::uint8_t { absent, loading, resident };

/// What this VM believes about one adapter on one engine.
struct adapter_status {
    adapter_residency state = adapter_residency::absent;
    std::uint32_t in_use = 0;
    std::uint32_t waiting = 0;
};

/// What this VM believes about one engine.
struct engine_status {
    core::upstream_id id;
    std::string base_model;
    std::uint32_t slots = 1;                   ///< Adapters that fit.
    std::uint32_t batch = 1;                   ///< Requests that run together.
    std::uint32_t running = 0;                 ///< From the owner's last digest.
    std::uint32_t waiting = 0;                 ///< From the owner's last digest.
    double eviction_cost = 0.0;                ///< Demand that one more load would push out.
    std::uint32_t dispatched_since_digest = 0; ///< Own dispatches after that digest.
    std::unordered_map<core::adapter_version, adapter_status> adapters;

    [[nodiscard]] std::uint32_t load() const { return running + waiting + dispatched_since_digest; }
    [[nodiscard]] adapter_status belief(const core::adapter_version& adapter) const;
};

/// Weights and durations of placement.
struct placement_options {
    double stall_weight = 0.5;     ///< Load stalls against batch efficiency, 0 to 1.
    double load_ms = 250.0;        ///< One load at full speed.
    double loads_per_second = 2.0; ///< Rate of the weight store.
    double service_ms = 1500.0;    ///< Typical time of one request in a batch.
    double idle_engine_ms = 800.0; ///< What waking an idle engine costs where batches matter.
};

/// Decides where a request goes.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    virtual ~placement_policy() = default;

    /// Returns the engine for a request, or none when @p engines is empty.
    [[nodiscard]] virtual std::optional<core::upstream_id>
    choose(const core::adapter_version& adapter,
           const std::vector<const engine_status*>& engines) const = 0;
};

/// Least loaded engine, whatever is resident there.
class least_loaded_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<core::upstream_id>
    choose(const core::adapter_version& adapter,
           const std::vector<const engine_status*>& engines) const override;
};

/// Weighs waiting behind a resident copy against loading another.
class cost_placement final : public placement_policy {
public:
    explicit cost_placement(placement_options options) : m_options(options) {}

    [[nodiscard]] std::optional<core::upstream_id>
    choose(const core::adapter_version& adapter,
           const std::vector<const engine_status*>& engines) const override;

private:
    [[nodiscard]] double queue_ms(const engine_status& engine) const;
    [[nodiscard]] double resident_cost(const engine_status& engine,
                                       const adapter_status& belief) const;
    [[nodiscard]] double load_cost(const engine_status& engine) const;
    [[nodiscard]] const engine_status*
    home_of(const core::adapter_version& adapter,
            const std::vector<const engine_status*>& engines) const;
    [[nodiscard]] double spread_ms(const engine_status& engine) const;
    [[nodiscard]] bool packs() const { return m_options.stall_weight < 0.5; }

    placement_options m_options;
};

/// Returns the policy of a deployment's configuration.
/// @param name "naive" or "siskindrift".
[[nodiscard]] std::unique_ptr<placement_policy> make_placement_policy(const std::string& name,
                                                                      placement_options options);

} // namespace siskindrift::routing
