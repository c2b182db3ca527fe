#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>
#include <unordered_map>

#include "policy_sim.h"

namespace siskindrift::bench {
namespace {

constexpr double load_s = 0.25;
constexpr double full_batch_step_s = (16.0 + 0.4 * 16.0) / 1000.0;
constexpr double store_burst = 2.0;
constexpr double warm_up_s = 60.0;
constexpr double deadline_s = 20.0;
constexpr double gain_horizon_s = 10.0; // look-ahead that counts towards a load's gain

// Arrival times by adapter.
class arrival_index {
public:
    explicit arrival_index(const std::vector<arrival>& arrivals)
    {
        for (const auto& next : arrivals) {
            m_uses[next.adapter].push_back(next.at_s);
        }
    }

    [[nodiscard]] double next_use(std::uint32_t adapter, double after) const
    {
        const auto& uses = m_uses.at(adapter);
        const auto found = std::lower_bound(uses.begin(), uses.end(), after);
        return found == uses.end() ? std::numeric_limits<double>::infinity() : *found;
    }

    [[nodiscard]] double uses_until(std::uint32_t adapter, double from, double to) const
    {
        const auto& uses = m_uses.at(adapter);
        return static_cast<double>(std::lower_bound(uses.begin(), uses.end(), to) -
                                   std::lower_bound(uses.begin(), uses.end(), from));
    }

private:
    std::unordered_map<std::uint32_t, std::vector<double>> m_uses;
};

// Resident adapters of all engines, taken as one pool of slots.
struct adapter_cache {
    std::size_t size = 0;
    std::unordered_map<std::uint32_t, double> ready_at;
};

// Returns the resident adapter whose next use is furthest in the future (Belady).
std::uint32_t furthest_next_use(const adapter_cache& cache, const arrival_index& index, double now)
{
    std::uint32_t victim = cache.ready_at.begin()->first;
    double latest = -1.0;
    for (const auto& [adapter, ready] : cache.ready_at) {
        const double use = index.next_use(adapter, now);
        if (use > latest) {
            latest = use;
            victim = adapter;
        }
    }
    return victim;
}

// Returns a bound of the batch fill: at any time, only as many engines run as are needed for the
// running requests and their distinct adapters.
double batch_fill_bound(const deployment_shape& shape, const std::vector<arrival>& arrivals)
{
    struct change {
        double at;
        int sign;
        std::uint32_t adapter;
    };
    std::vector<change> changes;
    double tokens = 0.0;
    for (const auto& next : arrivals) {
        changes.push_back({next.at_s, 1, next.adapter});
        changes.push_back({next.at_s + next.tokens * full_batch_step_s, -1, next.adapter});
        tokens += next.tokens;
    }
    std::sort(changes.begin(), changes.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    std::unordered_map<std::uint32_t, int> running;
    double open = 0.0;
    double engine_seconds = 0.0;
    double last = 0.0;
    for (const auto& item : changes) {
        const double adapters = static_cast<double>(running.size());
        const double engines =
            std::max(std::ceil(open / shape.batch), std::ceil(adapters / shape.slots));
        engine_seconds += engines * (item.at - last);
        last = item.at;
        open += item.sign;
        running[item.adapter] += item.sign;
        if (running[item.adapter] == 0) {
            running.erase(item.adapter);
        }
    }
    return tokens / (engine_seconds / full_batch_step_s * shape.batch);
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty()
               ? 0.0
               : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

sim_result clairvoyant(const deployment_shape& shape, const std::vector<arrival>& arrivals,
                       bool prefetch)
{
    const arrival_index index{arrivals};
    adapter_cache cache;
    cache.size = shape.engines * shape.slots;
    std::vector<double> stalls;
    std::unordered_map<std::uint32_t, std::vector<double>> waiting;
    double last_slot = -store_burst / shape.loads_per_second;
    std::size_t at = 0;
    std::uint64_t loads = 0;
    const auto record_stall = [&](double since, double stall_s) {
        if (since >= warm_up_s) {
            stalls.push_back(std::min(stall_s, deadline_s) * 1000.0);
        }
    };
    const auto load = [&](std::uint32_t adapter, double begin) {
        if (cache.ready_at.size() >= cache.size) {
            cache.ready_at.erase(furthest_next_use(cache, index, begin));
        }
        cache.ready_at[adapter] = begin + load_s;
        ++loads;
        for (const double since : waiting[adapter]) {
            record_stall(since, begin + load_s - since);
        }
        waiting.erase(adapter);
    };
    while (at < arrivals.size() || !waiting.empty()) {
        const double slot = std::max(last_slot + 1.0 / shape.loads_per_second, 0.0);
        while (at < arrivals.size() && arrivals[at].at_s <= slot) {
            const auto& next = arrivals[at++];
            const auto resident = cache.ready_at.find(next.adapter);
            if (resident == cache.ready_at.end()) {
                waiting[next.adapter].push_back(next.at_s);
            }
            else {
                record_stall(next.at_s, std::max(0.0, resident->second - next.at_s));
            }
        }
        last_slot = slot;
        if (!waiting.empty()) {
            // Loads the adapter with the most requests that wait or are due within the look-ahead.
            const auto gain = [&](const auto& item) {
                return static_cast<double>(item.second.size()) +
                       index.uses_until(item.first, slot, slot + gain_horizon_s);
            };
            const auto best =
                std::max_element(waiting.begin(), waiting.end(),
                                 [&](const auto& a, const auto& b) { return gain(a) < gain(b); });
            load(best->first, slot);
            continue;
        }
        if (!prefetch) {
            // The store is idle until the next miss and accumulates up to its burst of loads.
            while (at < arrivals.size() && cache.ready_at.contains(arrivals[at].adapter)) {
                record_stall(arrivals[at].at_s, std::max(0.0, cache.ready_at[arrivals[at].adapter] -
                                                                  arrivals[at].at_s));
                ++at;
            }
            if (at < arrivals.size()) {
                last_slot =
                    std::max(last_slot, arrivals[at].at_s - store_burst / shape.loads_per_second);
                waiting[arrivals[at].adapter].push_back(arrivals[at].at_s);
                load(arrivals[at].adapter, std::max(slot, arrivals[at].at_s));
                ++at;
            }
            continue;
        }
        // Uses a free load slot of the store to prefetch the next adapter that is not resident.
        for (auto ahead = at; ahead < arrivals.size() && ahead < at + 2000; ++ahead) {
            if (!cache.ready_at.contains(arrivals[ahead].adapter)) {
                const bool useful = cache.ready_at.size() < cache.size ||
                                    index.next_use(furthest_next_use(cache, index, slot), slot) >
                                        arrivals[ahead].at_s;
                if (useful) {
                    load(arrivals[ahead].adapter, slot);
                }
                break;
            }
        }
    }
    sim_result result;
    result.stall_p50_ms = percentile(stalls, 0.50);
    result.stall_p95_ms = percentile(stalls, 0.95);
    result.stall_p99_ms = percentile(stalls, 0.99);
    result.stall_total_s = std::accumulate(stalls.begin(), stalls.end(), 0.0) / 1000.0;
    result.batch_fill = batch_fill_bound(shape, arrivals);
    result.loads = loads;
    return result;
}

} // namespace siskindrift::bench
