// Detects messages that are outdated when they are handled: after a pause of this process or on a
// slow link, a message may have been in a socket buffer for longer than its arrival suggests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "siskindrift/core/clock.h"

namespace siskindrift::membership {

/// Parameters of pause detection and age estimation.
struct age_options {
    /// Gap between two recorded activities above which the process counts as paused; ticks come
    /// every 10 ms.
    core::duration pause = core::milliseconds{250};
    /// Time after a pause within which the backlog in the sockets is read.
    core::duration backlog_time = core::milliseconds{300};
    /// Period over which the delay of a peer's fastest message is determined. Ages are measured
    /// from that delay. Clock drift within the period is far below a tick.
    core::duration window = std::chrono::seconds{30};
};

/// Detects pauses of this process.
class pause_detector {
public:
    explicit pause_detector(age_options options = {}) : m_options(options) {}

    /// Records that the process is running; to be called for every event and tick.
    void record_activity(core::time_point now);
    /// Returns whether a message handled at @p now may have been delayed by a pause.
    [[nodiscard]] bool recently_paused(core::time_point now) const { return now < m_backlog_until; }

private:
    age_options m_options;
    core::time_point m_last_activity{};
    core::time_point m_backlog_until{};
};

/// Estimates the age of a peer's messages from their send timestamps: the delay in excess of the
/// fastest message of the current and the previous window, together up to a minute. Requires no
/// clock synchronization.
class message_age_estimator {
public:
    explicit message_age_estimator(age_options options = {}) : m_options(options) {}

    /// Returns the estimated age of a message.
    /// @param incarnation incarnation of @p peer; a new one resets the baseline.
    /// @param sent_ms send time on the monotonic clock of @p peer, in ms.
    /// @param now time of arrival.
    core::duration estimate(const std::string& peer, std::uint64_t incarnation,
                            std::uint64_t sent_ms, core::time_point now);

private:
    /// Minimum of arrival time minus send time per window, in ms.
    struct baseline {
        std::uint64_t incarnation = 0;
        std::int64_t current = 0;
        std::int64_t previous = 0;
        core::time_point rotated{}; ///< Start of the current window.
    };

    age_options m_options;
    std::map<std::string, baseline> m_baselines; ///< By peer.
};

} // namespace siskindrift::membership
