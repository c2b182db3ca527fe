#include "siskindrift/adapters/unserved_adapters.h"

#include <algorithm>

namespace siskindrift::adapters {

void unserved_adapters::record_requests(const adapter_name& name, core::time_point since,
                                        core::time_point now, std::uint32_t count)
{
    remove_forgotten(now);
    const auto [found, added] = m_adapters.try_emplace(name, entry{{since, 0}, now});
    auto& item = found->second;
    item.requests.since = std::min(item.requests.since, since);
    item.requests.count += count;
    item.last_requested = now;
}

const unserved_adapters::unserved_requests* unserved_adapters::find(const adapter_name& name) const
{
    const auto found = m_adapters.find(name);
    return found == m_adapters.end() ? nullptr : &found->second.requests;
}

std::vector<std::pair<unserved_adapters::adapter_name, unserved_adapters::unserved_requests>>
unserved_adapters::all() const
{
    std::vector<std::pair<adapter_name, unserved_requests>> list;
    list.reserve(m_adapters.size());
    for (const auto& [name, item] : m_adapters) {
        list.emplace_back(name, item.requests);
    }
    return list;
}

void unserved_adapters::remove_forgotten(core::time_point now)
{
    if (now >= m_cleanup_due) {
        m_cleanup_due = now + m_options.cleanup_interval;
        std::erase_if(m_adapters, [&](const auto& item) {
            return now - item.second.last_requested > m_options.memory_time;
        });
    }
    if (m_adapters.size() >= m_options.max_adapters) {
        m_adapters.erase(std::min_element(
            m_adapters.begin(), m_adapters.end(), [](const auto& left, const auto& right) {
                return left.second.last_requested < right.second.last_requested;
            }));
    }
}

} // namespace siskindrift::adapters
