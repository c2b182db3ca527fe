#include "siskindrift/requests/tombstones.h"

namespace siskindrift::requests {

void tombstones::set(const attempt_key& key, attempt_state state, core::time_point now)
{
    const auto [found, inserted] = m_states.try_emplace(key, state);
    if (inserted) {
        m_order.emplace_back(now, key);
        return;
    }
    if (found->second != attempt_state::started) {
        found->second = state;
    }
}

attempt_state tombstones::state_of(const attempt_key& key) const
{
    const auto found = m_states.find(key);
    return found == m_states.end() ? attempt_state::unknown : found->second;
}

void tombstones::remove_expired(core::time_point now)
{
    while (!m_order.empty() && now - m_order.front().first > m_ttl) {
        m_states.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace siskindrift::requests
