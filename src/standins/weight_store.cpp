#include "siskindrift/standins/weight_store.h"

#include <algorithm>

namespace siskindrift::standins {

core::time_point weight_store::begin_load(core::time_point now)
{
    ++m_in_flight;
    const auto interval = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(1.0 / m_rates.loads_per_second));
    // A burst of two loads may start at once; further loads start at the configured rate.
    const auto starts_at = std::max(now, m_next_start_at - interval);
    m_next_start_at = std::max(now, m_next_start_at) + interval;
    const double slowdown =
        std::max(1.0, static_cast<double>(m_in_flight) / m_rates.full_speed_loads);
    return starts_at + std::chrono::duration_cast<core::duration>(m_rates.load_duration * slowdown);
}

} // namespace siskindrift::standins
