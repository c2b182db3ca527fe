// Stand-in for the rate-limited weight store.
#pragma once

#include <cstdint>

#include "siskindrift/core/clock.h"

namespace siskindrift::standins {

/// Rates of the store.
struct store_rates {
    double loads_per_second = 2.0;
    core::duration load = core::milliseconds{250};
    std::uint32_t full_speed_loads = 8;
};

/// Tells when each load ends. Loads beyond the rate queue; beyond eight at once all slow down.
class weight_store {
public:
    explicit weight_store(store_rates rates) : m_rates(rates) {}

    /// Begins a load now. Returns when it ends.
    core::time_point begin_load(core::time_point now);
    /// Ends a load.
    void end_load() { --m_in_flight; }
    [[nodiscard]] std::uint32_t in_flight() const { return m_in_flight; }

private:
    store_rates m_rates;
    core::time_point m_next_start{};
    std::uint32_t m_in_flight = 0;
};

} // namespace siskindrift::standins
