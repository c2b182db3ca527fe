// Notices that this process stood still.
#pragma once

#include "siskindrift/core/clock.h"

namespace siskindrift::core {

/// Parameters of a pause monitor.
struct pause_monitor_options {
    /// Longest time between two observations of a process that runs.
    duration max_interval = milliseconds{600};
    /// Time after a pause until the process has heard what it missed.
    duration settling_time = milliseconds{1500};
};

/// Tells whether this process has run without a pause lately: frozen, stopped, or without processor
/// time. Its connections outlast a pause, so only the clock shows it. Performs no I/O.
class pause_monitor {
public:
    explicit pause_monitor(pause_monitor_options options = {}) : m_options(options) {}

    /// Records that the process runs. Called at least every `max_interval`, and before anything is
    /// done that depends on `settled`.
    /// @return whether it stood still since the last call.
    bool observe(time_point now)
    {
        const bool paused = m_observed && now - m_last > m_options.max_interval;
        if (paused) {
            m_settled_at = now + m_options.settling_time;
        }
        m_observed = true;
        m_last = now;
        return paused;
    }

    /// Returns whether there was no pause, or what was missed in it has been heard.
    [[nodiscard]] bool settled(time_point now) const { return now >= m_settled_at; }

private:
    pause_monitor_options m_options;
    bool m_observed = false;
    time_point m_last{};
    time_point m_settled_at{};
};

} // namespace siskindrift::core
