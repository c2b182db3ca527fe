#include "siskindrift/adapters/use_rate.h"

#include <cmath>

namespace siskindrift::adapters {

void use_rate_estimate::begin(core::time_point now)
{
    m_begun = now;
    m_averages.clear();
}

void use_rate_estimate::record(adapter_key key, std::uint32_t uses, core::time_point now)
{
    if (now >= m_cleanup_due) {
        m_cleanup_due = now + m_options.cleanup_interval;
        std::erase_if(m_averages, [&](const auto& item) {
            return decayed(item.second, now) < m_options.min_rate_per_s;
        });
    }
    auto& item = m_averages[key];
    const auto decay_s = std::chrono::duration<double>(m_options.decay_time).count();
    item.per_s = decayed(item, now) + uses / decay_s;
    item.updated = now;
}

bool use_rate_estimate::known(core::time_point now) const
{
    return m_begun < now && now - m_begun >= m_options.learning_time;
}

double use_rate_estimate::per_second(adapter_key key, core::time_point now) const
{
    const auto found = m_averages.find(key);
    return found == m_averages.end() ? 0 : decayed(found->second, now);
}

double use_rate_estimate::decayed(const average& item, core::time_point now) const
{
    const auto age = std::chrono::duration<double>(now - item.updated);
    return item.per_s * std::exp(-age / std::chrono::duration<double>(m_options.decay_time));
}

} // namespace siskindrift::adapters
