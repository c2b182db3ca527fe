// Bounds the arrivals at a service beyond the first of each request.
#pragma once

#include <cstdint>
#include <deque>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// What all gateways together may spend on further attempts within a window.
struct retry_terms {
    double ratio = 0.2; ///< Of the requests in the window.
    double extra = 50;  ///< Besides, over all gateways.
    core::duration window = core::milliseconds{10'000};
    double caution = 0.8; ///< Share that is spent: gateways count their windows apart.
};

/// One gateway's share of the budget of one service. Pure.
class retry_budget {
public:
    explicit retry_budget(retry_terms terms = {}) : m_terms(terms) {}

    void set_options(retry_terms terms) { m_terms = terms; }
    /// Counts a request of a caller.
    void record_request(core::time_point now);
    /// Takes one further attempt from the budget. Returns false when it is spent.
    /// @param gateways how many gateways share the budget.
    [[nodiscard]] bool try_consume(core::time_point now, std::size_t gateways);

private:
    struct slice {
        core::time_point begin{};
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    slice& current(core::time_point now);

    retry_terms m_terms;
    std::deque<slice> m_slices;
};

} // namespace siskindrift::gateway
