// Estimates how often each adapter is used.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "siskindrift/adapters/adapter_history.h"
#include "siskindrift/core/clock.h"

namespace siskindrift::adapters {

/// Parameters of an estimate of use rates.
struct use_rate_options {
    /// Time after which a use counts for 1/e of a new one.
    core::duration decay_time = core::milliseconds{10'000};
    /// Time of observation from which on rates are known.
    core::duration learning_time = core::milliseconds{5000};
    /// Interval at which adapters that are hardly used any more are removed.
    core::duration cleanup_interval = core::milliseconds{10'000};
    /// Rate, in uses per second, below which an adapter is removed.
    double min_rate_per_s = 0.001;
};

/// Moving averages of the number of uses per second of each adapter. Performs no I/O.
class use_rate_estimate {
public:
    explicit use_rate_estimate(use_rate_options options = {}) : m_options(options) {}

    /// Starts the observation: rates are known `learning_time` later.
    void begin(core::time_point now);
    /// Records that @p uses of an adapter have begun.
    void record(adapter_key key, std::uint32_t uses, core::time_point now);
    /// Returns whether the rates are known.
    [[nodiscard]] bool known(core::time_point now) const;
    /// Returns the rate of an adapter, in uses per second.
    [[nodiscard]] double per_second(adapter_key key, core::time_point now) const;

private:
    struct average {
        double per_s = 0;
        core::time_point updated{};
    };
    [[nodiscard]] double decayed(const average& item, core::time_point now) const;

    use_rate_options m_options;
    core::time_point m_begun = core::time_point::max();
    core::time_point m_cleanup_due{};
    std::unordered_map<adapter_key, average> m_averages;
};

} // namespace siskindrift::adapters
