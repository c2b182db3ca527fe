#include "siskindrift/adapters/answer_time.h"

#include <algorithm>
#include <cmath>

namespace siskindrift::adapters {

void answer_time_estimate::on_answer(core::duration elapsed)
{
    // A longer wait than the longest would teach nothing, and be forgotten late.
    const std::chrono::duration<double> measured{std::min(elapsed, m_options.max_wait)};
    if (!m_known) {
        m_known = true;
        m_mean = measured;
        m_deviation = measured / 2;
        return;
    }
    const std::chrono::duration<double> error{std::abs((measured - m_mean).count())};
    m_deviation += (error - m_deviation) * m_options.deviation_weight;
    m_mean += (measured - m_mean) * m_options.mean_weight;
}

core::duration answer_time_estimate::wait() const
{
    if (!m_known) {
        return m_options.initial_wait;
    }
    const auto longest =
        std::chrono::duration_cast<core::duration>(m_mean + m_deviation * m_options.max_deviations);
    return std::clamp(longest, m_options.min_wait, m_options.max_wait);
}

} // namespace siskindrift::adapters
