// Limits the retries that the gateways send to a service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "siskindrift/core/clock.h"
#include "siskindrift/fleet/retry_timing.h"

namespace siskindrift::gateway {

/// Retries that all gateways together may send to a service within a sliding window.
struct retry_budget_options {
    double retry_ratio = 0.2;  ///< Retries allowed per request.
    double extra_retries = 50; ///< Allowed in addition, shared by all gateways.
    core::duration window = core::milliseconds{10'000};
};

/// Retries in a window and the number that is allowed there.
struct retry_usage {
    double retries = 0;
    double allowed = 0;
};

/// When a retry that is about to be sent reaches its upstream.
enum class retry_arrival : std::uint8_t {
    soon,        ///< The upstream answers its requests.
    at_any_time, ///< An earlier send of the request is unanswered, and may come last.
    overdue,     ///< The upstream doesn't answer in the usual time, and may stand still.
};

/// One gateway's part of the retry budget of one service. Performs no I/O.
///
/// The retries that reach upstreams in any window are limited to the gateway's share of the extra
/// retries, plus the ratio times the average number of requests in that window, in the one before
/// and in the one half a window before. These bounds add up over all gateways, also when callers
/// move between gateways, because each of them averages over the same times.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {}) : m_options(options) {}

    /// Replaces the options; requests and retries counted so far are kept with their times.
    void set_options(retry_budget_options options);
    /// Counts a caller's request.
    void record_request(core::time_point now);
    /// Counts a retry that is about to be sent, if the budget allows it. The retry counts in every
    /// window from now on until `settle`, `settle_late` or `refund` is called for it.
    /// @param share fraction of the extra retries that this gateway may send, from 0 to 1.
    /// @param arrival retries that may arrive at any time can use only what is allowed however few
    /// requests there are then, and those at upstreams that may stand still only a small part of
    /// that, so that the rest can be used elsewhere.
    /// @param uncertain retries counted so far that may arrive at any time.
    /// @return false if the budget is exhausted.
    [[nodiscard]] bool try_consume(core::time_point now, double share,
                                   retry_arrival arrival = retry_arrival::soon,
                                   std::uint32_t uncertain = 0);
    /// Counts a retry that was sent already, whether or not the budget allows it.
    void consume() { ++m_unsettled; }
    /// Records that an upstream has received a retry.
    void settle(core::time_point now) { settle_at(now); }
    /// Records that an upstream which runs receives a retry shortly, if it hasn't yet.
    void settle_late(core::time_point now) { settle_at(now + fleet::late_arrival_limit); }
    /// Records that a counted retry was not sent.
    void refund();
    /// Returns the use of the window that leaves the fewest retries.
    /// @param share as for `try_consume`.
    [[nodiscard]] retry_usage usage(core::time_point now, double share) const;

private:
    /// Counts per time slice, for the slices from `first` on.
    struct slice_counts {
        std::int64_t first = 0;
        std::deque<std::uint32_t> counts;

        void add(std::int64_t slice);
        /// Returns the same counts in slices of another length.
        /// @param spread whether each slice's counts are spread evenly over its time, or moved to
        /// its end.
        [[nodiscard]] slice_counts with_length(core::duration before, core::duration after,
                                               bool spread) const;
        void remove_before(std::int64_t slice);
    };

    [[nodiscard]] core::duration slice_length() const;
    [[nodiscard]] std::int64_t slice_of(core::time_point time) const;
    void settle_at(core::time_point arrived_by);
    void remove_expired(core::time_point now);

    retry_budget_options m_options;
    slice_counts m_requests;
    slice_counts m_settled;        ///< Retries, by the latest time at which they arrived.
    std::uint32_t m_unsettled = 0; ///< Retries that may arrive at any time from now on.
};

} // namespace siskindrift::gateway
