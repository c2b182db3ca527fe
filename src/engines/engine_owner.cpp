#include "siskindrift/engines/engine_owner.h"

#include <algorithm>

namespace siskindrift::engines {
namespace {

std::vector<wire::resident_info_t> residents_of(const wire::announcement_t& announcement)
{
    std::vector<wire::resident_info_t> residents;
    for (const auto& info : announcement.residents) {
        residents.push_back(*info);
    }
    return residents;
}

engine_action work_action(engine_action::kind type, work_id work, core::reason refusal_reason)
{
    engine_action action;
    action.type = type;
    action.work = work;
    action.refusal_reason = refusal_reason;
    return action;
}

engine_action adapter_action(engine_action::kind type, const core::adapter_version& adapter,
                             std::uint64_t permit)
{
    engine_action action;
    action.type = type;
    action.adapter = adapter;
    action.permit = permit;
    return action;
}

} // namespace

engine_owner::engine_owner(const wire::announcement_t& announced, const residency_policy& policy,
                           engine_owner_options options, core::time_point now)
    : m_policy(policy), m_options(options), m_kind(announced.kind),
      m_incarnation(announced.incarnation), m_batch(std::max(1U, announced.batch)),
      m_table(std::max(1U, announced.slots), options.residency)
{
    m_table.take_over(residents_of(announced), now);
}

std::uint32_t engine_owner::waiting_for_batch_slot() const
{
    if (!holds_adapters()) {
        return static_cast<std::uint32_t>(m_queue.size());
    }
    std::uint32_t count = 0;
    for (const auto& [adapter, entry] : m_table.entries()) {
        count += entry.state == residency::resident ? m_queue.waiting_for(adapter) : 0;
    }
    return count;
}

core::duration engine_owner::expected_wait() const
{
    const auto load = m_running.size() + waiting_for_batch_slot();
    if (load < m_batch) {
        return core::duration::zero();
    }
    const double ahead = static_cast<double>(load - m_batch + 1);
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(ahead * m_mean_service_ms / m_batch));
}

double engine_owner::eviction_cost(core::time_point now) const
{
    if (m_table.free_slots() > m_loads_awaiting_unload.size()) {
        return 0.0;
    }
    const auto victim = m_policy.choose_victim(m_table, m_queue, now);
    constexpr double no_victim_cost = 1e6;
    return victim ? m_table.demand(*victim, now) : no_victim_cost;
}

std::optional<core::reason> engine_owner::enqueue(queued_work work, core::time_point now)
{
    if (m_queue.size() >= m_options.max_queue) {
        return core::reason::queue_full;
    }
    // Only the requests of the same or a higher priority start before this one and delay it.
    const auto& waiting = m_queue.in_order();
    const auto ahead = std::count_if(waiting.begin(), waiting.end(), [&](const auto& other) {
        return other.priority >= work.priority;
    });
    if (now + expected_wait() > work.deadline && static_cast<std::size_t>(ahead) >= m_batch) {
        return core::reason::deadline_unreachable;
    }
    if (holds_adapters()) {
        m_table.record_demand(work.adapter, now);
    }
    m_queue.push(std::move(work));
    return std::nullopt;
}

bool engine_owner::cancel_waiting(work_id id)
{
    return m_queue.remove(id).has_value();
}

void engine_owner::finish(work_id id, bool stopped, core::time_point now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const std::chrono::duration<double, std::milli> took = now - found->second.started;
    constexpr double smoothing = 0.1;
    m_mean_service_ms += smoothing * (took.count() - m_mean_service_ms);
    if (holds_adapters() && stopped) {
        m_table.release(found->second.adapter, now);
    }
    else if (holds_adapters()) {
        m_table.release_pinned(found->second.adapter, now);
    }
    m_running.erase(found);
}

void engine_owner::on_report(const wire::announcement_t& announcement, core::time_point now)
{
    m_table.on_report(residents_of(announcement), now);
}

void engine_owner::on_load_finished(const core::adapter_version& adapter, bool loaded,
                                    core::time_point now)
{
    m_table.finish_load(adapter, loaded, now);
    if (loaded) {
        m_failed_loads.erase(adapter);
        return;
    }
    auto& failed = m_failed_loads[adapter];
    ++failed.failures;
    failed.retry_at = now + m_options.load_retry_pause;
}

void engine_owner::on_unload_finished(const core::adapter_version& adapter, bool unloaded,
                                      core::time_point now)
{
    m_table.finish_unload(adapter, unloaded, now);
}

void engine_owner::on_order_outcome_unknown(const core::adapter_version& adapter,
                                            core::time_point now)
{
    m_table.mark_unknown(adapter, now);
}

void engine_owner::on_permit_granted(std::uint64_t permit, core::time_point)
{
    m_permit_requested = false;
    m_unused_permit = permit;
}

void engine_owner::on_permit_denied(core::time_point now)
{
    m_permit_requested = false;
    m_permit_retry_at = now + m_options.permit_retry_pause;
}

std::vector<engine_action> engine_owner::step(core::time_point now)
{
    std::vector<engine_action> actions;
    refuse_expired(actions, now);
    start_ready(actions, now);
    if (holds_adapters()) {
        refuse_after_failed_loads(actions, now);
        start_loads_after_unload(actions, now);
        plan_loads(actions, now);
    }
    return actions;
}

void engine_owner::refuse_expired(std::vector<engine_action>& actions, core::time_point now)
{
    for (const auto& work : m_queue.take_expired(now)) {
        actions.push_back(
            work_action(engine_action::kind::refuse, work.id, core::reason::deadline_passed));
    }
}

void engine_owner::start_ready(std::vector<engine_action>& actions, core::time_point now)
{
    std::vector<queued_work> ready;
    auto room = m_batch > m_running.size() ? m_batch - m_running.size() : 0;
    for (const auto& work : m_queue.in_order()) {
        if (ready.size() >= room) {
            break;
        }
        if (!holds_adapters() || m_table.resident(work.adapter)) {
            ready.push_back(work);
        }
    }
    for (const auto& work : ready) {
        m_queue.remove(work.id);
        if (holds_adapters()) {
            m_table.acquire(work.adapter, now);
        }
        m_running[work.id] = {work.adapter, now};
        actions.push_back(work_action(engine_action::kind::start, work.id, core::reason::none));
    }
}

void engine_owner::refuse_after_failed_loads(std::vector<engine_action>& actions,
                                             core::time_point now)
{
    std::vector<queued_work> refused;
    for (const auto& work : m_queue.in_order()) {
        const auto failed = m_failed_loads.find(work.adapter);
        if (failed != m_failed_loads.end() && failed->second.failures >= m_options.load_attempts) {
            refused.push_back(work);
        }
    }
    for (const auto& work : refused) {
        m_queue.remove(work.id);
        actions.push_back(
            work_action(engine_action::kind::refuse, work.id, core::reason::load_failed));
    }
    std::erase_if(m_failed_loads, [&](const auto& item) {
        return item.second.failures >= m_options.load_attempts && now >= item.second.retry_at;
    });
}

std::uint32_t engine_owner::loads_in_flight() const
{
    const auto loading =
        std::count_if(m_table.entries().begin(), m_table.entries().end(),
                      [](const auto& item) { return item.second.state == residency::loading; });
    return static_cast<std::uint32_t>(loading) +
           static_cast<std::uint32_t>(m_loads_awaiting_unload.size());
}

std::vector<pending_load> engine_owner::pending_loads(core::time_point now) const
{
    std::map<core::adapter_version, pending_load> found;
    for (const auto& work : m_queue.in_order()) {
        if (m_table.find(work.adapter) != nullptr ||
            m_loads_awaiting_unload.contains(work.adapter)) {
            continue;
        }
        const auto failed = m_failed_loads.find(work.adapter);
        if (failed != m_failed_loads.end() && now < failed->second.retry_at) {
            continue;
        }
        auto& load = found[work.adapter];
        if (load.waiting == 0) {
            load.adapter = work.adapter;
            load.oldest_arrival = work.arrived;
        }
        ++load.waiting;
        load.priority = std::max(load.priority, work.priority);
        load.oldest_arrival = std::min(load.oldest_arrival, work.arrived);
    }
    std::vector<pending_load> list;
    list.reserve(found.size());
    for (auto& [adapter, load] : found) {
        list.push_back(std::move(load));
    }
    return list;
}

void engine_owner::return_unused_permit(std::vector<engine_action>& actions)
{
    if (m_unused_permit != 0) {
        actions.push_back(adapter_action(engine_action::kind::return_permit, {}, m_unused_permit));
        m_unused_permit = 0;
    }
}

void engine_owner::plan_loads(std::vector<engine_action>& actions, core::time_point now)
{
    while (loads_in_flight() < m_policy.max_loads()) {
        const auto loads = pending_loads(now);
        if (loads.empty()) {
            return_unused_permit(actions);
            return;
        }
        const auto& load = loads[m_policy.choose_load(loads, now)];
        const bool room = m_table.free_slots() > m_loads_awaiting_unload.size() ||
                          m_policy.choose_victim(m_table, m_queue, now).has_value();
        if (!room) {
            return;
        }
        if (m_policy.uses_permits() && m_unused_permit == 0) {
            const bool lost =
                m_permit_requested && now - m_permit_requested_at > m_options.permit_wait_limit;
            if ((!m_permit_requested || lost) && now >= m_permit_retry_at) {
                m_permit_requested = true;
                m_permit_requested_at = now;
                actions.push_back(
                    adapter_action(engine_action::kind::request_permit, load.adapter, 0));
                actions.back().benefit = load.waiting;
            }
            return;
        }
        const auto adapter = load.adapter;
        const auto before = loads_in_flight();
        begin_load_or_unload(actions, adapter, now);
        if (loads_in_flight() == before) {
            return;
        }
    }
}

void engine_owner::begin_load_or_unload(std::vector<engine_action>& actions,
                                        const core::adapter_version& adapter, core::time_point now)
{
    if (m_table.free_slots() > m_loads_awaiting_unload.size()) {
        m_table.begin_load(adapter, now);
        actions.push_back(adapter_action(engine_action::kind::load, adapter, m_unused_permit));
        m_unused_permit = 0;
        return;
    }
    const auto victim = m_policy.choose_victim(m_table, m_queue, now);
    if (!victim || !m_table.begin_unload(*victim, now)) {
        return;
    }
    actions.push_back(adapter_action(engine_action::kind::unload, *victim, 0));
    m_loads_awaiting_unload.insert(adapter);
    m_permit_by_adapter[adapter] = m_unused_permit;
    m_unused_permit = 0;
}

void engine_owner::start_loads_after_unload(std::vector<engine_action>& actions,
                                            core::time_point now)
{
    const auto pending = m_loads_awaiting_unload;
    for (const auto& adapter : pending) {
        if (m_table.find(adapter) == nullptr && m_table.free_slots() == 0) {
            const auto unloading = std::any_of(
                m_table.entries().begin(), m_table.entries().end(),
                [](const auto& item) { return item.second.state == residency::unloading; });
            if (unloading) {
                continue;
            }
        }
        m_loads_awaiting_unload.erase(adapter);
        const auto permit = m_permit_by_adapter.extract(adapter);
        const auto number = permit.empty() ? 0 : permit.mapped();
        if (m_table.begin_load(adapter, now)) {
            actions.push_back(adapter_action(engine_action::kind::load, adapter, number));
        }
        else if (number != 0) {
            actions.push_back(adapter_action(engine_action::kind::return_permit, {}, number));
        }
    }
}

} // namespace siskindrift::engines
