#include "siskindrift/observe/metrics.h"

#include <sstream>

namespace siskindrift::observe {
namespace {

constexpr unsigned histogram_bins = 60;
constexpr double histogram_low_ms = 0.01;
constexpr double histogram_high_ms = 100'000.0;

} // namespace

latency_histogram::latency_histogram()
    : m_histogram(boost::histogram::make_histogram(
          axis{histogram_bins, histogram_low_ms, histogram_high_ms}))
{
}

void latency_histogram::record(double milliseconds)
{
    m_histogram(milliseconds);
    ++m_count;
    m_sum += milliseconds;
}

double latency_histogram::quantile(double probability) const
{
    const double wanted = probability * static_cast<double>(m_count);
    double seen = 0.0;
    for (const auto& bin :
         boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
        seen += *bin;
        if (seen >= wanted && *bin > 0.0) {
            return bin.bin().upper();
        }
    }
    return 0.0;
}

std::string latency_histogram::expose(const std::string& name) const
{
    std::ostringstream text;
    text << "# TYPE " << name << " histogram\n";
    double cumulative = 0.0;
    for (const auto& bin :
         boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
        cumulative += *bin;
        if (*bin > 0.0) {
            text << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << cumulative << "\n";
        }
    }
    text << name << "_bucket{le=\"+Inf\"} " << m_count << "\n";
    text << name << "_sum " << m_sum << "\n" << name << "_count " << m_count << "\n";
    return text.str();
}

void metrics::count_reason(core::reason why)
{
    const std::lock_guard lock{m_mutex};
    m_reasons.add(why);
}

void metrics::count(const std::string& name, std::uint64_t by)
{
    const std::lock_guard lock{m_mutex};
    m_counters[name] += by;
}

void metrics::set(const std::string& name, double value)
{
    const std::lock_guard lock{m_mutex};
    m_gauges[name] = value;
}

void metrics::observe_ms(const std::string& name, double milliseconds)
{
    const std::lock_guard lock{m_mutex};
    m_histograms[name].record(milliseconds);
}

std::string metrics::expose() const
{
    const std::lock_guard lock{m_mutex};
    std::ostringstream text;
    text << "# TYPE siskindrift_reasons_total counter\n";
    for (std::size_t i = 1; i < core::reason_count; ++i) {
        const auto why = static_cast<core::reason>(i);
        text << "siskindrift_reasons_total{reason=\"" << core::to_string(why) << "\"} "
             << m_reasons.of(why) << "\n";
    }
    for (const auto& [name, value] : m_counters) {
        text << "# TYPE " << name << " counter\n" << name << " " << value << "\n";
    }
    for (const auto& [name, value] : m_gauges) {
        text << "# TYPE " << name << " gauge\n" << name << " " << value << "\n";
    }
    for (const auto& [name, histogram] : m_histograms) {
        text << histogram.expose(name);
    }
    return text.str();
}

} // namespace siskindrift::observe
