// Small helpers that the measurements share.
#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <string>

namespace siskindrift::bench {

/// Prints one measurement at one size.
inline void print(const std::string& name, double size, double value, const std::string& unit)
{
    std::cout << boost::json::serialize(boost::json::value{
                     {"name", name}, {"size", size}, {"value", value}, {"unit", unit}})
              << std::endl;
}

/// Prints one figure against its baseline.
inline void print_ratio(const std::string& name, double baseline, double measured)
{
    std::cout << boost::json::serialize(boost::json::value{{"name", name},
                                                           {"baseline", baseline},
                                                           {"measured", measured},
                                                           {"ratio", measured / baseline}})
              << std::endl;
}

/// Returns the processor time in microseconds that each of @p times calls takes.
template <class Work>
double cpu_us(std::uint64_t times, Work work)
{
    const auto begin = std::clock();
    for (std::uint64_t i = 0; i < times; ++i) {
        work(i);
    }
    constexpr double us_per_s = 1e6;
    return static_cast<double>(std::clock() - begin) * us_per_s / CLOCKS_PER_SEC /
           static_cast<double>(times);
}

/// Returns the bytes that the process has allocated.
inline double allocated_bytes()
{
    const auto info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace siskindrift::bench
