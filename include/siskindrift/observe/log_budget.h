// Bounds how many bytes a second a process logs.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "siskindrift/core/clock.h"

namespace siskindrift::observe {

/// What is left out first when not every line can be written.
enum class line_weight : std::uint8_t {
    routine, ///< An ordinary success.
    failure, ///< What went wrong with one request.
    belief,  ///< A change of what the process holds for true.
};

inline constexpr std::size_t line_weights = 3;

struct log_budget_options {
    double bytes_per_second = 16'384; // a hundred lines, ten times a calm gateway's
    double burst_seconds = 2;         // a failed neighbour shows in many requests at once
    double routine_reserve = 0.5;     // of a burst, kept for failures
    double failure_reserve = 0.15;    // of a burst, kept for changes of belief
};

/// Lines that were not written, by weight.
using left_out_lines = std::array<std::uint64_t, line_weights>;

/// Decides which lines of a log are written. Pure; answers a burst of lines that would take the
/// processor from the requests that they tell of.
class log_budget {
public:
    explicit log_budget(log_budget_options options = {});

    /// Returns whether a line of @p bytes may be written at @p now.
    [[nodiscard]] bool admit(line_weight weight, std::size_t bytes, core::time_point now);
    /// Returns what was left out since the last call, at most once a second.
    [[nodiscard]] std::optional<left_out_lines> take_left_out(core::time_point now);

private:
    [[nodiscard]] double burst() const;

    log_budget_options m_options;
    double m_bytes;
    core::time_point m_filled{};
    core::time_point m_told{};
    left_out_lines m_left_out{};
    bool m_any_left_out = false;
};

} // namespace siskindrift::observe
