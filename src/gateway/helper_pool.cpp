#include "siskindrift/gateway/helper_pool.h"

#include <algorithm>

namespace siskindrift::gateway {

void helper_pool::set_gateways(const std::vector<wire::gateway_info_t>& gateways)
{
    m_gateways = gateways;
    std::erase_if(m_states, [&](const auto& item) {
        return item.second.in_flight == 0 &&
               std::none_of(gateways.begin(), gateways.end(),
                            [&](const auto& info) { return info.vm == item.first; });
    });
}

std::optional<helper> helper_pool::choose(const std::string& service,
                                          const std::set<std::string>& tried, core::time_point now)
{
    if (tried.size() >= m_options.max_helpers_per_request) {
        return std::nullopt;
    }
    const wire::gateway_info_t* best = nullptr;
    double best_cost = 0;
    std::uint64_t ties = 0;
    for (const auto& info : m_gateways) {
        const auto& state = m_states[info.vm];
        const auto skipped = state.skip_service_until.find(service);
        const bool skip = info.vm == m_vm || !info.accepting || info.upstreams_lost ||
                          info.relay_address.empty() || tried.contains(info.vm) ||
                          now < state.skip_until ||
                          (skipped != state.skip_service_until.end() && now < skipped->second);
        if (skip) {
            continue;
        }
        const double cost =
            state.in_flight +
            (info.failure_domain == m_failure_domain ? 0.0 : m_options.domain_distance);
        // Of several that cost the same, each is chosen with the same probability.
        ties = best != nullptr && cost == best_cost ? ties + 1 : 1;
        const bool better = best == nullptr || cost < best_cost ||
                            (cost == best_cost && core::uniform_below(m_random, ties) == 0);
        if (better) {
            best = &info;
            best_cost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{helper{best->vm, best->relay_address}};
}

void helper_pool::record_ended(const std::string& vm)
{
    auto& state = m_states[vm];
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
}

void helper_pool::record_failure(const std::string& vm, core::time_point now)
{
    m_states[vm].skip_until = now + m_options.failure_pause;
}

void helper_pool::record_refusal(const std::string& vm, const std::string& service,
                                 core::time_point now)
{
    m_states[vm].skip_service_until[service] = now + m_options.refusal_pause;
}

} // namespace siskindrift::gateway
