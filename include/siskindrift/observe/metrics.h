// Counters and histograms behind /metrics.
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

/// A latency histogram in milliseconds over a logarithmic axis.
class latency_histogram {
public:
    latency_histogram();
    void record(double milliseconds);
    /// Returns the value below which @p share of the records lie, or 0 without records.
    [[nodiscard]] double quantile(double share) const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    [[nodiscard]] double sum() const { return m_sum; }
    /// Returns the Prometheus text of this histogram.
    [[nodiscard]] std::string expose(const std::string& name) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<axis>> m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0.0;
};

/// All metrics of one process. Thread-safe; its lock is a leaf of the lock order.
class metrics {
public:
    void count_reason(core::reason why);
    void count(const std::string& name, std::uint64_t by = 1);
    void set(const std::string& name, double value);
    void observe_ms(const std::string& name, double milliseconds);

    [[nodiscard]] std::string expose() const;

private:
    mutable std::mutex m_mutex;
    core::reason_counters m_reasons;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, latency_histogram> m_histograms;
};

} // namespace siskindrift::observe
