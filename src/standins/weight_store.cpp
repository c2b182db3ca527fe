#include "siskindrift/standins/weight_store.h"

#include <algorithm>

namespace siskindrift::standins {

core::time_point weight_store::begin_load(core::time_point now)
{
    ++m_in_flight;
    const auto gap = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(1.0 / m_rates.loads_per_second));
    // Two loads may come together; beyond that the rate holds.
    const auto start = std::max(now, m_next_start - gap);
    m_next_start = std::max(now, m_next_start) + gap;
    const double slow = std::max(1.0, static_cast<double>(m_in_flight) / m_rates.full_speed_loads);
    return start + std::chrono::duration_cast<core::duration>(m_rates.load * slow);
}

} // namespace siskindrift::standins
