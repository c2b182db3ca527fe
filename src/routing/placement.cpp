#include "siskindrift/routing/placement.h"

#include <algorithm>
#include <limits>

#include "siskindrift/routing/rendezvous.h"

namespace siskindrift::routing {

adapter_belief engine_view::belief(const core::adapter_version& adapter) const
{
    const auto found = adapters.find(adapter);
    return found == adapters.end() ? adapter_belief{} : found->second;
}

std::optional<core::upstream_id>
least_loaded_placement::choose(const core::adapter_version& adapter,
                               const std::vector<const engine_view*>& engines) const
{
    const engine_view* best = nullptr;
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

double cost_placement::queue_ms(const engine_view& engine) const
{
    const double batch = engine.batch;
    const double over = static_cast<double>(engine.load()) + 1.0 - batch;
    return over <= 0.0 ? 0.0 : over * m_options.service_ms / batch;
}

double cost_placement::resident_cost(const engine_view& engine, const adapter_belief& belief) const
{
    const double wait = queue_ms(engine);
    const double fill = std::min(1.0, static_cast<double>(engine.load()) / engine.batch);
    // A fuller batch slows its steps a little but keeps other engines free to stay full.
    const double spread = m_options.stall_weight * fill - (1.0 - m_options.stall_weight) * fill;
    const double loading = belief.state == residency_belief::loading ? m_options.load_ms : 0.0;
    constexpr double fill_ms = 40.0; // what one step more or less of fill is worth
    return wait + loading + spread * fill_ms;
}

double cost_placement::load_cost(const engine_view& engine) const
{
    const double store_ms = 1000.0 / m_options.loads_per_second;
    // A load also delays other loads; where stalls weigh more, a copy is made sooner.
    const double reluctance = 2.0 - m_options.stall_weight;
    return queue_ms(engine) + m_options.load_ms + store_ms * reluctance;
}

const engine_view* cost_placement::home_of(const core::adapter_version& adapter,
                                           const std::vector<const engine_view*>& engines) const
{
    double total = 0.0;
    for (const auto* engine : engines) {
        total += engine->load();
    }
    const double mean = total / static_cast<double>(engines.size());
    const engine_view* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto* engine : engines) {
        const double limit = std::max(mean * m_options.bounded_load_factor, engine->batch * 0.5);
        if (engine->load() > limit) {
            continue;
        }
        const auto weight = rendezvous_weight(adapter.value(), engine->id.value());
        if (best == nullptr || weight > best_weight) {
            best = engine;
            best_weight = weight;
        }
    }
    return best;
}

std::optional<core::upstream_id>
cost_placement::choose(const core::adapter_version& adapter,
                       const std::vector<const engine_view*>& engines) const
{
    const engine_view* holder = nullptr;
    double holder_cost = std::numeric_limits<double>::infinity();
    for (const auto* engine : engines) {
        const auto belief = engine->belief(adapter);
        if (belief.state == residency_belief::absent) {
            continue;
        }
        const double cost = resident_cost(*engine, belief);
        if (cost < holder_cost) {
            holder = engine;
            holder_cost = cost;
        }
    }
    std::vector<const engine_view*> others;
    for (const auto* engine : engines) {
        if (engine->belief(adapter).state == residency_belief::absent) {
            others.push_back(engine);
        }
    }
    const auto* home = others.empty() ? nullptr : home_of(adapter, others);
    if (home != nullptr && load_cost(*home) < holder_cost) {
        return home->id;
    }
    if (holder != nullptr) {
        return holder->id;
    }
    return least_loaded_placement{}.choose(adapter, engines);
}

std::unique_ptr<placement_policy> make_placement(const std::string& name,
                                                 placement_options options)
{
    if (name == "naive") {
        return std::make_unique<least_loaded_placement>();
    }
    return std::make_unique<cost_placement>(options);
}

} // namespace siskindrift::routing
