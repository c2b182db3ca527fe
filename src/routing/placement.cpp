#include "siskindrift/routing/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "siskindrift/routing/rendezvous.h"

namespace siskindrift::routing {

adapter_status engine_status::belief(const core::adapter_version& adapter) const
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
        const bool lighter = best == nullptr || engine->load() < best->load();
        const bool tie = best != nullptr && engine->load() == best->load() &&
                         rendezvous_weight(adapter.value(), engine->id.value()) >
                             rendezvous_weight(adapter.value(), best->id.value());
        if (lighter || tie) {
            best = engine;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

double cost_placement::queue_ms(const engine_status& engine) const
{
    const double batch = engine.batch;
    const double over = static_cast<double>(engine.load()) + 1.0 - batch;
    return over <= 0.0 ? 0.0 : over * m_options.service_ms / batch;
}

// Where batches matter, an engine that already runs a batch is better than an idle one;
// where stalls matter, a fuller batch is a little slower for everybody in it.
double cost_placement::spread_ms(const engine_status& engine) const
{
    const double fill = std::min(1.0, static_cast<double>(engine.load()) / engine.batch);
    constexpr double crowding_ms = 40.0;
    if (packs()) {
        return (1.0 - m_options.stall_weight) * (1.0 - fill) * m_options.idle_engine_ms;
    }
    return m_options.stall_weight * fill * crowding_ms;
}

double cost_placement::resident_cost(const engine_status& engine,
                                     const adapter_status& belief) const
{
    const double loading = belief.state == adapter_residency::loading ? m_options.load_ms : 0.0;
    return queue_ms(engine) + loading + spread_ms(engine);
}

double cost_placement::load_cost(const engine_status& engine) const
{
    const double store_ms = 1000.0 / m_options.loads_per_second;
    // A load also delays other loads; where stalls weigh more, a copy is made sooner.
    const double reluctance = 2.0 - m_options.stall_weight;
    const double miss_ms = m_options.load_ms + store_ms;
    return queue_ms(engine) + m_options.load_ms + store_ms * reluctance +
           engine.eviction_cost * miss_ms + spread_ms(engine);
}

// The cheapest engine for a load. Costs that hardly differ count as equal and are decided by
// rendezvous, so that VMs with slightly different views agree.
const engine_status* cost_placement::home_of(const core::adapter_version& adapter,
                                             const std::vector<const engine_status*>& engines) const
{
    constexpr double same_cost_ms = 100.0;
    // One order for all adapters fills engines one after the other, so that batches are full.
    const std::string_view item = packs() ? std::string_view{"pack"} : adapter.value();
    const engine_status* best = nullptr;
    double best_cost = 0.0;
    std::uint64_t best_weight = 0;
    for (const auto* engine : engines) {
        const double cost = std::floor(load_cost(*engine) / same_cost_ms);
        const auto weight = rendezvous_weight(item, engine->id.value());
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
        const auto belief = engine->belief(adapter);
        if (belief.state == adapter_residency::absent) {
            continue;
        }
        const double cost = resident_cost(*engine, belief);
        if (cost < holder_cost) {
            holder = engine;
            holder_cost = cost;
        }
    }
    std::vector<const engine_status*> others;
    for (const auto* engine : engines) {
        if (engine->belief(adapter).state == adapter_residency::absent) {
            others.push_back(engine);
        }
    }
    const auto* home = others.empty() ? nullptr : home_of(adapter, others);
    if (holder != nullptr) {
        // A copy is worth a load only when it shortens a queue; how full the engines are
        // decides between holders, and between homes, but makes no copies.
        const bool copy =
            home != nullptr && load_cost(*home) - spread_ms(*home) < queue_ms(*holder);
        return copy ? home->id : holder->id;
    }
    if (home != nullptr) {
        return home->id;
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
