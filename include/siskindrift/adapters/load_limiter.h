// Limits the concurrent loads of adapters from the weight store.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "siskindrift/core/clock.h"

namespace siskindrift::adapters {

/// Parameters of a load limiter.
struct load_limiter_options {
    /// Limit before anything is known about the store.
    double initial_limit = 8;
    /// Lower bound of the limit.
    double min_limit = 4;
    /// Upper bound of the limit.
    double max_limit = 1024;
    /// Relative duration of loads up to which the store isn't overloaded: the completion of a load
    /// is noticed up to one poll interval late.
    double max_stretch = 1.15;
    /// Relative duration of loads up to which the limit is increased.
    double timely_stretch = 1.06;
    /// Least fraction of the limit that must be in progress for the limit to be increased.
    double min_use = 0.5;
    /// Relative increase of the limit until the store is first overloaded.
    double initial_increase = 1.0;
    /// Relative increase after that. The limit increases at least by one.
    double increase = 0.1;
    /// Largest relative decrease at once.
    double max_decrease = 0.3;
    /// Quantile of the load durations by which the limit is changed. Low, because
    /// other causes only lengthen loads.
    double quantile = 0.25;
    /// Largest factor by which the duration of unslowed loads increases at once.
    double unslowed_growth = 1.05;
    /// Least number of loads by which the limit is changed.
    std::size_t min_sample = 4;
};

/// What is known of a weight store.
struct store_capacity {
    std::size_t loads = 0;      ///< Loads at once that hardly slow each other down.
    core::duration load_time{}; ///< Of loads that don't.
    bool saturated = false;     ///< More loads have slowed each other down.
};

/// Learns how many adapters the weight store loads at once without slowing down.
///
/// The store is shared by all engines. Up to its capacity each load takes the same time; beyond it,
/// all loads slow down in proportion, so that more concurrent loads only delay those that matter
/// most. The limit grows while loads stay as fast as the fastest ones and falls to the number that
/// the store has coped with when they slow down. It is changed by a quantile of as many loads as
/// may be in progress at once, because some loads are late for other reasons, such as an engine
/// that fails. Performs no I/O.
class load_limiter {
public:
    explicit load_limiter(load_limiter_options options = {})
        : m_options(options), m_limit(options.initial_limit)
    {
    }

    /// Returns the number of loads that may be in progress at once.
    [[nodiscard]] std::size_t limit() const { return static_cast<std::size_t>(m_limit); }

    /// Begins at what was learnt elsewhere, unless something has been learnt here.
    void begin_at(const store_capacity& learnt);
    /// Returns what has been learnt, or none if there were too few loads.
    [[nodiscard]] std::optional<store_capacity> learnt() const;
    /// Records the number of loads in progress from @p now on.
    void set_in_progress(std::size_t loads, core::time_point now);
    /// Returns the number of loads in progress, summed over time, in seconds. A load notes it when
    /// it begins.
    [[nodiscard]] double load_seconds() const { return m_load_seconds; }
    /// Updates the limit by a completed load from the store.
    /// @param began when the load began.
    /// @param load_seconds as returned by `load_seconds` at that time.
    void on_load(core::time_point began, double load_seconds, core::time_point now);

private:
    struct sample {
        double duration_s;
        double loads; ///< Mean number of loads in progress during this one, including itself.
    };
    void update(const sample& typical);

    load_limiter_options m_options;
    double m_limit;
    /// Since loads were last this fast. Until then, the limit doubles with each load time.
    bool m_overload_seen = false;
    double m_unslowed_s = 0; ///< Duration of the fastest loads; 0: unknown.
    std::vector<sample> m_samples;
    core::time_point m_changed_at{}; ///< Last change of the limit.
    std::size_t m_in_progress = 0;
    double m_load_seconds = 0; ///< Sum of `m_in_progress` over time.
    core::time_point m_summed_until{};
};

} // namespace siskindrift::adapters
