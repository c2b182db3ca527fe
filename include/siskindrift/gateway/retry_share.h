// A gateway's share of the retries that all gateways may send in addition to the ratio.
#pragma once

#include <cstdint>
#include <optional>

#include "siskindrift/core/clock.h"
#include "siskindrift/fleet/retry_timing.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// Keeps what the leader last said about the share of this gateway. Performs no I/O.
class retry_share {
public:
    /// @param started start of this process, whose predecessor may have sent retries until then.
    /// @param window sliding window of the retry budget.
    retry_share(core::time_point started, core::duration window)
        : m_window(window), m_started(started),
          m_usable_from(started + fleet::retry_quarantine(window))
    {
    }

    /// Records that an upstream is silent, or that nobody knows whether one is. It may still
    /// receive what the predecessor of this process sent to it, if there was one.
    void record_silent_upstream(core::time_point now);

    /// Applies an answer or an announcement of the leader.
    /// @return whether it changed the share, so that the leader waits for a new query.
    bool apply(const wire::retry_share_t& share, core::time_point now);

    /// Returns the fraction of the extra retries that this gateway may send, from 0 to 1.
    [[nodiscard]] double fraction(core::time_point now) const;
    /// Returns the latest state of the shares that this gateway applies, 0 before the first.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    /// Returns the number of gateways that hold a share, as far as known here.
    [[nodiscard]] std::uint32_t holders() const { return m_holders; }

private:
    core::duration m_window;
    core::time_point m_started;
    core::time_point m_usable_from;
    core::time_point m_valid_until{};
    std::uint64_t m_generation = 0;
    std::uint32_t m_holders = 0;
    bool m_usable = false;
    std::optional<core::time_point> m_upstream_silent_at;
    /// Whether a former process of this gateway had a share; unknown before the first answer.
    std::optional<bool> m_has_predecessor;
};

} // namespace siskindrift::gateway
