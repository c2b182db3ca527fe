#include "siskindrift/gateway/prompt_mix.h"

#include <cmath>

namespace siskindrift::gateway {
namespace {

constexpr double forgotten = 0.01; // sum of requests from which on a kind is removed

} // namespace

void prompt_mix::record(const std::string& kind, double tokens, core::time_point now)
{
    const auto age = std::chrono::duration<double>(now - m_decayed_at);
    const double factor = std::exp(-age / std::chrono::duration<double>(m_options.decay_time));
    m_decayed_at = now;
    for (auto& [name, sum] : m_kinds) {
        sum.requests *= factor;
        sum.tokens *= factor;
    }
    std::erase_if(m_kinds, [](const auto& item) { return item.second.requests < forgotten; });
    auto& sum = m_kinds[kind];
    sum.requests += 1;
    sum.tokens += tokens;
}

bool prompt_mix::comes_first(const std::string& kind) const
{
    const auto own = m_kinds.find(kind);
    if (own == m_kinds.end() || m_kinds.size() < 2) {
        return false;
    }
    const double own_mean = own->second.tokens / own->second.requests;
    double requests = 0;
    double tokens = 0;
    double not_longer = 0; // prompt tokens of this kind and of those with shorter prompts
    for (const auto& [name, sum] : m_kinds) {
        requests += sum.requests;
        tokens += sum.tokens;
        not_longer += sum.tokens / sum.requests <= own_mean ? sum.tokens : 0;
    }
    return requests >= m_options.min_requests && not_longer <= m_options.max_first_share * tokens;
}

} // namespace siskindrift::gateway
