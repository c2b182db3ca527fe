// Counters, gauges and histograms served at /metrics.
#pragma once

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "siskindrift/core/verdict.h"

namespace siskindrift::observe {

/// A latency histogram in milliseconds with logarithmic bins. Not thread-safe.
class latency_histogram {
public:
    latency_histogram();
    /// Adds one latency.
    void record(double milliseconds);
    /// Returns an upper bound of the quantile, exact to one bin.
    /// @param probability for example 0.95 for the 95th percentile.
    /// @return milliseconds, or 0 without records.
    [[nodiscard]] double quantile(double probability) const;
    /// Returns the number of records.
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    /// Returns the sum of all records in milliseconds.
    [[nodiscard]] double sum() const { return m_sum; }
    /// Returns this histogram in the Prometheus text format.
    [[nodiscard]] std::string expose(const std::string& name) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<axis>> m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0.0;
};

/// All metrics of one process. Thread-safe; its lock is last in the lock order.
class metrics {
public:
    /// Increments the counter of a reason.
    void count_reason(core::reason why);
    /// Increments a counter, which is created on first use.
    void count(const std::string& name, std::uint64_t by = 1);
    /// Sets a gauge.
    void set(const std::string& name, double value);
    /// Records a latency in the histogram @p name.
    void observe_ms(const std::string& name, double milliseconds);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string expose() const;

private:
    mutable std::mutex m_mutex;
    core::reason_counters m_reasons;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, latency_histogram> m_histograms;
};

} // namespace siskindrift::observe
