#include "siskindrift/core/clock.h"

#include <ctime>

namespace siskindrift::core {

time_point boottime_clock::now() const
{
    // CLOCK_BOOTTIME includes time in suspend, which CLOCK_MONOTONIC leaves out. Leases expire on
    // other machines meanwhile, so they must expire here too.
    std::timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::duration_cast<duration>(std::chrono::seconds{now.tv_sec} +
                                                           std::chrono::nanoseconds{now.tv_nsec})};
}

std::uint64_t boottime_clock::wall_ms() const
{
    std::timespec now{};
    std::timespec_get(&now, TIME_UTC);
    constexpr std::uint64_t ms_per_s = 1000;
    constexpr std::uint64_t ns_per_ms = 1'000'000;
    return static_cast<std::uint64_t>(now.tv_sec) * ms_per_s +
           static_cast<std::uint64_t>(now.tv_nsec) / ns_per_ms;
}

} // namespace siskindrift::core
