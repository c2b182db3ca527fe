#include "siskindrift/core/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <ctime>

namespace siskindrift::core {

time_point runtime_clock::now() const
{
    return boost::asio::steady_timer::clock_type::now();
}

std::uint64_t runtime_clock::wall_ms() const
{
    std::timespec now{};
    std::timespec_get(&now, TIME_UTC);
    constexpr std::uint64_t ms_per_s = 1000;
    constexpr std::uint64_t ns_per_ms = 1'000'000;
    return static_cast<std::uint64_t>(now.tv_sec) * ms_per_s +
           static_cast<std::uint64_t>(now.tv_nsec) / ns_per_ms;
}

} // namespace siskindrift::core
