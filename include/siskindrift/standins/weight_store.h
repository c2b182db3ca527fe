// Stand-in for the rate-limited store of adapter weights.
#pragma once

#include <cstdint>

#include "siskindrift/core/clock.h"

namespace siskindrift::standins {

/// Rates and times of the store.
struct store_rates {
    double loads_per_second = 2.0;
    core::duration load_duration = core::milliseconds{250}; ///< At full speed.
    std::uint32_t full_speed_loads = 8; ///< Concurrent loads beyond which all slow down.
};

/// Computes when each load ends. Loads beyond `loads_per_second` are queued, and each load takes
/// longer, in proportion, while more than `full_speed_loads` are in flight.
class weight_store {
public:
    explicit weight_store(store_rates rates) : m_rates(rates) {}

    /// Begins a load.
    /// @param now current time.
    /// @return time at which the load ends.
    core::time_point begin_load(core::time_point now);
    /// Ends a load; to be called once for each `begin_load`.
    void end_load() { --m_in_flight; }
    /// Returns the number of loads begun and not ended.
    [[nodiscard]] std::uint32_t in_flight() const { return m_in_flight; }

private:
    store_rates m_rates;
    core::time_point m_next_start_at{};
    std::uint32_t m_in_flight = 0;
};

} // namespace siskindrift::standins
