#include "siskindrift/adapters/load_limiter.h"

#include <algorithm>

namespace siskindrift::adapters {
namespace {

// Fraction of the limit from which on the loads in progress show whether the store copes with it.
constexpr double relevant_share = 0.5;

} // namespace

void load_limiter::set_in_progress(std::size_t loads, core::time_point now)
{
    const auto passed = std::chrono::duration<double>(now - m_summed_until);
    m_load_seconds += passed.count() * static_cast<double>(m_in_progress);
    m_summed_until = now;
    m_in_progress = loads;
}

void load_limiter::on_load(core::time_point began, double load_seconds, core::time_point now)
{
    const auto elapsed = now - began;
    if (elapsed <= core::duration::zero()) {
        return;
    }
    set_in_progress(m_in_progress, now);
    // Mean number of loads in progress during this one, including itself.
    const double loads = (m_load_seconds - load_seconds) / std::chrono::duration<double>(elapsed).count();
    if (m_unslowed_time == core::duration::zero() || elapsed < m_unslowed_time) {
        const bool faster = elapsed * m_options.timely_stretch < m_unslowed_time;
        m_overload_seen = m_overload_seen && !faster;
        m_unslowed_time = elapsed;
    }
    const double stretch = std::chrono::duration<double>(elapsed) / m_unslowed_time;
    if (stretch <= m_options.timely_stretch) {
        if (loads < m_limit * relevant_share) {
            return;
        }
        m_limit += m_overload_seen ? m_options.relative_increase / m_limit : 1;
        m_limit = std::min(m_limit, m_options.max_limit);
        return;
    }
    if (stretch <= m_options.max_stretch) {
        return;
    }
    if (loads <= m_options.min_limit) {
        // So few loads can't overload the store: it has become slower.
        m_unslowed_time = elapsed;
        return;
    }
    m_overload_seen = true;
    const double capacity = std::max(loads / stretch, m_options.min_limit);
    if (capacity < m_limit) {
        m_limit += (capacity - m_limit) * m_options.slow_load_weight;
    }
}

} // namespace siskindrift::adapters
