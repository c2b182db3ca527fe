#include "siskindrift/gateway/retry_share.h"

#include <algorithm>

namespace siskindrift::gateway {

bool retry_share::apply(const wire::retry_share_t& share, core::time_point now)
{
    if (share.asked_ms != 0 && !m_has_predecessor) {
        m_has_predecessor = share.holder;
    }
    // An announcement that was delayed may describe an earlier state.
    if (share.generation < m_generation && now < m_valid_until) {
        return false;
    }
    const bool changed = share.generation != m_generation;
    m_generation = share.generation;
    m_holders = share.holders;
    m_usable = share.usable;
    if (share.asked_ms != 0) {
        const core::time_point asked{core::milliseconds{share.asked_ms}};
        m_valid_until = std::max(m_valid_until, asked + fleet::retry_share_lease);
    }
    return changed;
}

void retry_share::record_silent_upstream(core::time_point now)
{
    if (now - m_started <= fleet::max_unanswered_time) {
        m_upstream_silent_at = now;
    }
}

double retry_share::fraction(core::time_point now) const
{
    const bool may_arrive = m_has_predecessor.value_or(true) && m_upstream_silent_at &&
                            now < *m_upstream_silent_at + fleet::retry_quarantine(m_window);
    const bool valid =
        !may_arrive && m_usable && m_holders > 0 && now >= m_usable_from && now < m_valid_until;
    return valid ? 1.0 / m_holders : 0.0;
}

} // namespace siskindrift::gateway
