// Random numbers that replay from a seed.
#pragma once

#include <cstdint>
#include <random>

namespace siskindrift::core {

/// The generator that decision code is given.
using random_source = std::mt19937_64;

/// Returns a uniform number in [0, @p bound); @p bound must be positive.
[[nodiscard]] inline std::uint64_t uniform_below(random_source& random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(random);
}

/// Returns an unpredictable odd number, for identities and seeds of processes.
[[nodiscard]] inline std::uint64_t random_nonzero()
{
    std::random_device device;
    constexpr int half_bits = 32;
    return (static_cast<std::uint64_t>(device()) << half_bits | device()) | 1U;
}

} // namespace siskindrift::core
