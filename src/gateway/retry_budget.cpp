#include "siskindrift/gateway/retry_budget.h"

#include <algorithm>

namespace siskindrift::gateway {
namespace {

constexpr core::milliseconds slice_length{500}; // a twentieth of the usual window

} // namespace

retry_budget::slice& retry_budget::current(core::time_point now)
{
    while (!m_slices.empty() && now - m_slices.front().begin > m_terms.window) {
        m_slices.pop_front();
    }
    if (m_slices.empty() || now - m_slices.back().begin >= slice_length) {
        m_slices.push_back({now, 0, 0});
    }
    return m_slices.back();
}

void retry_budget::record_request(core::time_point now)
{
    ++current(now).requests;
}

bool retry_budget::try_consume(core::time_point now, std::size_t gateways)
{
    auto& open = current(now);
    double requests = 0;
    double repeats = 0;
    for (const auto& item : m_slices) {
        requests += item.requests;
        repeats += item.repeats;
    }
    const double share = m_terms.extra / static_cast<double>(std::max<std::size_t>(gateways, 1));
    if (repeats + 1 > m_terms.caution * (m_terms.ratio * requests + share)) {
        return false;
    }
    ++open.repeats;
    return true;
}

} // namespace siskindrift::gateway
