// The weight store's budget, kept by the leader in memory.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"

namespace siskindrift::state {

/// Rates of one weight store.
struct store_budget {
    double loads_per_second = 2.0;
    std::uint32_t max_in_flight = 8;                    // beyond this every load slows down
    core::duration lifetime = core::milliseconds{3000}; // above a slow load at full flight
    double burst = 2.0;
};

/// One request for a permit that waits for a token.
struct permit_wish {
    std::uint64_t ticket = 0;
    double benefit = 0.0; ///< Waiting requests that one load would serve.
    core::time_point since;
};

/// Grants permits within the budget, the most useful first.
class permit_allocator {
public:
    explicit permit_allocator(store_budget budget) : m_budget(budget) {}

    void set_budget(store_budget budget);

    /// Starts a term of leadership with no token, and with every permit of the
    /// predecessor taken as in use for one lifetime.
    void begin_term(core::time_point now);

    /// Queues a wish; @p ticket names it in `grant`.
    void enqueue(std::uint64_t ticket, double benefit, core::time_point now);

    /// One granted permit.
    struct grant_item {
        std::uint64_t ticket = 0;
        std::uint64_t permit = 0;
    };

    /// Grants what the budget allows now.
    std::vector<grant_item> grant(core::time_point now);

    /// Returns and removes the wishes that waited longer than @p patience.
    std::vector<std::uint64_t> take_timed_out(core::time_point now, core::duration patience);

    /// Gives a permit back after its load ended.
    void return_permit(std::uint64_t permit) { m_in_use.erase(permit); }

    [[nodiscard]] std::size_t in_use() const { return m_in_use.size(); }
    [[nodiscard]] const store_budget& budget() const { return m_budget; }

private:
    void refill(core::time_point now);

    store_budget m_budget;
    double m_tokens = 0.0;
    core::time_point m_refilled_at{};
    core::time_point m_first_grant{};
    std::uint64_t m_next_permit = 1;
    std::vector<permit_wish> m_wishes;
    std::map<std::uint64_t, core::time_point> m_in_use;
};

} // namespace siskindrift::state
