#include "siskindrift/adapters/load_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace siskindrift::adapters {

std::string_view to_string(limit_change_reason reason)
{
    switch (reason) {
    case limit_change_reason::told:
        return "told";
    case limit_change_reason::timely:
        return "timely";
    case limit_change_reason::overloaded:
        return "overloaded";
    case limit_change_reason::unrelieved:
        return "unrelieved";
    case limit_change_reason::remeasuring:
        return "remeasuring";
    case limit_change_reason::remeasured:
        return "remeasured";
    }
    return "unknown";
}

void load_limiter::begin_at(const store_capacity& learnt)
{
    if (m_unslowed_s == 0 && learnt.loads > 0 && learnt.load_time > core::duration::zero()) {
        const auto before = limit();
        m_limit =
            std::clamp(static_cast<double>(learnt.loads), m_options.min_limit, m_options.max_limit);
        m_unslowed_s =
            std::chrono::duration<double>(std::max(learnt.load_time, m_options.min_load_time))
                .count();
        m_overload_seen = learnt.saturated;
        record_change(limit_change_reason::told, before, {});
    }
}

std::optional<store_capacity> load_limiter::learnt() const
{
    if (m_unslowed_s == 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> load_time{m_unslowed_s};
    return store_capacity{limit(), std::chrono::duration_cast<core::duration>(load_time),
                          m_overload_seen};
}

void load_limiter::set_in_progress(std::size_t loads, core::time_point now)
{
    const auto passed = std::chrono::duration<double>(now - m_summed_until);
    m_load_seconds += passed.count() * static_cast<double>(m_in_progress);
    m_summed_until = now;
    m_in_progress = loads;
    const std::chrono::duration<double> longest{m_unslowed_s * m_options.max_remeasuring_ratio};
    if (m_limit_before_remeasuring && now - m_changed_at > longest) {
        const auto before = limit();
        m_limit = *std::exchange(m_limit_before_remeasuring, std::nullopt);
        m_measured_at = now;
        m_changed_at = now;
        m_samples.clear();
        record_change(limit_change_reason::remeasured, before, {});
    }
}

void load_limiter::forget_loads(core::time_point now)
{
    m_samples.clear();
    m_descent.reset();
    m_limit = m_limit_before_remeasuring.value_or(m_limit);
    m_limit_before_remeasuring.reset();
    m_changed_at = now;
    m_measured_at = now;
}

void load_limiter::on_load(core::time_point began, double load_seconds,
                           core::time_point in_progress_until, core::time_point now)
{
    const auto noticed_s = std::chrono::duration<double>(now - began).count();
    if (noticed_s <= 0) {
        return;
    }
    set_in_progress(m_in_progress, now);
    if (began < m_changed_at || now - began < m_options.min_load_time) {
        return; // shows the effect of the previous limit, or wasn't a load from the store
    }
    // What a load took after it was last known to be in progress is no proof of slowness.
    const auto proven =
        std::max<core::duration>(in_progress_until - began, m_options.min_load_time);
    m_samples.push_back({std::chrono::duration<double>(proven).count(), noticed_s,
                         (m_load_seconds - load_seconds) / noticed_s});
    if (m_samples.size() < std::clamp(limit(), m_options.min_sample, m_options.max_sample)) {
        return;
    }
    const auto rank = static_cast<double>(m_samples.size()) * m_options.quantile;
    const auto chosen = m_samples.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(
        m_samples.begin(), chosen, m_samples.end(),
        [](const sample& left, const sample& right) { return left.duration_s < right.duration_s; });
    auto typical = *chosen;
    std::nth_element(
        m_samples.begin(), chosen, m_samples.end(),
        [](const sample& left, const sample& right) { return left.noticed_s < right.noticed_s; });
    typical.noticed_s = chosen->noticed_s;
    m_samples.clear();
    const auto before = limit();
    update(typical, now);
    if (limit() != before) {
        m_changed_at = now;
        record_change(m_reason, before, typical);
    }
}

void load_limiter::record_change(limit_change_reason reason, std::size_t before,
                                 const sample& typical)
{
    const auto to_duration = [](double seconds) {
        return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{seconds});
    };
    if (m_changes.size() == max_kept_changes) {
        m_changes.erase(m_changes.begin());
    }
    m_changes.push_back({reason, before, limit(), to_duration(typical.duration_s), typical.loads,
                         to_duration(m_unslowed_s)});
}

void load_limiter::update(const sample& typical, core::time_point now)
{
    const auto unslowed_before = m_unslowed_s;
    if (m_unslowed_s == 0) {
        m_measured_at = now;
    }
    if (m_unslowed_s == 0 || typical.noticed_s < m_unslowed_s) {
        const bool faster = typical.noticed_s * m_options.timely_stretch < m_unslowed_s;
        if (faster) {
            m_overload_seen = false;
            m_borne = 0; // by loads that were slow
        }
        m_unslowed_s = typical.noticed_s;
    }
    if (m_limit_before_remeasuring) {
        const auto limit_before = *std::exchange(m_limit_before_remeasuring, std::nullopt);
        const double faster = 1 - typical.noticed_s / unslowed_before;
        if (faster < m_options.max_decrease * m_options.min_relief) {
            m_limit = limit_before;
            m_measured_at = now;
            m_reason = limit_change_reason::remeasured;
            return;
        }
        m_overload_seen = true; // fewer loads may be faster still
        m_measured_at.reset();
    }
    const double stretch = typical.duration_s / m_unslowed_s;
    if (stretch > m_options.max_stretch) {
        m_increases_in_row = 0;
        decrease(typical, stretch, now);
        return;
    }
    m_descent.reset();
    m_slow_in_row = 0;
    if (typical.loads >= least_borne(now)) {
        m_borne = now - m_borne_at > m_options.borne_lifetime ? typical.loads
                                                              : std::max(m_borne, typical.loads);
        m_borne_at = now;
    }
    if (stretch <= m_options.timely_stretch) {
        increase(typical);
    }
    remeasure_if_due(typical, now);
}

void load_limiter::increase(const sample& typical)
{
    if (typical.loads < m_limit * m_options.min_use) {
        return;
    }
    m_reason = limit_change_reason::timely;
    double share = m_options.initial_increase;
    if (m_overload_seen) {
        share = std::min(std::ldexp(m_options.increase, static_cast<int>(m_increases_in_row)),
                         m_options.initial_increase);
        ++m_increases_in_row;
    }
    m_limit = std::min(m_limit + std::max(m_limit * share, 1.0), m_options.max_limit);
}

double load_limiter::least_borne(core::time_point now) const
{
    const bool known =
        now - m_borne_at <= m_options.borne_lifetime && m_slow_in_row < m_options.max_slow_samples;
    return known ? m_borne * m_options.min_borne_ratio : 0;
}

void load_limiter::decrease(const sample& typical, double stretch, core::time_point now)
{
    m_overload_seen = true;
    m_reason = limit_change_reason::overloaded;
    ++m_slow_in_row;
    const auto least = std::max(least_borne(now), m_options.min_limit);
    if (typical.loads <= least && least > m_options.min_limit) {
        return; // so many were not too many a moment ago
    }
    if (!m_descent) {
        m_descent = descent{m_limit, typical};
    }
    if (is_refuted(typical) || typical.loads <= m_options.min_limit * m_options.timely_stretch) {
        // Too few loads to overload the store, or fewer that are no faster.
        m_unslowed_s = std::max(m_unslowed_s, typical.noticed_s);
        m_reason = limit_change_reason::unrelieved;
        m_limit = std::max(m_limit, m_descent->limit_before);
        m_descent.reset();
        return;
    }
    const auto lowest = std::max(m_limit * (1 - m_options.max_decrease), least);
    m_limit = std::clamp(typical.loads / stretch, std::min(lowest, m_limit), m_limit);
}

bool load_limiter::is_refuted(const sample& typical)
{
    const auto& reference = m_descent->reference;
    const double fewer = 1 - typical.loads / reference.loads;
    if (fewer < m_options.min_tested_decrease) {
        return false;
    }
    const double faster = 1 - typical.duration_s / reference.duration_s;
    const bool relieved = faster >= fewer * m_options.min_relief;
    if (relieved) {
        m_descent->limit_before = m_limit;
    }
    m_descent->unrelieved = relieved ? 0 : m_descent->unrelieved + 1;
    m_descent->reference = typical;
    return m_descent->unrelieved >= m_options.max_unrelieved;
}

// A store that was overloaded all the time shows no unslowed load.
void load_limiter::remeasure_if_due(const sample& typical, core::time_point now)
{
    const auto longest =
        std::chrono::duration<double>(m_options.min_load_time).count() * m_options.max_stretch;
    if (m_unslowed_s <= longest || typical.loads < m_limit * m_options.min_use) {
        return;
    }
    if (!m_measured_at || now - *m_measured_at >= m_options.remeasure_interval) {
        m_limit_before_remeasuring = m_limit;
        m_reason = limit_change_reason::remeasuring;
        m_limit = std::max(m_limit * (1 - m_options.max_decrease), m_options.min_limit);
    }
}

} // namespace siskindrift::adapters
