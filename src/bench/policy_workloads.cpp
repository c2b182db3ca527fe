#include <algorithm>
#include <cmath>

#include "policy_sim.h"

namespace siskindrift::bench {
namespace {

constexpr double zipf_exponent = 1.5;
constexpr std::uint32_t team_count = 4;

// Zipf distribution over ranks, sampled by binary search.
class zipf_distribution {
public:
    explicit zipf_distribution(std::size_t count)
    {
        double sum = 0.0;
        for (std::size_t rank = 1; rank <= count; ++rank) {
            sum += 1.0 / std::pow(static_cast<double>(rank), zipf_exponent);
            m_cumulative.push_back(sum);
        }
    }

    std::uint32_t draw(core::random_source& random) const
    {
        const double point =
            std::uniform_real_distribution<double>{0.0, m_cumulative.back()}(random);
        const auto found = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), point);
        return static_cast<std::uint32_t>(found - m_cumulative.begin());
    }

private:
    std::vector<double> m_cumulative;
};

double rate_at(workload kind, double base, double run_fraction)
{
    if (kind == workload::dawn_peak) {
        // Morning peak: rises from half the base rate to twice the base rate at mid-run, then
        // falls.
        return base * (0.5 + 1.5 * std::sin(3.14159 * run_fraction));
    }
    return base;
}

} // namespace

const char* workload_name(workload kind)
{
    switch (kind) {
    case workload::steady:
        return "steady";
    case workload::rush:
        return "rush";
    case workload::reshuffle:
        return "reshuffle";
    case workload::scan:
        return "scan";
    case workload::failing_loads:
        return "failing_loads";
    case workload::engine_restart:
        return "engine_restart";
    case workload::vm_cut:
        return "vm_cut";
    case workload::dawn_peak:
        return "dawn_peak";
    case workload::idle_and_wake:
        return "idle_and_wake";
    }
    return "steady";
}

std::vector<arrival> make_arrivals(workload kind, const deployment_shape& shape, double seconds,
                                   std::uint64_t seed)
{
    core::random_source random{seed};
    const zipf_distribution popularity{shape.adapters};
    std::vector<arrival> arrivals;
    std::uint32_t scanned = 0;
    for (double at = 0.0; at < seconds;) {
        const double rate = rate_at(kind, shape.requests_per_second, at / seconds);
        at += std::exponential_distribution<double>{rate}(random);
        arrival next;
        next.at_s = at;
        next.adapter = popularity.draw(random);
        next.tokens = 16 + static_cast<std::uint32_t>(core::uniform_below(random, 48));
        next.team = static_cast<std::uint32_t>(core::uniform_below(random, team_count));
        const bool late = at > seconds / 2;
        const auto roll = core::uniform_below(random, 100);
        if (kind == workload::rush && late && roll < 50) {
            next.adapter = static_cast<std::uint32_t>(shape.adapters - 7); // cold until the rush
        }
        else if (kind == workload::reshuffle && late) {
            next.adapter = (next.adapter + 1009) % static_cast<std::uint32_t>(shape.adapters);
        }
        else if (kind == workload::scan && late && roll < 5) {
            next.adapter = static_cast<std::uint32_t>(shape.adapters / 2 + scanned++ % 1000);
        }
        else if (kind == workload::idle_and_wake) {
            // Models that 6.7% of the adapters exchange popularity ranks with others within an
            // hour.
            const auto moved = static_cast<std::uint32_t>(0.067 * at / 3600.0 * 3000.0 * 20.0);
            next.adapter = next.adapter < moved % 60 ? next.adapter + 1500 : next.adapter;
        }
        arrivals.push_back(next);
    }
    return arrivals;
}

} // namespace siskindrift::bench
