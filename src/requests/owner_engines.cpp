// Owned engines: load and unload orders, gain and loss of ownership, and the digest.
#include <algorithm>
#include <utility>

#include "siskindrift/requests/owner.h"

namespace siskindrift::requests {

using core::reason;
using core::verdict;
using engines::engine_action;

namespace {

constexpr std::string_view load_path = "/v1/load_lora_adapter";
constexpr std::string_view unload_path = "/v1/unload_lora_adapter";

std::string order_body(const std::string& adapter, bool load)
{
    // Adapter names are validated with the configuration and need no escaping.
    auto body = R"({"lora_name":")" + adapter + R"(")";
    if (load) {
        body += R"(,"lora_path":"store://)" + adapter + R"(")";
    }
    return body + "}";
}

} // namespace

void owner::send_engine_order(const core::upstream_id& upstream, const engine_action& action)
{
    const bool load = action.type == engine_action::kind::load;
    upstream_call call;
    call.id = m_context.next_call++;
    call.address = m_context.registry.find(upstream)->last_announcement.address;
    call.path = load ? load_path : unload_path;
    call.body = order_body(action.adapter.value(), load);
    call.headers = {{"Siskindrift-Fencing", std::to_string(m_fencing_tokens[upstream])}};
    call.head_timeout = m_context.options.engine_order_timeout;
    call.progress_timeout = m_context.options.progress_timeout;
    engine_order order;
    order.upstream = upstream;
    order.incarnation = m_engines.at(upstream)->incarnation();
    order.adapter = action.adapter;
    order.load = load;
    order.permit = action.permit;
    m_engine_orders[call.id] = std::move(order);
    m_context.out.increment_counter(load ? "siskindrift_loads_total"
                                         : "siskindrift_evictions_total");
    m_context.out.start_call(std::move(call));
}

void owner::finish_engine_order(engine_order& order, call_end how)
{
    if (order.permit != 0 && how != call_end::silent) {
        m_permits.return_permit(order.permit);
    }
    const auto found = m_engines.find(order.upstream);
    if (found == m_engines.end() || found->second->incarnation() != order.incarnation) {
        return;
    }
    const auto now = m_context.now();
    const bool responded = how == call_end::complete || how == call_end::closed;
    const bool succeeded = responded && order.status == 200;
    const bool outcome_known = responded || how == call_end::not_sent;
    if (!outcome_known) {
        found->second->on_order_outcome_unknown(order.adapter, now);
    }
    else if (order.load) {
        found->second->on_load_finished(order.adapter, succeeded, now);
    }
    else {
        found->second->on_unload_finished(order.adapter, succeeded, now);
    }
    if (!succeeded) {
        m_context.out.increment_counter(order.load ? "siskindrift_failed_loads_total"
                                                   : "siskindrift_failed_evictions_total");
    }
    run_engine(order.upstream);
}

void owner::sync_ownership()
{
    const auto& name = m_context.catalog.deployment().policy;
    if (!m_policy || name != m_policy_name) {
        if (m_engines.empty()) {
            m_policy = engines::make_residency_policy(name);
            m_policy_name = name;
        }
    }
    std::vector<core::upstream_id> lost;
    for (const auto& [upstream, engine] : m_engines) {
        const auto owned = m_context.owners.find(upstream.value());
        const bool ours = owned != m_context.owners.end() &&
                          owned->second.vm == m_context.self.vm &&
                          owned->second.incarnation == m_context.self.incarnation &&
                          owned->second.fencing == m_fencing_tokens[upstream];
        if (!ours) {
            lost.push_back(upstream);
        }
    }
    for (const auto& upstream : lost) {
        drop_engine(upstream, reason::not_owner, false);
    }
    for (const auto& [upstream_name, owned] : m_context.owners) {
        const core::upstream_id upstream{upstream_name};
        const auto* record = m_context.registry.find(upstream);
        const bool ours =
            owned.vm == m_context.self.vm && owned.incarnation == m_context.self.incarnation;
        if (!ours || record == nullptr || m_engines.contains(upstream)) {
            continue;
        }
        m_fencing_tokens[upstream] = owned.fencing;
        m_engines[upstream] = std::make_unique<engines::engine_owner>(
            record->last_announcement, *m_policy, engines::engine_owner_options{}, m_context.now());
    }
}

void owner::drop_engine(const core::upstream_id& upstream, reason why, bool cancel_calls)
{
    std::vector<engines::work_id> affected;
    for (const auto& [id, item] : m_work_items) {
        if (item.upstream == upstream && (item.call == 0 || cancel_calls)) {
            affected.push_back(id);
        }
    }
    // Removed first, so that finishing a work item below does not start the next one.
    auto engine = m_engines.extract(upstream);
    for (const auto id : affected) {
        auto& item = m_work_items.at(id);
        if (item.call != 0) {
            m_context.out.cancel_call(item.call);
            fail_work(item, {verdict::may_have_run, why});
        }
        else {
            finish_work(item, {verdict::not_run, why}, wire::dispatch_event::refused);
        }
    }
    m_handing_over.erase(upstream);
    m_fencing_tokens.erase(upstream);
}

void owner::on_announcement(const core::upstream_id& upstream,
                            membership::announcement_effect effect)
{
    const auto found = m_engines.find(upstream);
    const auto* record = m_context.registry.find(upstream);
    if (found == m_engines.end() || record == nullptr) {
        return;
    }
    if (effect == membership::announcement_effect::restarted &&
        record->last_announcement.incarnation != found->second->incarnation()) {
        drop_engine(upstream, reason::upstream_restarted, true);
        sync_ownership();
        return;
    }
    found->second->on_report(record->last_announcement, m_context.now());
    if (record->last_announcement.state == wire::upstream_state::leaving) {
        hand_over(upstream);
        // This VM stays the owner; the `leaving` state alone keeps new work out.
        m_handing_over.erase(upstream);
    }
    run_engine(upstream);
}

void owner::hand_over(const core::upstream_id& upstream)
{
    if (!m_engines.contains(upstream)) {
        return;
    }
    m_handing_over.insert(upstream);
    const auto* record = m_context.registry.find(upstream);
    const bool leaving =
        record != nullptr && record->last_announcement.state == wire::upstream_state::leaving;
    std::vector<engines::work_id> waiting;
    for (const auto& [id, item] : m_work_items) {
        if (item.upstream == upstream && item.call == 0) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        auto& item = m_work_items.at(id);
        m_engines.at(upstream)->cancel_waiting(id);
        finish_work(item,
                    {verdict::not_run, leaving ? reason::upstream_leaving : reason::not_owner},
                    wire::dispatch_event::refused);
    }
}

wire::owner_digest_t owner::digest() const
{
    wire::owner_digest_t digest;
    for (const auto& [upstream, engine] : m_engines) {
        wire::engine_digest_t item;
        item.upstream = upstream.value();
        item.fencing = m_fencing_tokens.at(upstream);
        item.running = engine->running();
        item.waiting = engine->waiting_for_batch_slot();
        item.eviction_cost = static_cast<float>(engine->eviction_cost(m_context.now()));
        for (const auto& [adapter, slot] : engine->table().entries()) {
            const bool loading = slot.state == engines::residency::loading;
            if (!loading && slot.state != engines::residency::resident) {
                continue;
            }
            wire::resident_load_t resident;
            resident.adapter = adapter.value();
            resident.state = static_cast<std::uint8_t>(loading ? 1 : 2);
            resident.in_use = static_cast<std::uint16_t>(slot.in_use);
            resident.waiting = static_cast<std::uint16_t>(engine->queue().waiting_for(adapter));
            wire::append(item.residents, resident);
        }
        // An adapter with queued requests is listed as loading, so that other VMs send their
        // requests for it here.
        for (const auto& waiting : engine->queue().in_order()) {
            const bool listed = engine->table().find(waiting.adapter) != nullptr;
            const bool repeated =
                std::any_of(item.residents.begin(), item.residents.end(), [&](const auto& other) {
                    return other->adapter == waiting.adapter.value();
                });
            if (!listed && !repeated && !waiting.adapter.value().empty()) {
                wire::resident_load_t wanted;
                wanted.adapter = waiting.adapter.value();
                wanted.state = 1;
                wire::append(item.residents, wanted);
            }
        }
        wire::append(digest.engines, item);
    }
    return digest;
}

} // namespace siskindrift::requests
