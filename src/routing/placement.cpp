#include "siskindrift/routing/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "siskindrift/routing/rendezvous.h"

namespace siskindrift::routing {

adapter_status engine_status::status_of(const core::adapter_version& adapter) const
{
    const auto found = adapters.find(adapter);
    return found == adapters.end() ? adapter_status{} : found->second;
}

std::optional<core::upstream_id>
least_loaded_placement::choose(const core::adapter_version& adapter,
                               const std::vector<const engine_status*>& engines) const
{
    const engine_status* best = nullptr;
    for (const auto* engine : engines) {
        const bool lower = best == nullptr || engine->load() < best->load();
        const bool tie = best != nullptr && engine->load() == best->load() &&
                         rendezvous_weight(adapter.value(), engine->id.value()) >
                             rendezvous_weight(adapter.value(), best->id.value());
        if (lower || tie) {
            best = engine;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

double cost_placement::queue_wait_ms(const engine_status& engine) const
{
    const double batch = engine.batch;
    const double excess = static_cast<double>(engine.load()) + 1.0 - batch;
    return excess <= 0.0 ? 0.0 : excess * m_options.service_ms / batch;
}

// Where batches matter, an engine that already runs a batch is better than an idle one. Where
// stalls matter, a fuller batch costs a little, because it slows all of its requests down.
double cost_placement::batch_penalty_ms(const engine_status& engine) const
{
    const double fill = std::min(1.0, static_cast<double>(engine.load()) / engine.batch);
    constexpr double full_batch_penalty_ms = 40.0;
    if (fills_batches()) {
        return (1.0 - m_options.stall_weight) * (1.0 - fill) * m_options.idle_engine_penalty_ms;
    }
    return m_options.stall_weight * fill * full_batch_penalty_ms;
}

double cost_placement::resident_cost_ms(const engine_status& engine,
                                        const adapter_status& status) const
{
    const double loading = status.state == adapter_residency::loading ? m_options.load_ms : 0.0;
    return queue_wait_ms(engine) + loading + batch_penalty_ms(engine);
}

double cost_placement::load_cost_ms(const engine_status& engine) const
{
    const double store_interval_ms = 1000.0 / m_options.loads_per_second;
    // A load also delays other loads. The more stalls matter, the sooner a copy is loaded.
    const double store_weight = 2.0 - m_options.stall_weight;
    const double reload_ms = m_options.load_ms + store_interval_ms;
    return queue_wait_ms(engine) + m_options.load_ms + store_interval_ms * store_weight +
           engine.eviction_cost * reload_ms + batch_penalty_ms(engine);
}

// Returns the engine with the lowest cost of a load. Nearly equal costs count as equal, and
// rendezvous hashing decides between them, so that VMs with slightly different views agree.
const engine_status*
cost_placement::choose_engine_for_load(const core::adapter_version& adapter,
                                       const std::vector<const engine_status*>& engines) const
{
    constexpr double cost_step_ms = 100.0;
    // With the same ranking for all adapters, engines fill up one after another, so that batches
    // are full.
    const std::string_view key = fills_batches() ? std::string_view{"pack"} : adapter.value();
    const engine_status* best = nullptr;
    double best_cost = 0.0;
    std::uint64_t best_weight = 0;
    for (const auto* engine : engines) {
        const double cost = std::floor(load_cost_ms(*engine) / cost_step_ms);
        const auto weight = rendezvous_weight(key, engine->id.value());
        if (best == nullptr || cost < best_cost || (cost == best_cost && weight > best_weight)) {
            best = engine;
            best_cost = cost;
            best_weight = weight;
        }
    }
    return best;
}

std::optional<core::upstream_id>
cost_placement::choose(const core::adapter_version& adapter,
                       const std::vector<const engine_status*>& engines) const
{
    const engine_status* holder = nullptr;
    double holder_cost = std::numeric_limits<double>::infinity();
    for (const auto* engine : engines) {
        const auto status = engine->status_of(adapter);
        if (status.state == adapter_residency::absent) {
            continue;
        }
        const double cost = resident_cost_ms(*engine, status);
        if (cost < holder_cost) {
            holder = engine;
            holder_cost = cost;
        }
    }
    std::vector<const engine_status*> others;
    for (const auto* engine : engines) {
        if (engine->status_of(adapter).state == adapter_residency::absent) {
            others.push_back(engine);
        }
    }
    const auto* target = others.empty() ? nullptr : choose_engine_for_load(adapter, others);
    if (holder != nullptr) {
        // Another copy is worth a load only if it shortens the wait. The fill of the batches
        // decides between engines that hold the adapter and between engines that could load it,
        // but is no reason for a copy.
        const bool copy = target != nullptr && load_cost_ms(*target) - batch_penalty_ms(*target) <
                                                   queue_wait_ms(*holder);
        return copy ? target->id : holder->id;
    }
    if (target != nullptr) {
        return target->id;
    }
    return least_loaded_placement{}.choose(adapter, engines);
}

std::unique_ptr<placement_policy> make_placement_policy(const std::string& name,
                                                        placement_options options)
{
    if (name == "naive") {
        return std::make_unique<least_loaded_placement>();
    }
    return std::make_unique<cost_placement>(options);
}

} // namespace siskindrift::routing
