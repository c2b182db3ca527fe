// Random numbers: seeded ones that can be replayed, and unpredictable ones.
#pragma once

#include <cstdint>
#include <random>

namespace siskindrift::core {

/// The generator of all seeded random choices.
using random_source = std::mt19937_64;

/// Returns a uniformly distributed number in [0, @p bound). @p bound must be positive.
[[nodiscard]] inline std::uint64_t uniform_below(random_source& random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(random);
}

/// Returns an unpredictable odd number, therefore never 0, for process identities and seeds.
[[nodiscard]] inline std::uint64_t random_nonzero()
{
    std::random_device device;
    constexpr int half_bits = 32;
    return (static_cast<std::uint64_t>(device()) << half_bits | device()) | 1U;
}

} // namespace siskindrift::core
