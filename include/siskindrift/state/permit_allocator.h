// Load permits within the budget of the weight store. The leader keeps them in memory.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"

namespace siskindrift::state {

/// Limits on the loads from one weight store.
struct store_budget {
    double loads_per_second = 2.0;
    std::uint32_t max_in_flight = 8; ///< Each load slows down when more run at the same time.

    /// How long a permit is valid unless it is returned. Must exceed the duration of a slow load
    /// while `max_in_flight` loads run.
    core::duration lifetime = core::milliseconds{3000};
    double burst = 2.0; ///< Capacity of the token bucket, in loads.
};

/// A request for a permit that waits for a token.
struct permit_request {
    std::uint64_t ticket = 0;
    double benefit = 0.0; ///< Number of waiting requests that the load would serve.
    core::time_point requested_at;
};

/// Grants permits to load weights within the budget, in order of benefit. Limits the rate by a
/// token bucket and the number of permits in use. Not thread-safe.
class permit_allocator {
public:
    explicit permit_allocator(store_budget budget) : m_budget(budget) {}

    /// Replaces the budget. Tokens above the new burst size are lost.
    void set_budget(store_budget budget);

    /// Starts a term of leadership with no tokens and no requests. Nothing is granted for the
    /// lifetime of a permit, because all permits of the previous leader may still be in use.
    void begin_term(core::time_point now);

    /// Queues a request.
    ///
    /// @param ticket number that identifies the request in the results of `grant` and
    ///     `take_timed_out`
    /// @param benefit number of waiting requests that the load would serve
    /// @param now current monotonic time
    void enqueue(std::uint64_t ticket, double benefit, core::time_point now);

    /// A permit and the ticket of the request that it is granted to.
    struct granted_permit {
        std::uint64_t ticket = 0;
        std::uint64_t permit = 0;
    };

    /// Grants as many requests as the budget allows and removes them from the queue.
    std::vector<granted_permit> grant(core::time_point now);

    /// Removes the requests that have waited longer than @p timeout and returns their tickets.
    std::vector<std::uint64_t> take_timed_out(core::time_point now, core::duration timeout);

    /// Releases a permit whose load has ended. An unknown permit is ignored.
    void return_permit(std::uint64_t permit) { m_in_use.erase(permit); }

    /// Returns the number of permits that are neither returned nor known to have expired.
    [[nodiscard]] std::size_t in_use() const { return m_in_use.size(); }
    [[nodiscard]] const store_budget& budget() const { return m_budget; }

private:
    void refill(core::time_point now);

    store_budget m_budget;
    double m_tokens = 0.0;
    core::time_point m_refilled_at{};
    core::time_point m_earliest_grant{};
    std::uint64_t m_next_permit = 1;
    std::vector<permit_request> m_pending_requests;
    std::map<std::uint64_t, core::time_point> m_in_use; ///< Expiry time by permit.
};

} // namespace siskindrift::state
