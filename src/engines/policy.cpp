#include "siskindrift/engines/policy.h"

#include <algorithm>

namespace siskindrift::engines {

std::size_t naive_residency::choose_load(const std::vector<pending_load>& loads,
                                         core::time_point) const
{
    const auto oldest =
        std::min_element(loads.begin(), loads.end(), [](const auto& a, const auto& b) {
            return a.oldest_arrival < b.oldest_arrival;
        });
    return static_cast<std::size_t>(oldest - loads.begin());
}

std::optional<core::adapter_version> naive_residency::choose_victim(const residency_table& table,
                                                                    const engine_queue&,
                                                                    core::time_point) const
{
    std::optional<core::adapter_version> victim;
    core::time_point oldest = core::time_point::max();
    for (const auto& [adapter, entry] : table.entries()) {
        if (table.evictable(adapter) && entry.last_used < oldest) {
            victim = adapter;
            oldest = entry.last_used;
        }
    }
    return victim;
}

std::size_t cost_residency::choose_load(const std::vector<pending_load>& loads,
                                        core::time_point now) const
{
    // Each waiting request benefits from the load; the age prevents starvation of rare adapters.
    const auto benefit = [&](const pending_load& load) {
        const std::chrono::duration<double> age = now - load.oldest_arrival;
        return (load.priority + 1.0) * (load.waiting + age.count());
    };
    const auto best =
        std::max_element(loads.begin(), loads.end(),
                         [&](const auto& a, const auto& b) { return benefit(a) < benefit(b); });
    return static_cast<std::size_t>(best - loads.begin());
}

std::optional<core::adapter_version> cost_residency::choose_victim(const residency_table& table,
                                                                   const engine_queue& queue,
                                                                   core::time_point now) const
{
    std::optional<core::adapter_version> victim;
    double least = 0.0;
    core::time_point least_used{};
    for (const auto& [adapter, entry] : table.entries()) {
        if (!table.evictable(adapter) || queue.waiting_for(adapter) > 0) {
            continue;
        }
        const double demand = table.demand(adapter, now);
        const bool better =
            !victim || demand < least || (demand == least && entry.last_used < least_used);
        if (better) {
            victim = adapter;
            least = demand;
            least_used = entry.last_used;
        }
    }
    return victim;
}

std::unique_ptr<residency_policy> make_residency_policy(const std::string& name)
{
    if (name == "naive") {
        return std::make_unique<naive_residency>();
    }
    return std::make_unique<cost_residency>();
}

} // namespace siskindrift::engines
