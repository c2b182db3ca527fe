#include "siskindrift/control/retry_share_manager.h"

#include <algorithm>

#include "siskindrift/fleet/retry_timing.h"

namespace siskindrift::control {
namespace {

constexpr std::size_t max_generations_kept = 32; // a dropped one only delays a newcomer

} // namespace

void retry_share_manager::begin_term(core::time_point now)
{
    m_gateways.clear();
    m_term_began = now;
    m_first_query_at.reset();
    m_proposed_on.reset();
}

void retry_share_manager::record_query(const wire::retry_share_query_t& query, core::time_point now)
{
    m_first_query_at = m_first_query_at.value_or(now);
    auto& gateway = m_gateways[query.vm];
    gateway.heard = now;
    auto& applied = gateway.applied;
    if (query.generation != 0 && (applied.empty() || applied.rbegin()->first < query.generation)) {
        applied.emplace(query.generation, now);
    }
    if (applied.size() > max_generations_kept) {
        applied.erase(applied.begin());
    }
}

// Returns whether all retries of `other` that may still count were sent while it divided by a
// number that includes `newcomer`.
bool retry_share_manager::is_included(const state::retry_share_holder& newcomer,
                                      const std::string& other, core::time_point now) const
{
    const auto gateway = m_gateways.find(other);
    if (gateway == m_gateways.end()) {
        return false;
    }
    const auto since = gateway->second.applied.lower_bound(newcomer.admitted);
    return since != gateway->second.applied.end() &&
           now - since->second >= fleet::retry_quarantine(m_options.window) + m_options.clock_drift;
}

bool retry_share_manager::may_use(const state::retry_shares& shares,
                                  const state::retry_share_holder& newcomer,
                                  core::time_point now) const
{
    return std::all_of(shares.holders.begin(), shares.holders.end(), [&](const auto& other) {
        return !other.second.usable || is_included(newcomer, other.first, now);
    });
}

std::optional<wire::change_retry_shares_t>
retry_share_manager::next_change(const state::retry_shares& shares, core::time_point now)
{
    const bool gathering = !m_first_query_at || now - *m_first_query_at < m_options.gathering_time;
    if (m_proposed_on == shares.generation || (shares.holders.empty() && gathering)) {
        return std::nullopt;
    }
    wire::change_retry_shares_t change;
    const auto idle_limit = fleet::retry_share_lease + fleet::retry_quarantine(m_options.window) +
                            m_options.clock_drift;
    for (const auto& [vm, holder] : shares.holders) {
        const auto gateway = m_gateways.find(vm);
        const auto heard = gateway == m_gateways.end() ? m_term_began : gateway->second.heard;
        if (now - heard > idle_limit) {
            change.retire.push_back(vm);
            continue;
        }
        if (!holder.usable && may_use(shares, holder, now)) {
            change.activate.push_back(vm);
        }
    }
    for (const auto& [vm, gateway] : m_gateways) {
        if (!shares.holders.contains(vm)) {
            change.admit.push_back(vm);
        }
    }
    if (change.retire.empty() && change.admit.empty() && change.activate.empty()) {
        return std::nullopt;
    }
    for (const auto& vm : change.retire) {
        m_gateways.erase(vm);
    }
    m_proposed_on = shares.generation;
    return change;
}

std::optional<wire::retry_share_t> retry_share_manager::answer(const state::retry_shares& shares,
                                                               const std::string& vm,
                                                               std::uint64_t asked_ms) const
{
    if (m_proposed_on == shares.generation) {
        return std::nullopt;
    }
    wire::retry_share_t share;
    share.generation = shares.generation;
    share.holders = static_cast<std::uint32_t>(shares.holders.size());
    const auto holder = shares.holders.find(vm);
    share.holder = holder != shares.holders.end();
    share.usable = holder != shares.holders.end() && holder->second.usable;
    share.asked_ms = asked_ms;
    return share;
}

} // namespace siskindrift::control
