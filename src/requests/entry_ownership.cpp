// Acquisition, rebalancing and release of upstreams.
#include "siskindrift/requests/entry_core.h"
#include "siskindrift/routing/rendezvous.h"

namespace siskindrift::requests {

// Prefers VMs of the upstream's failure domain; among those the highest rendezvous weight wins,
// so that all VMs choose the same owner without communicating.
std::string entry_core::preferred_owner(const core::upstream_id& upstream) const
{
    const auto* record = m_context.registry.find(upstream);
    const auto domain =
        record == nullptr ? std::string{} : record->last_announcement.failure_domain;
    std::string best;
    bool best_is_local = false;
    std::uint64_t best_weight = 0;
    for (const auto& [name, vm] : m_context.vms) {
        if (vm.draining) {
            continue;
        }
        const bool local = vm.failure_domain == domain;
        const auto weight = routing::rendezvous_weight(upstream.value(), name);
        const bool better = best.empty() || (local && !best_is_local) ||
                            (local == best_is_local && weight > best_weight);
        if (better) {
            best = name;
            best_is_local = local;
            best_weight = weight;
        }
    }
    return best;
}

void entry_core::manage_ownership()
{
    m_owner.sync_ownership();
    if (!m_context.lease_valid()) {
        return;
    }
    for (const auto& upstream : m_owner.handing_over()) {
        release(upstream);
    }
    if (m_context.draining) {
        std::vector<core::upstream_id> owned;
        for (const auto& [upstream, engine] : m_owner.engines()) {
            owned.push_back(upstream);
        }
        for (const auto& upstream : owned) {
            m_owner.hand_over(upstream);
            release(upstream);
        }
        return;
    }
    acquire_unowned();
    rebalance();
}

void entry_core::acquire_unowned()
{
    for (const auto& [upstream, record] : m_context.registry.all()) {
        const auto owned = m_context.owners.find(upstream.value());
        const bool free = owned == m_context.owners.end() || owned->second.vm.empty();
        const bool wanted = free && m_context.registry.is_fresh(upstream, m_context.now()) &&
                            preferred_owner(upstream) == m_context.self.vm;
        if (!wanted || has_pending(control_purpose::acquire, upstream.value())) {
            continue;
        }
        wire::acquire_upstream_t command;
        command.upstream = upstream.value();
        command.vm = m_context.self.vm;
        command.incarnation = m_context.self.incarnation;
        ask_control(std::move(command), control_purpose::acquire, upstream.value(),
                    m_context.options.control_request_timeout);
    }
}

void entry_core::rebalance()
{
    const auto now = m_context.now();
    if (now < m_rebalance_at) {
        return;
    }
    m_rebalance_at = now + m_context.options.rebalance_interval;
    for (const auto& [upstream, engine] : m_owner.engines()) {
        const auto preferred = preferred_owner(upstream);
        const bool move = !preferred.empty() && preferred != m_context.self.vm &&
                          reachable(preferred) && m_context.registry.is_admissible(upstream, now);
        if (move) {
            m_owner.hand_over(upstream);
            release(upstream);
            return; // one upstream per interval
        }
    }
}

void entry_core::release(const core::upstream_id& upstream)
{
    const auto owned = m_context.owners.find(upstream.value());
    const bool ours = owned != m_context.owners.end() && owned->second.vm == m_context.self.vm &&
                      owned->second.incarnation == m_context.self.incarnation;
    if (!ours || has_pending(control_purpose::acquire, upstream.value())) {
        return;
    }
    wire::release_upstream_t command;
    command.upstream = upstream.value();
    command.vm = m_context.self.vm;
    command.incarnation = m_context.self.incarnation;
    command.fencing = owned->second.fencing;
    ask_control(std::move(command), control_purpose::acquire, upstream.value(),
                m_context.options.control_request_timeout);
}

} // namespace siskindrift::requests
