// Estimates how long answers to orders take.
#pragma once

#include "siskindrift/core/clock.h"

namespace siskindrift::adapters {

/// Parameters of an estimate of answer times.
struct answer_time_options {
    /// Wait before anything is known.
    core::duration initial_wait = core::milliseconds{150};
    /// Bounds of the wait.
    core::duration min_wait = core::milliseconds{40};
    core::duration max_wait = core::milliseconds{500};
    /// Weight of the latest answer in the mean, and in the mean deviation.
    double mean_weight = 0.125;
    double deviation_weight = 0.25;
    /// Multiple of the mean deviation by which an answer may exceed the mean.
    double max_deviations = 4;
};

/// Learns from the answers to orders how long to wait for one, like a retransmission timer. Answers
/// are slow if this process is. Performs no I/O.
class answer_time_estimate {
public:
    explicit answer_time_estimate(answer_time_options options = {}) : m_options(options) {}

    /// Records an answer, also one that came later than `wait`. At most `max_wait` counts.
    /// @param elapsed time from the order to its answer.
    void on_answer(core::duration elapsed);
    /// Returns the time after which an answer is overdue.
    [[nodiscard]] core::duration wait() const;

private:
    answer_time_options m_options;
    bool m_known = false;
    std::chrono::duration<double> m_mean{};
    std::chrono::duration<double> m_deviation{};
};

} // namespace siskindrift::adapters
