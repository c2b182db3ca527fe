// The clock that every decision uses; tests pause and advance it.
#pragma once

#include <chrono>
#include <cstdint>

namespace siskindrift::core {

using duration = std::chrono::steady_clock::duration;
using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// Source of monotonic time, and of wall time where a key carries it.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// Returns monotonic time; never goes back within one process.
    [[nodiscard]] virtual time_point now() const = 0;

    /// Returns milliseconds since the Unix epoch; may jump.
    [[nodiscard]] virtual std::uint64_t wall_ms() const = 0;
};

/// The clock of the Asio runtime.
class boottime_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] std::uint64_t wall_ms() const override;
};

/// A clock that moves only when told to.
class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return m_now; }
    [[nodiscard]] std::uint64_t wall_ms() const override { return m_wall_ms; }

    /// Moves both times forward by @p step.
    void advance(duration step)
    {
        m_now += step;
        m_wall_ms +=
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(step).count());
    }

private:
    time_point m_now{std::chrono::seconds{1000}};
    std::uint64_t m_wall_ms = 1'700'000'000'000;
};

/// Returns @p value in whole milliseconds.
[[nodiscard]] inline std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace siskindrift::core
