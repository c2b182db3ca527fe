#include "siskindrift/control/place_manager.h"

#include <algorithm>
#include <utility>

namespace siskindrift::control {

void place_manager::begin_term(core::time_point now)
{
    m_term_began = now;
    m_upstreams.clear();
}

std::uint32_t place_manager::fair_part(const upstream_state& state, std::uint32_t slots)
{
    std::vector<std::uint32_t> demands;
    for (const auto& [vm, item] : state.holders) {
        demands.push_back(item.demand);
    }
    std::sort(demands.begin(), demands.end());
    std::uint32_t left = slots;
    auto sharing = static_cast<std::uint32_t>(demands.size());
    for (const auto demand : demands) {
        if (demand > left / sharing) {
            break;
        }
        left -= demand;
        --sharing;
    }
    // Rounded up: the last places go to those that ask first.
    return sharing == 0 ? slots : (left + sharing - 1) / sharing;
}

wire::place_grant_t place_manager::grant(const std::string& vm, const wire::place_wish_t& wish,
                                         std::uint32_t slots, core::time_point now)
{
    std::erase_if(m_upstreams,
                  [&](const auto& item) { return now - item.second.used_at > m_options.lease; });
    m_changed = m_changed || !m_upstreams.contains(wish.upstream);
    auto& state = m_upstreams[wish.upstream];
    if (wish.born_ms > state.born_ms) {
        state.holders.clear();
        state.born_ms = wish.born_ms;
        m_changed = true;
    }
    state.used_at = now;
    std::erase_if(state.holders,
                  [&](const auto& item) { return now - item.second.told_at > m_options.lease; });
    auto& own = state.holders[vm];
    own.demand = wish.in_use + wish.waiting;
    own.told_at = now;
    std::uint32_t others = 0;
    for (const auto& [name, item] : state.holders) {
        others += name == vm ? 0 : item.places;
    }
    const auto free = slots > others ? slots - others : 0;
    wire::place_grant_t granted;
    granted.upstream = wish.upstream;
    granted.places = std::min({own.demand, fair_part(state, slots), free});
    if (now - m_term_began < m_options.collection_time) {
        granted.places = std::min(granted.places, wish.in_use);
    }
    own.places = std::max(granted.places, wish.in_use);
    return granted;
}

std::vector<wire::divided_upstream_t> place_manager::divided(core::time_point now) const
{
    std::vector<wire::divided_upstream_t> list;
    for (const auto& [upstream, state] : m_upstreams) {
        if (now - state.used_at <= m_options.lease) {
            wire::divided_upstream_t item;
            item.upstream = upstream;
            item.born_ms = state.born_ms;
            list.push_back(std::move(item));
        }
    }
    return list;
}

bool place_manager::take_changed()
{
    return std::exchange(m_changed, false);
}

} // namespace siskindrift::control
