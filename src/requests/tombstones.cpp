#include "siskindrift/requests/tombstones.h"

namespace siskindrift::requests {

void tombstones::set(const attempt_key& key, attempt_fate fate, core::time_point now)
{
    const auto [found, inserted] = m_fates.try_emplace(key, fate);
    if (inserted) {
        m_order.emplace_back(now, key);
        return;
    }
    if (found->second != attempt_fate::started) {
        found->second = fate;
    }
}

attempt_fate tombstones::of(const attempt_key& key) const
{
    const auto found = m_fates.find(key);
    return found == m_fates.end() ? attempt_fate::unseen : found->second;
}

void tombstones::forget_old(core::time_point now)
{
    while (!m_order.empty() && now - m_order.front().first > m_life) {
        m_fates.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace siskindrift::requests
