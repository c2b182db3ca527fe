// Bounds what is sent to an upstream that takes requests and loses them.
#pragma once

#include <cstdint>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// Parameters of a loss guard.
struct loss_guard_options {
    /// Losses in a row after which the only upstream gets single requests as trials. Where another
    /// upstream works, one is enough.
    unsigned losses_before_trials = 2;
    /// Pause before the first trial. Doubles with each trial that is lost, up to `max_pause`.
    core::duration first_pause = core::milliseconds{250};
    /// Longest pause, and with it the time after which an upstream that is sound again gets a
    /// request, as long as there are any.
    core::duration max_pause = core::milliseconds{2000};
    /// Requests for which another upstream was chosen, after which one becomes a trial.
    unsigned requests_before_trial = 20;
    /// Time after which a request becomes a trial although fewer were sent elsewhere.
    core::duration max_pause_beside_others = core::milliseconds{8000};
    /// Factor of `requests_before_trial` for a request that must not be executed twice.
    unsigned unrepeatable_factor = 2;
};

/// Tracks the requests that one upstream lost: their connections ended without a byte of a
/// response. Such an upstream has no requests in progress and looks idle. Performs no I/O.
class loss_guard {
public:
    explicit loss_guard(loss_guard_options options = {}) : m_options(options) {}

    /// Records that a request was sent to the upstream.
    void record_sent(core::time_point now)
    {
        m_last_sent = now;
        m_passed_over = 0;
    }
    /// Records that the upstream lost a request. Those that were under way at the last loss count
    /// as one with it.
    /// @param sent when the request was sent.
    /// @return whether the loss counts.
    bool record_loss(core::time_point sent, core::time_point now);
    /// Records that the upstream responded.
    /// @param sent when the request was sent; a response to an earlier one than the last that was
    /// lost shows nothing.
    /// @return whether the upstream lost requests until then.
    bool record_response(core::time_point sent);

    /// Returns whether the upstream lost the latest requests.
    [[nodiscard]] bool suspected() const { return m_losses > 0; }
    /// Returns whether the upstream gets only trials although it is the only one.
    [[nodiscard]] bool needs_trials() const { return m_losses >= m_options.losses_before_trials; }
    /// Records that another upstream gets a request because this one lost the latest ones.
    void record_passed_over() { ++m_passed_over; }
    /// Returns whether a request may be sent as a trial now, if no other upstream works.
    [[nodiscard]] bool is_trial_due(core::time_point now) const;
    /// Returns whether a request may be sent as a trial now although another upstream works.
    /// @param repeatable whether the request may be executed more than once.
    [[nodiscard]] bool is_trial_due_beside_others(bool repeatable, core::time_point now) const;
    /// Returns the time until the next trial, or zero.
    [[nodiscard]] core::duration time_to_trial(core::time_point now) const;

    /// Returns the losses in a row.
    [[nodiscard]] unsigned losses() const { return m_losses; }
    /// Returns the pause before the next trial.
    [[nodiscard]] core::duration pause() const { return m_pause; }

private:
    loss_guard_options m_options;
    unsigned m_losses = 0;
    unsigned m_passed_over = 0; ///< Since the last request sent.
    core::duration m_pause{};
    core::time_point m_last_loss{};
    core::time_point m_last_sent{};
};

} // namespace siskindrift::gateway
