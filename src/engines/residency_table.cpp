#include "siskindrift/engines/residency_table.h"

#include <algorithm>
#include <cmath>

namespace siskindrift::engines {

void residency_table::enter(resident_entry& entry, residency state, core::time_point now) const
{
    entry.state = state;
    entry.since = now;
    entry.settled_after = now + m_options.report_lag;
}

void residency_table::take_over(const std::vector<wire::resident_info_t>& reported,
                                core::time_point now)
{
    clear();
    for (const auto& info : reported) {
        auto& entry = m_entries[core::adapter_version{info.adapter}];
        enter(entry, residency::resident, now);
        entry.foreign = info.running;
        entry.pinned_unknown = true;
        // A request that the predecessor sent last may still be on its way.
        entry.settled_after = now + m_options.report_lag + m_options.order_delay;
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
        auto& [adapter, known] = *entry;
        const auto said = running.find(adapter);
        const bool settled = now >= known.settled_after;
        const bool ordered =
            known.state == residency::loading || known.state == residency::unloading;
        if (said == running.end()) {
            const bool gone = settled && !ordered && known.in_use == 0;
            entry = gone ? m_entries.erase(entry) : std::next(entry);
            continue;
        }
        if (settled && !ordered) {
            if (known.state == residency::unknown) {
                enter(known, residency::resident, now);
            }
            // Only a predecessor's requests can be foreign; a lagging report of our own
            // finished requests must not pin the adapter.
            if (known.pinned_unknown) {
                known.foreign = said->second > known.in_use ? said->second - known.in_use : 0;
                known.pinned_unknown = known.foreign > 0;
            }
        }
        ++entry;
    }
    for (const auto& [adapter, count] : running) {
        if (m_entries.contains(adapter)) {
            continue;
        }
        // Not of our doing: a predecessor's order, perhaps still in use by its requests.
        auto& entry = m_entries[adapter];
        enter(entry, residency::resident, now);
        entry.foreign = count;
        entry.pinned_unknown = true;
        entry.settled_after = now + m_options.report_lag + m_options.order_delay;
    }
}

bool residency_table::begin_load(const core::adapter_version& adapter, core::time_point now)
{
    if (free_slots() == 0 || m_entries.contains(adapter)) {
        return false;
    }
    enter(m_entries[adapter], residency::loading, now);
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
        enter(found->second, residency::resident, now);
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
    enter(m_entries.at(adapter), residency::unloading, now);
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
        enter(found->second, residency::resident, now);
    }
}

void residency_table::lose_answer(const core::adapter_version& adapter, core::time_point now)
{
    const auto found = m_entries.find(adapter);
    if (found != m_entries.end()) {
        enter(found->second, residency::unknown, now);
        found->second.settled_after = now + m_options.report_lag + m_options.order_delay;
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

void residency_table::release_unsure(const core::adapter_version& adapter, core::time_point now)
{
    release(adapter, now);
    const auto found = m_entries.find(adapter);
    if (found != m_entries.end()) {
        found->second.pinned_unknown = true;
        found->second.settled_after = now + m_options.report_lag + m_options.order_delay;
    }
}

double residency_table::decayed(const rate& known, core::time_point now) const
{
    const std::chrono::duration<double> age = now - known.at;
    const std::chrono::duration<double> half_life = m_options.rate_half_life;
    return known.value * std::exp2(-age.count() / half_life.count());
}

void residency_table::note_demand(const core::adapter_version& adapter, core::time_point now)
{
    auto& known = m_rates[adapter];
    known.value = decayed(known, now) + 1.0;
    known.at = now;
    if (now - m_rates_trimmed < m_options.rate_half_life) {
        return;
    }
    m_rates_trimmed = now;
    constexpr double forgotten = 0.05;
    std::erase_if(m_rates, [&](const auto& item) { return decayed(item.second, now) < forgotten; });
}

double residency_table::demand(const core::adapter_version& adapter, core::time_point now) const
{
    const auto found = m_rates.find(adapter);
    if (found == m_rates.end()) {
        return 0.0;
    }
    // The long memory tells rare from rarer; silence of several expected uses tells that a
    // popular adapter has gone cold, long before its count decays.
    const double count = decayed(found->second, now);
    const std::chrono::duration<double> silence = now - found->second.at;
    const std::chrono::duration<double> half_life = m_options.rate_half_life;
    const double missed = silence.count() * count * std::log(2.0) / half_life.count();
    return missed <= m_options.silent_uses ? count
                                           : count * std::exp(m_options.silent_uses - missed);
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
           entry->foreign == 0 && !entry->pinned_unknown;
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
