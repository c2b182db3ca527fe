// What each team may have in progress at this VM, and how many retries all may make.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "siskindrift/config/catalog.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/core/verdict.h"

namespace siskindrift::requests {

/// Rate and concurrency of teams; a deployment's limits are shared evenly by its live VMs.
class team_limits {
public:
    /// Admits a request, or returns the limit that refuses it.
    std::optional<core::reason> admit(const core::team_id& team, const config::team_config& config,
                                      std::size_t live_vms, core::time_point now);
    /// Ends an admitted request.
    void release(const core::team_id& team);
    [[nodiscard]] std::uint32_t in_progress(const core::team_id& team) const;

private:
    struct usage {
        double tokens = 0.0;
        core::time_point refilled_at{};
        std::uint32_t in_progress = 0;
        bool initialized = false;
    };
    std::map<core::team_id, usage> m_usage;
};

/// Retries as a share of fresh requests.
class retry_budget {
public:
    retry_budget(double ratio, double burst) : m_ratio(ratio), m_burst(burst), m_tokens(burst) {}

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
