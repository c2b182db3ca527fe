#include "siskindrift/gateway/retry_budget.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace siskindrift::gateway {
namespace {

constexpr std::int64_t slices_per_window = 100;
constexpr double windows_averaged = 3;
// Of the retries that are allowed, how many may wait at upstreams that may stand still, and how
// many may arrive at any time while a gateway has no share of the extra ones.
constexpr double overdue_share = 0.05;
constexpr double uncertain_share = 0.1;

// Sums of consecutive slices of a range, in constant time each.
class range_sums {
public:
    range_sums(std::int64_t first, const std::deque<std::uint32_t>& counts) : m_first(first)
    {
        m_sums.reserve(counts.size() + 1);
        m_sums.push_back(0);
        for (const auto count : counts) {
            m_sums.push_back(m_sums.back() + count);
        }
    }

    [[nodiscard]] double between(std::int64_t first, std::int64_t last) const
    {
        return last < first ? 0 : static_cast<double>(before(last + 1) - before(first));
    }
    [[nodiscard]] double from(std::int64_t first) const
    {
        return static_cast<double>(m_sums.back() - before(first));
    }

private:
    [[nodiscard]] std::uint64_t before(std::int64_t slice) const
    {
        const auto size = static_cast<std::int64_t>(m_sums.size()) - 1;
        return m_sums[static_cast<std::size_t>(std::clamp<std::int64_t>(slice - m_first, 0, size))];
    }

    std::int64_t m_first;
    std::vector<std::uint64_t> m_sums;
};

} // namespace

void retry_budget::slice_counts::add(std::int64_t slice)
{
    if (counts.empty()) {
        first = slice;
    }
    const auto at = static_cast<std::size_t>(std::max<std::int64_t>(slice - first, 0));
    if (at >= counts.size()) {
        counts.resize(at + 1, 0);
    }
    ++counts[at];
}

retry_budget::slice_counts retry_budget::slice_counts::with_length(core::duration before,
                                                                   core::duration after,
                                                                   bool spread) const
{
    slice_counts converted;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const auto begin = (first + static_cast<std::int64_t>(i)) * before;
        for (std::uint32_t number = 0; number < counts[i]; ++number) {
            const auto at = spread ? begin + before * number / counts[i] : begin + before;
            converted.add(at / after);
        }
    }
    return converted;
}

void retry_budget::slice_counts::remove_before(std::int64_t slice)
{
    while (!counts.empty() && first < slice) {
        counts.pop_front();
        ++first;
    }
}

void retry_budget::set_options(retry_budget_options options)
{
    const auto before = slice_length();
    m_options = options;
    if (const auto after = slice_length(); after != before) {
        m_requests = m_requests.with_length(before, after, true);
        // A retry may have arrived at any time of its slice, and must not leave a window too soon.
        m_settled = m_settled.with_length(before, after, false);
    }
}

core::duration retry_budget::slice_length() const
{
    return std::max<core::duration>(m_options.window / slices_per_window, core::milliseconds{1});
}

std::int64_t retry_budget::slice_of(core::time_point time) const
{
    return time.time_since_epoch() / slice_length();
}

void retry_budget::remove_expired(core::time_point now)
{
    const auto current = slice_of(now);
    m_requests.remove_before(current - 2 * slices_per_window - 1);
    m_settled.remove_before(current - slices_per_window - 1);
}

void retry_budget::record_request(core::time_point now)
{
    remove_expired(now);
    m_requests.add(slice_of(now));
}

retry_usage retry_budget::usage(core::time_point now, double share) const
{
    const auto current = slice_of(now);
    const range_sums requests{m_requests.first, m_requests.counts};
    const range_sums settled{m_settled.first, m_settled.counts};
    const double extra = share * m_options.extra_retries;
    retry_usage tightest{0, std::numeric_limits<double>::infinity()};
    // A retry that is sent now is part of the windows that begin from one window ago until it has
    // arrived. A window may begin anywhere within a slice, so only requests in slices that lie in
    // all windows that begin in the same slice are counted.
    const auto last = slice_of(now + fleet::late_arrival_limit);
    for (auto begin = current - slices_per_window - 1; begin <= last; ++begin) {
        double counted_requests = 0;
        for (const auto shift : {slices_per_window, slices_per_window / 2, std::int64_t{0}}) {
            counted_requests +=
                requests.between(begin + 1 - shift, begin - 1 - shift + slices_per_window);
        }
        const double retries = m_unsettled + settled.from(begin);
        const double allowed = m_options.retry_ratio * counted_requests / windows_averaged + extra;
        if (allowed - retries < tightest.allowed - tightest.retries) {
            tightest = {retries, allowed};
        }
    }
    return tightest;
}

bool retry_budget::try_consume(core::time_point now, double share, retry_arrival arrival,
                               std::uint32_t uncertain)
{
    remove_expired(now);
    const auto used = usage(now, share);
    if (used.retries + 1 > used.allowed) {
        return false;
    }
    const double extra = share * m_options.extra_retries;
    const double limit = arrival == retry_arrival::overdue ? overdue_share * used.allowed
                         : extra > 0                       ? extra
                                                           : uncertain_share * used.allowed;
    if (arrival != retry_arrival::soon && uncertain + 1 > limit) {
        return false;
    }
    ++m_unsettled;
    return true;
}

void retry_budget::settle_at(core::time_point arrived_by)
{
    refund();
    m_settled.add(slice_of(arrived_by));
}

void retry_budget::refund()
{
    m_unsettled -= std::min<std::uint32_t>(m_unsettled, 1);
}

} // namespace siskindrift::gateway
