#include "siskindrift/requests/team_limits.h"

#include <algorithm>

namespace siskindrift::requests {

std::optional<core::reason> team_limits::admit(const core::team_id& team,
                                               const config::team_config& config,
                                               std::size_t live_vms, core::time_point now)
{
    // Callers spread unevenly over the live VMs at times, so each VM allows 1.5 times its equal
    // share.
    const double share =
        std::min(1.0, 1.5 / static_cast<double>(std::max<std::size_t>(1, live_vms)));
    const double rate = config.requests_per_second * share;
    const double burst = std::max(1.0, rate);
    auto& used = m_usage[team];
    if (!used.initialized) {
        used.initialized = true;
        used.tokens = burst;
        used.refilled_at = now;
    }
    const std::chrono::duration<double> passed = now - used.refilled_at;
    used.tokens = std::min(burst, used.tokens + passed.count() * rate);
    used.refilled_at = now;
    if (used.tokens < 1.0) {
        return core::reason::team_rate_limit;
    }
    const auto limit = static_cast<std::uint32_t>(
        std::max(1.0, share * (config.max_concurrent + config.max_queued)));
    if (used.in_progress >= limit) {
        return core::reason::team_concurrency_limit;
    }
    used.tokens -= 1.0;
    ++used.in_progress;
    return std::nullopt;
}

void team_limits::release(const core::team_id& team)
{
    auto& used = m_usage[team];
    if (used.in_progress > 0) {
        --used.in_progress;
    }
}

std::uint32_t team_limits::in_progress(const core::team_id& team) const
{
    const auto found = m_usage.find(team);
    return found == m_usage.end() ? 0 : found->second.in_progress;
}

bool retry_budget::try_take()
{
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace siskindrift::requests
