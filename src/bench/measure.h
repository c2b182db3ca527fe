// Output and measuring functions shared by the benchmarks.
#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <string>

namespace siskindrift::bench {

/// Prints one measurement as a JSON line.
/// @param size size of the measured input, such as a number of entries or bytes.
/// @param unit unit of @p value.
inline void print_measurement(const std::string& name, double size, double value,
                              const std::string& unit)
{
    std::cout << boost::json::serialize(boost::json::value{
                     {"name", name}, {"size", size}, {"value", value}, {"unit", unit}})
              << std::endl;
}

/// Prints a value, its baseline and their ratio as a JSON line.
inline void print_ratio(const std::string& name, double baseline, double measured)
{
    std::cout << boost::json::serialize(boost::json::value{{"name", name},
                                                           {"baseline", baseline},
                                                           {"measured", measured},
                                                           {"ratio", measured / baseline}})
              << std::endl;
}

/// Returns the mean processor time in microseconds of one call.
/// @param times number of calls.
/// @param work called with the number of the call, from 0.
template <class Work>
double cpu_time_us(std::uint64_t times, Work work)
{
    const auto begin = std::clock();
    for (std::uint64_t i = 0; i < times; ++i) {
        work(i);
    }
    constexpr double us_per_s = 1e6;
    return static_cast<double>(std::clock() - begin) * us_per_s / CLOCKS_PER_SEC /
           static_cast<double>(times);
}

/// Returns the bytes that the process has allocated on the heap, including mapped blocks.
inline double allocated_bytes()
{
    const auto info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace siskindrift::bench
