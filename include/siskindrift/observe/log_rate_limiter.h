// Limits how many bytes per second a process logs.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "siskindrift/core/clock.h"

namespace siskindrift::observe {

/// Priority of a log line, lowest first: lines of lower priority are dropped first.
enum class line_priority : std::uint8_t {
    routine,      ///< A routine success.
    failure,      ///< A failure of one request.
    state_change, ///< A change of the process's own state or of its view of other processes.
};

/// Number of values of `line_priority`.
inline constexpr std::size_t line_priority_count = 3;

/// Rates and reserves of the token bucket.
struct log_rate_limiter_options {
    /// About a hundred lines, ten times what a gateway without faults logs.
    double bytes_per_second = 16'384;
    /// Size of the bucket, in seconds of `bytes_per_second`. The failure of one peer makes many
    /// requests fail at once.
    double burst_seconds = 2;
    /// Fraction of the bucket that routine lines leave to those of higher priority.
    double routine_reserve = 0.5;
    /// Fraction of the bucket that failure lines leave to state changes.
    double failure_reserve = 0.15;
};

/// Numbers of dropped lines, indexed by `line_priority`.
using dropped_line_counts = std::array<std::uint64_t, line_priority_count>;

/// Token bucket that decides which log lines are written, so that a burst of lines does not take
/// CPU time from the requests that they report. Does no I/O and reads no clock. Not thread-safe.
class log_rate_limiter {
public:
    explicit log_rate_limiter(log_rate_limiter_options options = {});

    /// Returns whether a line of @p bytes may be written at @p now; counts it as dropped if not.
    [[nodiscard]] bool admit(line_priority priority, std::size_t bytes, core::time_point now);
    /// Returns and resets the numbers of dropped lines; none when no line was dropped or the last
    /// report is less than a second old.
    [[nodiscard]] std::optional<dropped_line_counts> take_dropped_counts(core::time_point now);

private:
    [[nodiscard]] double burst() const;

    log_rate_limiter_options m_options;
    double m_available_bytes;
    core::time_point m_refilled_at{};
    core::time_point m_reported_at{};
    dropped_line_counts m_dropped_lines{};
    bool m_any_dropped = false;
};

} // namespace siskindrift::observe
