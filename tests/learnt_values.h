// Helpers of the property tests of learnt and shared values.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"

#include <CppUTest/TestHarness.h>

namespace siskindrift::tests {

inline constexpr std::uint64_t seeds = 50;

/// Runs @p property for each seed, and prints the seed for which it fails.
inline void for_each_seed(const std::function<void(core::random_source&)>& property)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        core::random_source random{seed};
        try {
            property(random);
        }
        catch (...) {
            UT_PRINT(StringFromFormat("seed %d", static_cast<int>(seed)));
            throw;
        }
    }
}

/// Returns a random time from 0 to @p most, in ms.
inline core::milliseconds random_ms(core::random_source& random, std::int64_t most)
{
    return core::milliseconds{static_cast<std::int64_t>(
        core::uniform_below(random, static_cast<std::uint64_t>(most) + 1))};
}

/// Advances @p clock until @p restored, and returns the time that it took, at most @p most.
inline core::milliseconds time_until(core::manual_clock& clock, core::milliseconds most,
                                     const std::function<bool()>& restored,
                                     core::milliseconds step = core::milliseconds{5})
{
    const auto begin = clock.now();
    while (!restored() && clock.now() - begin <= most) {
        clock.advance(step);
    }
    return std::chrono::duration_cast<core::milliseconds>(clock.now() - begin);
}

} // namespace siskindrift::tests
