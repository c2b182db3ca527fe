// Policies that choose which adapter an engine loads next and which one it evicts.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/engines/engine_queue.h"
#include "siskindrift/engines/residency_table.h"

namespace siskindrift::engines {

/// An adapter that requests wait for and that the engine doesn't hold.
struct pending_load {
    core::adapter_version adapter;
    std::uint32_t waiting = 0;         ///< Number of waiting requests.
    std::uint8_t priority = 0;         ///< Highest priority of these requests.
    core::time_point oldest_arrival{}; ///< Arrival of the oldest of these requests.
};

/// Chooses the loads and evictions of one engine.
class residency_policy {
public:
    residency_policy() = default;
    residency_policy(const residency_policy&) = delete;
    residency_policy& operator=(const residency_policy&) = delete;
    virtual ~residency_policy() = default;

    /// Returns whether each load needs a permit, which limits the load on the weight store.
    [[nodiscard]] virtual bool uses_permits() const = 0;

    /// Returns the maximum number of concurrent loads.
    [[nodiscard]] virtual std::uint32_t max_loads() const = 0;

    /// Returns the index of the load to begin next.
    /// @param loads the pending loads; not empty.
    [[nodiscard]] virtual std::size_t choose_load(const std::vector<pending_load>& loads,
                                                  core::time_point now) const = 0;

    /// Returns the evictable adapter to unload, or none.
    [[nodiscard]] virtual std::optional<core::adapter_version>
    choose_victim(const residency_table& table, const engine_queue& queue,
                  core::time_point now) const = 0;
};

/// Loads the adapter of the oldest request, evicts the least recently used adapter and needs no
/// permits.
class naive_residency final : public residency_policy {
public:
    [[nodiscard]] bool uses_permits() const override { return false; }
    [[nodiscard]] std::uint32_t max_loads() const override { return UINT32_MAX; }
    [[nodiscard]] std::size_t choose_load(const std::vector<pending_load>& loads,
                                          core::time_point now) const override;
    [[nodiscard]] std::optional<core::adapter_version>
    choose_victim(const residency_table& table, const engine_queue& queue,
                  core::time_point now) const override;
};

/// Loads the adapter with the highest benefit, evicts the adapter with the lowest demand and needs
/// permits.
class cost_residency final : public residency_policy {
public:
    [[nodiscard]] bool uses_permits() const override { return true; }
    [[nodiscard]] std::uint32_t max_loads() const override { return 2; }
    [[nodiscard]] std::size_t choose_load(const std::vector<pending_load>& loads,
                                          core::time_point now) const override;
    [[nodiscard]] std::optional<core::adapter_version>
    choose_victim(const residency_table& table, const engine_queue& queue,
                  core::time_point now) const override;
};

/// Returns the policy that a deployment's configuration names.
/// @param name "naive" for `naive_residency`; any other name for `cost_residency`.
[[nodiscard]] std::unique_ptr<residency_policy> make_residency_policy(const std::string& name);

} // namespace siskindrift::engines
