#include "siskindrift/engines/residency_table.h"

#include <algorithm>
#include <cmath>

namespace siskindrift::engines {

void residency_table::set_state(resident_entry& entry, residency state, core::time_point now) const
{
    entry.state = state;
    entry.since = now;
    entry.ignore_reports_until = now + m_options.max_report_age;
}

void residency_table::take_over(const std::vector<wire::resident_info_t>& reported,
                                core::time_point now)
{
    clear();
    for (const auto& info : reported) {
        auto& entry = m_entries[core::adapter_version{info.adapter}];
        set_state(entry, residency::resident, now);
        entry.foreign_requests = info.running;
        entry.pinned = true;
        // The last request of the previous owner may not have reached the engine yet.
        entry.ignore_reports_until = now + m_options.max_report_age + m_options.max_order_delay;
    }
}

void residency_table::on_report(const std::vector<wire::resident_info_t>& reported,
                                core::time_point now)
{
    std::map<core::adapter_version, std::uint32_t> running;
    for (const auto& info : reported) {
        running[core::adapter_version{info.adapter}] = info.running;
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        auto& [adapter, tracked] = *entry;
        const auto reported_running = running.find(adapter);
        const bool report_valid = now >= tracked.ignore_reports_until;
        const bool order_in_progress =
            tracked.state == residency::loading || tracked.state == residency::unloading;
        if (reported_running == running.end()) {
            const bool gone = report_valid && !order_in_progress && tracked.in_use == 0;
            entry = gone ? m_entries.erase(entry) : std::next(entry);
            continue;
        }
        if (report_valid && !order_in_progress) {
            if (tracked.state == residency::unknown) {
                set_state(tracked, residency::resident, now);
            }
            // Only requests of a previous owner are foreign. Finished requests of this owner that
            // an outdated report still counts must not pin the adapter.
            if (tracked.pinned) {
                tracked.foreign_requests = reported_running->second > tracked.in_use
                                               ? reported_running->second - tracked.in_use
                                               : 0;
                tracked.pinned = tracked.foreign_requests > 0;
            }
        }
        ++entry;
    }
    for (const auto& [adapter, count] : running) {
        if (m_entries.contains(adapter)) {
            continue;
        }
        // A previous owner ordered this load, and its requests may still use the adapter.
        auto& entry = m_entries[adapter];
        set_state(entry, residency::resident, now);
        entry.foreign_requests = count;
        entry.pinned = true;
        entry.ignore_reports_until = now + m_options.max_report_age + m_options.max_order_delay;
    }
}

bool residency_table::begin_load(const core::adapter_version& adapter, core::time_point now)
{
    if (free_slots() == 0 || m_entries.contains(adapter)) {
        return false;
    }
    set_state(m_entries[adapter], residency::loading, now);
    return true;
}

void residency_table::finish_load(const core::adapter_version& adapter, bool loaded,
                                  core::time_point now)
{
    const auto found = m_entries.find(adapter);
    if (found == m_entries.end() || found->second.state != residency::loading) {
        return;
    }
    if (loaded) {
        set_state(found->second, residency::resident, now);
        found->second.last_used = now;
    }
    else {
        m_entries.erase(found);
    }
}

bool residency_table::begin_unload(const core::adapter_version& adapter, core::time_point now)
{
    if (!evictable(adapter)) {
        return false;
    }
    set_state(m_entries.at(adapter), residency::unloading, now);
    return true;
}

void residency_table::finish_unload(const core::adapter_version& adapter, bool unloaded,
                                    core::time_point now)
{
    const auto found = m_entries.find(adapter);
    if (found == m_entries.end() || found->second.state != residency::unloading) {
        return;
    }
    if (unloaded) {
        m_entries.erase(found);
    }
    else {
        set_state(found->second, residency::resident, now);
    }
}

void residency_table::mark_unknown(const core::adapter_version& adapter, core::time_point now)
{
    const auto found = m_entries.find(adapter);
    if (found != m_entries.end()) {
        set_state(found->second, residency::unknown, now);
        found->second.ignore_reports_until =
            now + m_options.max_report_age + m_options.max_order_delay;
    }
}

bool residency_table::acquire(const core::adapter_version& adapter, core::time_point now)
{
    if (!resident(adapter)) {
        return false;
    }
    auto& entry = m_entries.at(adapter);
    ++entry.in_use;
    entry.last_used = now;
    return true;
}

void residency_table::release(const core::adapter_version& adapter, core::time_point now)
{
    const auto found = m_entries.find(adapter);
    if (found != m_entries.end() && found->second.in_use > 0) {
        --found->second.in_use;
        found->second.last_used = now;
    }
}

void residency_table::release_pinned(const core::adapter_version& adapter, core::time_point now)
{
    release(adapter, now);
    const auto found = m_entries.find(adapter);
    if (found != m_entries.end()) {
        found->second.pinned = true;
        found->second.ignore_reports_until =
            now + m_options.max_report_age + m_options.max_order_delay;
    }
}

double residency_table::decayed(const demand_rate& rate, core::time_point now) const
{
    const std::chrono::duration<double> age = now - rate.updated_at;
    const std::chrono::duration<double> half_life = m_options.demand_half_life;
    return rate.value * std::exp2(-age.count() / half_life.count());
}

void residency_table::record_demand(const core::adapter_version& adapter, core::time_point now)
{
    auto& rate = m_demand_rates[adapter];
    rate.value = decayed(rate, now) + 1.0;
    rate.updated_at = now;
    if (now - m_last_rate_cleanup < m_options.demand_half_life) {
        return;
    }
    m_last_rate_cleanup = now;
    constexpr double min_rate = 0.05;
    std::erase_if(m_demand_rates,
                  [&](const auto& item) { return decayed(item.second, now) < min_rate; });
}

double residency_table::demand(const core::adapter_version& adapter, core::time_point now) const
{
    const auto found = m_demand_rates.find(adapter);
    if (found == m_demand_rates.end()) {
        return 0.0;
    }
    // The long half-life distinguishes rare adapters from even rarer ones. When several expected
    // uses in a row are missing, a popular adapter has lost its demand long before its count
    // decays.
    const double uses = decayed(found->second, now);
    const std::chrono::duration<double> silence = now - found->second.updated_at;
    const std::chrono::duration<double> half_life = m_options.demand_half_life;
    const double missed = silence.count() * uses * std::log(2.0) / half_life.count();
    return missed <= m_options.max_missed_uses
               ? uses
               : uses * std::exp(m_options.max_missed_uses - missed);
}

const resident_entry* residency_table::find(const core::adapter_version& adapter) const
{
    const auto found = m_entries.find(adapter);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool residency_table::evictable(const core::adapter_version& adapter) const
{
    const auto* entry = find(adapter);
    return entry != nullptr && entry->state == residency::resident && entry->in_use == 0 &&
           entry->foreign_requests == 0 && !entry->pinned;
}

bool residency_table::resident(const core::adapter_version& adapter) const
{
    const auto* entry = find(adapter);
    return entry != nullptr && entry->state == residency::resident;
}

std::uint32_t residency_table::free_slots() const
{
    const auto used = static_cast<std::uint32_t>(m_entries.size());
    return used >= m_slots ? 0 : m_slots - used;
}

void residency_table::clear()
{
    m_entries.clear();
}

} // namespace siskindrift::engines
