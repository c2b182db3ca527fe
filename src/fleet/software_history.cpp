#include "siskindrift/fleet/software_history.h"

#include <algorithm>

namespace siskindrift::fleet {

bool software_history::record(const std::string& service, const std::string& version,
                              core::time_point heard)
{
    const auto [item, added] = m_last_heard[service].try_emplace(version, heard);
    item->second = std::max(item->second, heard);
    return added;
}

void software_history::on_contact(core::time_point known_since, core::time_point now)
{
    const auto told_since = std::max(known_since, now - m_options.source_memory);
    if (!m_complete_since || !m_lost_at) {
        m_complete_since = std::min(m_complete_since.value_or(told_since), told_since);
        return;
    }
    // An upstream that was announced in a short gap still is, or served for no longer than that.
    if (now - *m_lost_at > m_options.max_gap && told_since > *m_lost_at) {
        m_complete_since = told_since;
    }
    m_lost_at.reset();
    m_settled_at = now + m_options.settling_time;
}

void software_history::on_contact_lost(core::time_point now)
{
    if (m_complete_since && !m_lost_at) {
        m_lost_at = now;
    }
}

std::set<std::pair<std::string, std::string>>
software_history::heard_within(core::duration span, core::time_point now) const
{
    std::set<std::pair<std::string, std::string>> heard;
    for (const auto& [service, versions] : m_last_heard) {
        for (const auto& [version, last] : versions) {
            if (now - last <= span) {
                heard.emplace(service, version);
            }
        }
    }
    return heard;
}

bool software_history::has_several(const std::string& service, core::duration span,
                                   core::time_point now) const
{
    const auto found = m_last_heard.find(service);
    if (found == m_last_heard.end()) {
        return false;
    }
    return std::count_if(found->second.begin(), found->second.end(), [&](const auto& item) {
               return item.second + m_options.silence_timeout + span > now;
           }) > 1;
}

software_versions software_history::versions(const std::string& service, core::duration span,
                                             core::time_point now) const
{
    software_versions result;
    if (has_several(service, span, now)) {
        result.count = wire::version_count::several;
        return result;
    }
    const auto found = m_last_heard.find(service);
    const bool complete =
        m_complete_since && !m_lost_at && now >= m_settled_at && *m_complete_since + span <= now;
    if (!complete || found == m_last_heard.end() || found->second.empty()) {
        return result;
    }
    const auto latest = std::max_element(
        found->second.begin(), found->second.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    // Upstreams that don't name their versions may be of several.
    if (!latest->first.empty()) {
        result.count = wire::version_count::one;
        result.only = latest->first;
    }
    return result;
}

} // namespace siskindrift::fleet
