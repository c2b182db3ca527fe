#include "siskindrift/engines/engine_queue.h"

#include <algorithm>
#include <utility>

namespace siskindrift::engines {

void engine_queue::push(queued_work work)
{
    auto& last = m_last_finish_tag[work.team];
    work.finish_tag = std::max(last, m_virtual_time) + work.cost / std::max(work.weight, 1e-6);
    last = work.finish_tag;
    ++m_waiting_by_adapter[work.adapter];
    const auto position = std::upper_bound(
        m_waiting.begin(), m_waiting.end(), work, [](const auto& a, const auto& b) {
            return a.priority != b.priority ? a.priority > b.priority : a.finish_tag < b.finish_tag;
        });
    m_waiting.insert(position, std::move(work));
}

void engine_queue::account_removal(const queued_work& work)
{
    m_virtual_time = std::max(m_virtual_time, work.finish_tag - work.cost / work.weight);
    const auto count = m_waiting_by_adapter.find(work.adapter);
    if (count != m_waiting_by_adapter.end() && --count->second == 0) {
        m_waiting_by_adapter.erase(count);
    }
    if (m_waiting.empty()) {
        m_last_finish_tag.clear();
        m_virtual_time = 0.0;
    }
}

std::optional<queued_work> engine_queue::remove(work_id id)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const auto& work) { return work.id == id; });
    if (found == m_waiting.end()) {
        return std::nullopt;
    }
    auto work = std::move(*found);
    m_waiting.erase(found);
    account_removal(work);
    return work;
}

std::vector<queued_work> engine_queue::take_expired(core::time_point now)
{
    std::vector<queued_work> expired;
    for (const auto& work : m_waiting) {
        if (work.deadline <= now) {
            expired.push_back(work);
        }
    }
    for (const auto& work : expired) {
        remove(work.id);
    }
    return expired;
}

std::uint32_t engine_queue::waiting_for(const core::adapter_version& adapter) const
{
    const auto found = m_waiting_by_adapter.find(adapter);
    return found == m_waiting_by_adapter.end() ? 0 : found->second;
}

} // namespace siskindrift::engines
