// Divides the fixed part of the retry budget among the gateways.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "siskindrift/core/clock.h"
#include "siskindrift/state/control_state.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::control {

/// Timeouts of a retry share manager.
struct retry_share_manager_options {
    core::duration window = core::milliseconds{10'000}; ///< Sliding window of the retry budget.
    /// Time from the first query until shares are given out for the first time, so that all
    /// gateways of a new deployment are admitted together.
    core::duration gathering_time = core::milliseconds{2000};
    core::duration clock_drift = core::milliseconds{500}; ///< Over the lease of a share.
};

/// Decides the leader's changes of the gateways that share the fixed part of the retry budget, one
/// at a time. Performs no I/O.
///
/// Each holder divides by the number of holders that it last heard of. A gateway that is admitted
/// gets its share only after every other user of a share has divided by a number that includes the
/// newcomer for a whole window. A holder is retired only after its lease has ended, however long it
/// can't be reached. So the shares in use never add up to more than the whole.
class retry_share_manager {
public:
    explicit retry_share_manager(retry_share_manager_options options = {}) : m_options(options) {}

    /// Forgets what earlier leaders knew; holders count as heard of at @p now.
    void begin_term(core::time_point now);
    /// Records the query of a gateway, which tells what it divides by.
    void record_query(const wire::retry_share_query_t& query, core::time_point now);

    /// Returns the change to propose, if any. None is returned before the last one was applied.
    [[nodiscard]] std::optional<wire::change_retry_shares_t>
    next_change(const state::retry_shares& shares, core::time_point now);

    /// Returns the answer to a query, or none while a proposed change is not applied.
    /// @param asked_ms time of the query by the clock of the gateway, or 0 for an announcement.
    [[nodiscard]] std::optional<wire::retry_share_t>
    answer(const state::retry_shares& shares, const std::string& vm, std::uint64_t asked_ms) const;

private:
    struct gateway_state {
        core::time_point heard{};
        /// When the gateway first told that it applies a generation, by generation.
        std::map<std::uint64_t, core::time_point> applied;
    };

    [[nodiscard]] bool is_included(const state::retry_share_holder& newcomer,
                                   const std::string& other, core::time_point now) const;

    [[nodiscard]] bool may_use(const state::retry_shares& shares,
                               const state::retry_share_holder& newcomer,
                               core::time_point now) const;

    retry_share_manager_options m_options;
    std::map<std::string, gateway_state> m_gateways; ///< By VM; those heard of in this term.
    core::time_point m_term_began{};
    std::optional<core::time_point> m_first_query_at;
    std::optional<std::uint64_t> m_proposed_on; ///< Generation that the last change is based on.
};

} // namespace siskindrift::control
