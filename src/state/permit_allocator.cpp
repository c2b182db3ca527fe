#include "siskindrift/state/permit_allocator.h"

#include <algorithm>

namespace siskindrift::state {

void permit_allocator::set_budget(store_budget budget)
{
    m_budget = budget;
    m_tokens = std::min(m_tokens, m_budget.burst);
}

void permit_allocator::begin_term(core::time_point now)
{
    m_tokens = 0.0;
    m_first_grant = now + m_budget.lifetime;
    m_refilled_at = m_first_grant;
    m_wishes.clear();
    m_in_use.clear();
}

void permit_allocator::refill(core::time_point now)
{
    if (now <= m_refilled_at) {
        return;
    }
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_tokens = std::min(m_budget.burst, m_tokens + passed.count() * m_budget.loads_per_second);
    m_refilled_at = now;
}

void permit_allocator::enqueue(std::uint64_t ticket, double benefit, core::time_point now)
{
    m_wishes.push_back({ticket, benefit, now});
}

std::vector<permit_allocator::grant_item> permit_allocator::grant(core::time_point now)
{
    refill(now);
    std::erase_if(m_in_use, [&](const auto& item) { return item.second <= now; });
    std::vector<grant_item> granted;
    while (!m_wishes.empty() && m_tokens >= 1.0 && m_in_use.size() < m_budget.max_in_flight &&
           now >= m_first_grant) {
        const auto best =
            std::max_element(m_wishes.begin(), m_wishes.end(),
                             [](const auto& a, const auto& b) { return a.benefit < b.benefit; });
        const grant_item item{best->ticket, m_next_permit++};
        m_in_use[item.permit] = now + m_budget.lifetime;
        m_tokens -= 1.0;
        granted.push_back(item);
        m_wishes.erase(best);
    }
    return granted;
}

std::vector<std::uint64_t> permit_allocator::take_timed_out(core::time_point now,
                                                            core::duration patience)
{
    std::vector<std::uint64_t> tickets;
    std::erase_if(m_wishes, [&](const permit_wish& wish) {
        const bool impatient = now - wish.since > patience;
        if (impatient) {
            tickets.push_back(wish.ticket);
        }
        return impatient;
    });
    return tickets;
}

} // namespace siskindrift::state
