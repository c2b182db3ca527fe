#include "siskindrift/observe/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace siskindrift::observe {
namespace {

constexpr core::milliseconds report_interval{1000}; // one line reports any number of dropped lines

} // namespace

log_rate_limiter::log_rate_limiter(log_rate_limiter_options options)
    : m_options(options), m_available_bytes(burst())
{
}

double log_rate_limiter::burst() const
{
    return m_options.bytes_per_second * m_options.burst_seconds;
}

bool log_rate_limiter::admit(line_priority priority, std::size_t bytes, core::time_point now)
{
    const auto since = std::chrono::duration<double>(now - m_refilled_at).count();
    m_refilled_at = now;
    m_available_bytes = std::min(burst(), m_available_bytes + since * m_options.bytes_per_second);
    double reserve = 0;
    if (priority == line_priority::routine) {
        reserve = m_options.routine_reserve * burst();
    }
    else if (priority == line_priority::failure) {
        reserve = m_options.failure_reserve * burst();
    }
    const auto needed = static_cast<double>(bytes);
    if (m_available_bytes - needed < reserve) {
        ++m_dropped_lines.at(static_cast<std::size_t>(priority));
        m_any_dropped = true;
        return false;
    }
    m_available_bytes -= needed;
    return true;
}

std::optional<dropped_line_counts> log_rate_limiter::take_dropped_counts(core::time_point now)
{
    if (!m_any_dropped || now - m_reported_at < report_interval) {
        return std::nullopt;
    }
    m_reported_at = now;
    m_any_dropped = false;
    return std::exchange(m_dropped_lines, dropped_line_counts{});
}

} // namespace siskindrift::observe
