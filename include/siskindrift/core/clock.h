// Time types, and the clock interface that tests replace.
#pragma once

#include <chrono>
#include <cstdint>

namespace siskindrift::core {

using duration = std::chrono::steady_clock::duration;
using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// Source of monotonic time, and of wall time for timestamps such as those in idempotency keys.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// Returns the monotonic time. It never decreases within one process.
    [[nodiscard]] virtual time_point now() const = 0;

    /// Returns the wall time in milliseconds since the Unix epoch. It may jump.
    [[nodiscard]] virtual std::uint64_t wall_ms() const = 0;
};

/// The system's clock. Its monotonic time includes time that the machine was suspended.
class boottime_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] std::uint64_t wall_ms() const override;
};

/// A clock for tests that only `advance` moves.
class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return m_now; }
    [[nodiscard]] std::uint64_t wall_ms() const override { return m_wall_ms; }

    /// Advances the monotonic and the wall time by @p step.
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

/// Returns @p value in whole milliseconds, rounded towards zero.
[[nodiscard]] inline std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace siskindrift::core
