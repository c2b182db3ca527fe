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
    m_earliest_grant = now + m_budget.lifetime;
    m_refilled_at = m_earliest_grant;
    m_pending_requests.clear();
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
    m_pending_requests.push_back({ticket, benefit, now});
}

std::vector<permit_allocator::granted_permit> permit_allocator::grant(core::time_point now)
{
    refill(now);
    std::erase_if(m_in_use, [&](const auto& item) { return item.second <= now; });
    std::vector<granted_permit> granted;
    while (!m_pending_requests.empty() && m_tokens >= 1.0 &&
           m_in_use.size() < m_budget.max_in_flight && now >= m_earliest_grant) {
        const auto best =
            std::max_element(m_pending_requests.begin(), m_pending_requests.end(),
                             [](const auto& a, const auto& b) { return a.benefit < b.benefit; });
        const granted_permit item{best->ticket, m_next_permit++};
        m_in_use[item.permit] = now + m_budget.lifetime;
        m_tokens -= 1.0;
        granted.push_back(item);
        m_pending_requests.erase(best);
    }
    return granted;
}

std::vector<std::uint64_t> permit_allocator::take_timed_out(core::time_point now,
                                                            core::duration timeout)
{
    std::vector<std::uint64_t> tickets;
    std::erase_if(m_pending_requests, [&](const permit_request& request) {
        const bool timed_out = now - request.requested_at > timeout;
        if (timed_out) {
            tickets.push_back(request.ticket);
        }
        return timed_out;
    });
    return tickets;
}

} // namespace siskindrift::state
