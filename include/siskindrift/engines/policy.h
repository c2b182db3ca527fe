// What an engine loads next and what it gives up for it.
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

/// An adapter that requests wait for and that is not on the engine.
struct load_wish {
    core::adapter_version adapter;
    std::uint32_t waiting = 0;
    std::uint8_t priority = 0;
    core::time_point oldest{};
};

/// Decides loads and evictions of one engine.
class residency_policy {
public:
    residency_policy() = default;
    residency_policy(const residency_policy&) = delete;
    residency_policy& operator=(const residency_policy&) = delete;
    virtual ~residency_policy() = default;

    /// Returns whether loads wait for a permit of the store budget.
    [[nodiscard]] virtual bool uses_permits() const = 0;

    /// Returns how many loads may be on their way at once.
    [[nodiscard]] virtual std::uint32_t max_loads() const = 0;

    /// Returns the wish to serve next; @p wishes is not empty.
    [[nodiscard]] virtual std::size_t choose_load(const std::vector<load_wish>& wishes,
                                                  core::time_point now) const = 0;

    /// Returns the adapter to give up, or none. Only evictable ones may be named.
    [[nodiscard]] virtual std::optional<core::adapter_version>
    choose_victim(const residency_table& table, const engine_queue& queue,
                  core::time_point now) const = 0;
};

/// Oldest wish first, least recently used out, no budget.
class naive_residency final : public residency_policy {
public:
    [[nodiscard]] bool uses_permits() const override { return false; }
    [[nodiscard]] std::uint32_t max_loads() const override { return UINT32_MAX; }
    [[nodiscard]] std::size_t choose_load(const std::vector<load_wish>& wishes,
                                          core::time_point now) const override;
    [[nodiscard]] std::optional<core::adapter_version>
    choose_victim(const residency_table& table, const engine_queue& queue,
                  core::time_point now) const override;
};

/// Most helpful load first, least wanted out, within the store budget.
class cost_residency final : public residency_policy {
public:
    [[nodiscard]] bool uses_permits() const override { return true; }
    [[nodiscard]] std::uint32_t max_loads() const override { return 2; }
    [[nodiscard]] std::size_t choose_load(const std::vector<load_wish>& wishes,
                                          core::time_point now) const override;
    [[nodiscard]] std::optional<core::adapter_version>
    choose_victim(const residency_table& table, const engine_queue& queue,
                  core::time_point now) const override;
};

/// Returns the policy of a deployment's configuration.
/// @param name "naive" or "siskindrift".
[[nodiscard]] std::unique_ptr<residency_policy> make_residency_policy(const std::string& name);

} // namespace siskindrift::engines
