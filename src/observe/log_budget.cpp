#include "siskindrift/observe/log_budget.h"

#include <algorithm>
#include <utility>

namespace siskindrift::observe {
namespace {

constexpr core::milliseconds tell_every{1000}; // one line a second tells of any number

} // namespace

log_budget::log_budget(log_budget_options options) : m_options(options), m_bytes(burst()) {}

double log_budget::burst() const
{
    return m_options.bytes_per_second * m_options.burst_seconds;
}

bool log_budget::admit(line_weight weight, std::size_t bytes, core::time_point now)
{
    const auto since = std::chrono::duration<double>(now - m_filled).count();
    m_filled = now;
    m_bytes = std::min(burst(), m_bytes + since * m_options.bytes_per_second);
    double reserve = 0;
    if (weight == line_weight::routine) {
        reserve = m_options.routine_reserve * burst();
    }
    else if (weight == line_weight::failure) {
        reserve = m_options.failure_reserve * burst();
    }
    const auto needed = static_cast<double>(bytes);
    if (m_bytes - needed < reserve) {
        ++m_left_out.at(static_cast<std::size_t>(weight));
        m_any_left_out = true;
        return false;
    }
    m_bytes -= needed;
    return true;
}

std::optional<left_out_lines> log_budget::take_left_out(core::time_point now)
{
    if (!m_any_left_out || now - m_told < tell_every) {
        return std::nullopt;
    }
    m_told = now;
    m_any_left_out = false;
    return std::exchange(m_left_out, left_out_lines{});
}

} // namespace siskindrift::observe
