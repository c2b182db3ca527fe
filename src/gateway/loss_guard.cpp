#include "siskindrift/gateway/loss_guard.h"

#include <algorithm>

namespace siskindrift::gateway {

bool loss_guard::record_loss(core::time_point sent, core::time_point now)
{
    if (m_losses > 0 && sent <= m_last_loss) {
        return false;
    }
    ++m_losses;
    m_pause = std::clamp<core::duration>(m_pause * 2, m_options.first_pause, m_options.max_pause);
    m_last_loss = now;
    return true;
}

bool loss_guard::record_response(core::time_point sent)
{
    if (m_losses == 0 || sent < m_last_loss) {
        return false;
    }
    m_losses = 0;
    m_pause /= 4;
    return true;
}

bool loss_guard::is_trial_due(core::time_point now) const
{
    return now - std::max(m_last_loss, m_last_sent) >= m_pause;
}

bool loss_guard::is_trial_due_beside_others(bool repeatable, core::time_point now) const
{
    const auto factor = repeatable ? 1 : m_options.unrepeatable_factor;
    return is_trial_due(now) &&
           (m_passed_over >= m_options.requests_before_trial * factor ||
            now - std::max(m_last_loss, m_last_sent) >= m_options.max_pause_beside_others);
}

core::duration loss_guard::time_to_trial(core::time_point now) const
{
    return std::max<core::duration>(std::max(m_last_loss, m_last_sent) + m_pause - now,
                                    core::duration::zero());
}

} // namespace siskindrift::gateway
