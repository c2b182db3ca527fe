#include "siskindrift/adapters/load_limiter.h"

#include <algorithm>

namespace siskindrift::adapters {

void load_limiter::begin_at(const store_capacity& learnt)
{
    if (m_unslowed_s == 0 && learnt.loads > 0 && learnt.load_time > core::duration::zero()) {
        m_limit =
            std::clamp(static_cast<double>(learnt.loads), m_options.min_limit, m_options.max_limit);
        m_unslowed_s = std::chrono::duration<double>(learnt.load_time).count();
        m_overload_seen = learnt.saturated;
    }
}

std::optional<store_capacity> load_limiter::learnt() const
{
    if (m_unslowed_s == 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> load_time{m_unslowed_s};
    return store_capacity{limit(), std::chrono::duration_cast<core::duration>(load_time),
                          m_overload_seen};
}

void load_limiter::set_in_progress(std::size_t loads, core::time_point now)
{
    const auto passed = std::chrono::duration<double>(now - m_summed_until);
    m_load_seconds += passed.count() * static_cast<double>(m_in_progress);
    m_summed_until = now;
    m_in_progress = loads;
}

void load_limiter::on_load(core::time_point began, double load_seconds, core::time_point now)
{
    const auto duration_s = std::chrono::duration<double>(now - began).count();
    if (duration_s <= 0) {
        return;
    }
    set_in_progress(m_in_progress, now);
    if (began < m_changed_at) {
        return; // shows the effect of the previous limit
    }
    m_samples.push_back({duration_s, (m_load_seconds - load_seconds) / duration_s});
    if (m_samples.size() < std::max(limit(), m_options.min_sample)) {
        return;
    }
    const auto rank = static_cast<double>(m_samples.size()) * m_options.quantile;
    const auto chosen = m_samples.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(
        m_samples.begin(), chosen, m_samples.end(),
        [](const sample& left, const sample& right) { return left.duration_s < right.duration_s; });
    const auto typical = *chosen;
    m_samples.clear();
    const auto before = limit();
    update(typical);
    if (limit() != before) {
        m_changed_at = now;
    }
}

void load_limiter::update(const sample& typical)
{
    if (m_unslowed_s == 0 || typical.duration_s < m_unslowed_s) {
        const bool faster = typical.duration_s * m_options.timely_stretch < m_unslowed_s;
        m_overload_seen = m_overload_seen && !faster;
        m_unslowed_s = typical.duration_s;
    }
    const double stretch = typical.duration_s / m_unslowed_s;
    if (stretch <= m_options.timely_stretch) {
        if (typical.loads >= m_limit * m_options.min_use) {
            const double increase =
                m_overload_seen ? m_options.increase : m_options.initial_increase;
            m_limit = std::min(m_limit + std::max(m_limit * increase, 1.0), m_options.max_limit);
        }
    }
    else if (stretch > m_options.max_stretch && typical.loads <= m_options.min_limit) {
        // So few loads hardly overload the store: it may have become slower.
        m_unslowed_s = std::min(typical.duration_s, m_unslowed_s * m_options.unslowed_growth);
    }
    else if (stretch > m_options.max_stretch) {
        m_overload_seen = true;
        m_limit =
            std::clamp(typical.loads / stretch, m_limit * (1 - m_options.max_decrease), m_limit);
        m_limit = std::max(m_limit, m_options.min_limit);
    }
}

} // namespace siskindrift::adapters
