// How old news is when it is handled: after a pause of this process or on a slow path, what
// waits in a socket may be older than it looks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "siskindrift/core/clock.h"

namespace siskindrift::membership {

/// Durations that tell a pause from work.
struct age_options {
    core::duration pause = core::milliseconds{250};    // ticks come every ten milliseconds
    core::duration distrust = core::milliseconds{300}; // by then the sockets' backlog is read
    core::duration window = std::chrono::seconds{30};  // drift within it is far below a tick
};

/// Notices pauses of this process.
class pause_detector {
public:
    explicit pause_detector(age_options options = {}) : m_options(options) {}

    /// Notes that the process runs; expected with every event and tick.
    void record_activity(core::time_point now);
    /// Returns whether news of now may have waited through a pause.
    [[nodiscard]] bool recently_paused(core::time_point now) const
    {
        return now < m_distrust_until;
    }

private:
    age_options m_options;
    core::time_point m_last{};
    core::time_point m_distrust_until{};
};

/// Estimates the age of a peer's messages from the sender's own clock: the excess over the
/// fastest message of the last minute. No two clocks need to agree.
class message_age_estimator {
public:
    explicit message_age_estimator(age_options options = {}) : m_options(options) {}

    /// Returns the age of a message that @p peer stamped with its monotonic milliseconds.
    core::duration estimate(const std::string& peer, std::uint64_t incarnation,
                            std::uint64_t sent_ms, core::time_point now);

private:
    struct baseline {
        std::uint64_t incarnation = 0;
        std::int64_t current = 0;
        std::int64_t previous = 0;
        core::time_point rotated{};
    };

    age_options m_options;
    std::map<std::string, baseline> m_baselines;
};

} // namespace siskindrift::membership
