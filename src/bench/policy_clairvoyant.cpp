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
constexpr double full_step_s = (16.0 + 0.4 * 16.0) / 1000.0;
constexpr double store_burst = 2.0;
constexpr double warm_up_s = 60.0;
constexpr double deadline_s = 20.0;
constexpr double gain_horizon_s = 10.0; // requests this far ahead count towards a load's gain

// Knows for each adapter when it is used.
class future {
public:
    explicit future(const std::vector<arrival>& arrivals)
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

struct pool {
    std::size_t size = 0;
    std::unordered_map<std::uint32_t, double> ready_at;
};

// Returns the resident adapter whose next use lies furthest ahead.
std::uint32_t furthest(const pool& held, const future& known, double now)
{
    std::uint32_t victim = held.ready_at.begin()->first;
    double latest = -1.0;
    for (const auto& [adapter, ready] : held.ready_at) {
        const double use = known.next_use(adapter, now);
        if (use > latest) {
            latest = use;
            victim = adapter;
        }
    }
    return victim;
}

double fill_bound(const deployment_shape& shape, const std::vector<arrival>& arrivals)
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
        changes.push_back({next.at_s + next.tokens * full_step_s, -1, next.adapter});
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
    return tokens / (engine_seconds / full_step_s * shape.batch);
}

double percentile_of(std::vector<double> values, double share)
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
    const future known{arrivals};
    pool held;
    held.size = shape.engines * shape.slots;
    std::vector<double> stalls;
    std::unordered_map<std::uint32_t, std::vector<double>> waiting;
    double slot_free = -store_burst / shape.loads_per_second;
    std::size_t at = 0;
    std::uint64_t loads = 0;
    const auto note = [&](double since, double stall_s) {
        if (since >= warm_up_s) {
            stalls.push_back(std::min(stall_s, deadline_s) * 1000.0);
        }
    };
    const auto load = [&](std::uint32_t adapter, double begin) {
        if (held.ready_at.size() >= held.size) {
            held.ready_at.erase(furthest(held, known, begin));
        }
        held.ready_at[adapter] = begin + load_s;
        ++loads;
        for (const double since : waiting[adapter]) {
            note(since, begin + load_s - since);
        }
        waiting.erase(adapter);
    };
    while (at < arrivals.size() || !waiting.empty()) {
        const double slot = std::max(slot_free + 1.0 / shape.loads_per_second, 0.0);
        while (at < arrivals.size() && arrivals[at].at_s <= slot) {
            const auto& next = arrivals[at++];
            const auto resident = held.ready_at.find(next.adapter);
            if (resident == held.ready_at.end()) {
                waiting[next.adapter].push_back(next.at_s);
            }
            else {
                note(next.at_s, std::max(0.0, resident->second - next.at_s));
            }
        }
        slot_free = slot;
        if (!waiting.empty()) {
            // The load that ends the most waiting.
            const auto gain = [&](const auto& item) {
                return static_cast<double>(item.second.size()) +
                       known.uses_until(item.first, slot, slot + gain_horizon_s);
            };
            const auto best =
                std::max_element(waiting.begin(), waiting.end(),
                                 [&](const auto& a, const auto& b) { return gain(a) < gain(b); });
            load(best->first, slot);
            continue;
        }
        if (!prefetch) {
            // The store waits for the next request that misses, with its burst in hand.
            while (at < arrivals.size() && held.ready_at.contains(arrivals[at].adapter)) {
                note(arrivals[at].at_s,
                     std::max(0.0, held.ready_at[arrivals[at].adapter] - arrivals[at].at_s));
                ++at;
            }
            if (at < arrivals.size()) {
                slot_free =
                    std::max(slot_free, arrivals[at].at_s - store_burst / shape.loads_per_second);
                waiting[arrivals[at].adapter].push_back(arrivals[at].at_s);
                load(arrivals[at].adapter, std::max(slot, arrivals[at].at_s));
                ++at;
            }
            continue;
        }
        // A spare slot of the store prefetches what is needed next.
        for (auto ahead = at; ahead < arrivals.size() && ahead < at + 2000; ++ahead) {
            if (!held.ready_at.contains(arrivals[ahead].adapter)) {
                const bool useful =
                    held.ready_at.size() < held.size ||
                    known.next_use(furthest(held, known, slot), slot) > arrivals[ahead].at_s;
                if (useful) {
                    load(arrivals[ahead].adapter, slot);
                }
                break;
            }
        }
    }
    sim_result result;
    result.stall_p50_ms = percentile_of(stalls, 0.50);
    result.stall_p95_ms = percentile_of(stalls, 0.95);
    result.stall_p99_ms = percentile_of(stalls, 0.99);
    result.stall_total_s = std::accumulate(stalls.begin(), stalls.end(), 0.0) / 1000.0;
    result.batch_fill = fill_bound(shape, arrivals);
    result.loads = loads;
    return result;
}

} // namespace siskindrift::bench
