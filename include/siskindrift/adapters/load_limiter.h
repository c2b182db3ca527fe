// Limits the concurrent loads of adapters from the weight store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
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
    /// Least time that a load from the store takes. A load that seems shorter shows nothing about
    /// the store.
    core::duration min_load_time = core::milliseconds{250};
    /// Relative duration of loads up to which the store isn't overloaded.
    double max_stretch = 1.2;
    /// Relative duration of loads up to which the limit is increased.
    double timely_stretch = 1.1;
    /// Least fraction of the limit that must be in progress for the limit to be increased.
    double min_use = 0.5;
    /// Relative increase of the limit until the store is first overloaded.
    double initial_increase = 1.0;
    /// Relative increase after that. Doubles with each further one in a row, up to
    /// `initial_increase`. The limit increases at least by one.
    double increase = 0.1;
    /// Largest relative decrease at once.
    double max_decrease = 0.5;
    /// Slow samples in a row after which the store may have lost capacity. Until then the limit
    /// stays near the most loads that it has lately borne without slowing down.
    unsigned max_slow_samples = 2;
    /// Fraction of those loads below which the limit doesn't fall meanwhile.
    double min_borne_ratio = 0.9;
    /// Time after which it isn't known any more how many loads the store bears.
    core::duration borne_lifetime = core::milliseconds{10'000};
    /// Relative decrease of the concurrent loads from which on their duration must have decreased.
    double min_tested_decrease = 0.2;
    /// Least fraction of the decrease of the loads by which their duration must have decreased.
    double min_relief = 0.5;
    /// Tested decreases in a row without relief after which the store isn't overloaded.
    unsigned max_unrelieved = 2;
    /// Multiple of the duration of unslowed loads after which that measurement ends although too
    /// few loads have ended.
    double max_remeasuring_ratio = 8;
    /// How often the duration of unslowed loads is measured with fewer loads, while it is longer
    /// than `min_load_time` allows.
    core::duration remeasure_interval = core::milliseconds{5000};
    /// Quantile of the load durations by which the limit is changed. Low, because
    /// other causes only lengthen loads.
    double quantile = 0.25;
    /// Bounds of the number of loads by which the limit is changed.
    std::size_t min_sample = 4;
    std::size_t max_sample = 16;
};

/// Why a load limiter has changed its limit.
enum class limit_change_reason : std::uint8_t {
    told,        ///< By what was learnt elsewhere.
    timely,      ///< Loads are as fast as the fastest ones.
    overloaded,  ///< Loads have slowed each other down.
    unrelieved,  ///< Fewer loads weren't faster: the decreases before are taken back.
    remeasuring, ///< To measure the duration of loads that don't slow each other down.
    remeasured,  ///< That is measured.
};

/// Returns the name of @p reason as it appears in logs.
[[nodiscard]] std::string_view to_string(limit_change_reason reason);

/// A change of the limit, and what caused it.
struct limit_change {
    limit_change_reason reason{};
    std::size_t before = 0;
    std::size_t after = 0;
    core::duration load_time{};          ///< Of the loads that caused it.
    double loads = 0;                    ///< Mean number of loads in progress during those.
    core::duration unslowed_load_time{}; ///< As known after the change.
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
/// the store has coped with when they slow down. It is changed by a quantile of several loads,
/// because some loads are late for other reasons, such as an engine that fails.
///
/// A store that is too slow for its loads is a supposition, which each decrease tests: if fewer
/// loads aren't faster, something else delays them, and the limit is as it was before. So no
/// observation holds the limit down, whatever it was. Performs no I/O.
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
    /// Returns the changes of the limit since the last call, at most the `max_kept_changes` latest.
    std::vector<limit_change> take_changes() { return std::exchange(m_changes, {}); }
    /// Returns what has been learnt, or none if there were too few loads.
    [[nodiscard]] std::optional<store_capacity> learnt() const;
    /// Records the number of loads in progress from @p now on.
    void set_in_progress(std::size_t loads, core::time_point now);
    /// Returns the number of loads in progress, summed over time, in seconds. A load notes it when
    /// it begins.
    [[nodiscard]] double load_seconds() const { return m_load_seconds; }
    /// Drops what the loads before @p now have shown and would still show, but for the limit.
    void forget_loads(core::time_point now);
    /// Updates the limit by a completed load from the store.
    /// @param began when the load began.
    /// @param load_seconds as returned by `load_seconds` at that time.
    /// @param in_progress_until when the load was last known to be in progress, or @p began if that
    /// wasn't asked. It ended between this time and @p now.
    void on_load(core::time_point began, double load_seconds, core::time_point in_progress_until,
                 core::time_point now);

private:
    struct sample {
        double duration_s; ///< By the latest time at which the load surely was in progress.
        double noticed_s;  ///< Until its end was noticed.
        double loads;      ///< Mean number of loads in progress during this one, including itself.
    };
    /// A series of decreases, and the loads by which the last tested one is judged.
    struct descent {
        double limit_before; ///< Limit before the first decrease.
        sample reference;
        unsigned unrelieved = 0; ///< Tested decreases in a row that made loads no faster.
    };
    static constexpr std::size_t max_kept_changes = 16;

    void update(const sample& typical, core::time_point now);
    /// Returns the limit below which slow loads don't show an overload yet, in loads.
    [[nodiscard]] double least_borne(core::time_point now) const;
    void increase(const sample& typical);
    void decrease(const sample& typical, double stretch, core::time_point now);
    void record_change(limit_change_reason reason, std::size_t before, const sample& typical);
    /// Returns whether the decreases so far have shown that loads are slow for another reason.
    [[nodiscard]] bool is_refuted(const sample& typical);
    /// Begins to measure the duration of unslowed loads with half of the limit, if that is due.
    void remeasure_if_due(const sample& typical, core::time_point now);

    load_limiter_options m_options;
    double m_limit;
    /// Since loads were last this fast. Until then, the limit doubles with each load time.
    bool m_overload_seen = false;
    double m_unslowed_s = 0; ///< Until the end of the fastest loads is noticed; 0: unknown.
    unsigned m_increases_in_row = 0;
    unsigned m_slow_in_row = 0;
    double m_borne = 0; ///< Most loads that hardly slowed each other down.
    core::time_point m_borne_at{};
    std::optional<descent> m_descent;
    std::optional<double> m_limit_before_remeasuring;
    /// When unslowed loads were last measured with few loads; none: only told, or not few enough.
    std::optional<core::time_point> m_measured_at;
    std::vector<limit_change> m_changes;
    limit_change_reason m_reason{}; ///< Of the latest change.
    std::vector<sample> m_samples;
    core::time_point m_changed_at{}; ///< Last change of the limit.
    std::size_t m_in_progress = 0;
    double m_load_seconds = 0; ///< Sum of `m_in_progress` over time.
    core::time_point m_summed_until{};
};

} // namespace siskindrift::adapters
