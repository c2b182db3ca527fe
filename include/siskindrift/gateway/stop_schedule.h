// Decides what a gateway that is stopping still does, and until when.
#pragma once

#include <algorithm>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// Parameters of a stop. A short grace shortens them.
struct stop_schedule_options {
    /// How long new requests are taken; later ones might not end in time.
    core::duration accept_time = core::milliseconds{2800};
    /// How long the gateway stays though it is idle: callers still use an older gateway list.
    core::duration min_serve_time = core::milliseconds{2500};
    /// Between the end of the process and the end of the grace, when the platform kills it.
    core::duration exit_margin = core::milliseconds{500};
    /// For the last answers to be written before the process ends.
    core::duration answer_margin = core::milliseconds{250};
};

/// The times of one planned stop, from the signal to stop to the end of the process. Performs no
/// I/O.
class stop_schedule {
public:
    /// @param begun_at when the signal to stop came.
    /// @param grace time from the signal until the platform kills the process.
    /// @param options parameters.
    stop_schedule(core::time_point begun_at, core::duration grace,
                  stop_schedule_options options = {});

    /// Returns the schedule of this stop with another grace, counted from its begin too; the time
    /// for which upstreams were told to work isn't made longer.
    /// @param grace time from the signal until the platform kills the process.
    [[nodiscard]] stop_schedule shortened_to(core::duration grace) const
    {
        return stop_schedule{m_begun_at, std::min(grace, m_grace), m_options};
    }
    /// Returns whether a request that was read at @p now is taken.
    [[nodiscard]] bool accepts_requests(core::time_point now) const
    {
        return now < m_accepts_until;
    }
    /// Returns whether a request may be sent to an upstream for the first time: one that may not be
    /// repeated only if it can use all of its time, because a caller that is told nothing ran
    /// loses less than one whose request is ended midway.
    /// @param now the time.
    /// @param budget_end when its own time and that of its route end.
    /// @param repeatable whether the caller may repeat it after it was ended midway.
    [[nodiscard]] bool may_send(core::time_point now, core::time_point budget_end,
                                bool repeatable) const
    {
        return budget_end <= m_answers_end || (repeatable && accepts_requests(now));
    }
    /// Returns when each request that is still open is ended.
    [[nodiscard]] core::time_point answers_end() const { return m_answers_end; }
    /// Returns when the process ends even if answers are not yet written.
    [[nodiscard]] core::time_point exit_at() const { return m_exit_at; }
    /// Returns whether the process may end at @p now if no request is open.
    [[nodiscard]] bool may_end_idle(core::time_point now) const { return now >= m_serves_until; }

private:
    core::time_point m_begun_at;
    core::duration m_grace;
    stop_schedule_options m_options;
    core::time_point m_accepts_until;
    core::time_point m_serves_until;
    core::time_point m_answers_end;
    core::time_point m_exit_at;
};

} // namespace siskindrift::gateway
