// Admission limits of teams, and the retry budget of a VM.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "siskindrift/config/catalog.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/core/verdict.h"

namespace siskindrift::requests {

/// Rate and concurrency limits of teams. Each live VM applies its share of the limits that are
/// configured for the whole deployment.
class team_limits {
public:
    /// Admits a request and counts it, or returns the limit that it exceeds.
    /// @param live_vms number of registered entry VMs.
    std::optional<core::reason> admit(const core::team_id& team, const config::team_config& config,
                                      std::size_t live_vms, core::time_point now);
    /// Ends an admitted request of @p team.
    void release(const core::team_id& team);
    /// Returns the number of admitted requests of @p team that have not ended.
    [[nodiscard]] std::uint32_t in_progress(const core::team_id& team) const;

private:
    /// Token bucket and open requests of one team.
    struct usage {
        double tokens = 0.0;
        core::time_point refilled_at{};
        std::uint32_t in_progress = 0;
        bool initialized = false;
    };
    std::map<core::team_id, usage> m_usage;
};

/// Limits retries to a ratio of the new requests, with a burst.
class retry_budget {
public:
    retry_budget(double ratio, double burst) : m_ratio(ratio), m_burst(burst), m_tokens(burst) {}

    /// Credits the budget for a new request.
    void on_first_attempt()
    {
        m_tokens = m_tokens + m_ratio > m_burst ? m_burst : m_tokens + m_ratio;
    }
    /// Takes one retry. Returns false when the budget is spent.
    bool try_take();

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace siskindrift::requests
