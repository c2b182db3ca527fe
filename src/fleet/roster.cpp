#include "siskindrift/fleet/roster.h"

#include <algorithm>
#include <utility>

namespace siskindrift::fleet {
namespace {

bool same_copies(const wire::fleet_upstream_t& left, const wire::fleet_upstream_t& right)
{
    return std::equal(left.copies.begin(), left.copies.end(), right.copies.begin(),
                      right.copies.end(), [](const auto& one, const auto& other) {
                          return one->model == other->model && one->adapter == other->adapter &&
                                 one->version == other->version;
                      });
}

bool same_place(const wire::fleet_upstream_t& left, const wire::fleet_upstream_t& right)
{
    return left.service == right.service && left.address == right.address &&
           left.born_ms == right.born_ms && left.state == right.state && left.slots == right.slots;
}

} // namespace

roster_change roster::update(wire::fleet_upstream_t word, core::time_point now, core::duration age)
{
    const auto id = word.id;
    const auto found = m_items.find(id);
    word.age_ms = 0;
    if (found == m_items.end()) {
        retire_address(word);
        m_items[id] = {std::move(word), now - age};
        m_changed.insert(id);
        return roster_change::changed;
    }
    auto& item = found->second;
    if (word.born_ms < item.info.born_ms) {
        return roster_change::stale;
    }
    if (word.born_ms == item.info.born_ms) {
        const bool gone = item.info.state == wire::fleet_state::gone;
        const bool leaves = word.state == wire::fleet_state::gone && !gone;
        if (!leaves && (gone || word.sequence <= item.info.sequence)) {
            return roster_change::stale;
        }
        // Leaving is final for one run of an upstream.
        if (item.info.state == wire::fleet_state::draining &&
            word.state == wire::fleet_state::ready) {
            word.state = wire::fleet_state::draining;
        }
    }
    const bool changed = !same_place(item.info, word) || !same_copies(item.info, word);
    if (item.info.address != word.address) {
        retire_address(word);
    }
    item.info = std::move(word);
    item.heard = std::max(item.heard, now - age);
    (changed ? m_changed : m_heard).insert(id);
    return changed ? roster_change::changed : roster_change::refreshed;
}

// A newcomer at an address shows that whoever was there before is gone.
void roster::retire_address(const wire::fleet_upstream_t& newcomer)
{
    for (auto& [id, item] : m_items) {
        const bool older = item.info.born_ms < newcomer.born_ms;
        if (id != newcomer.id && older && item.info.address == newcomer.address &&
            item.info.state != wire::fleet_state::gone) {
            item.info.state = wire::fleet_state::gone;
            m_changed.insert(id);
        }
    }
}

bool roster::mark_gone(const std::string& id, core::time_point now)
{
    const auto found = m_items.find(id);
    if (found == m_items.end() || found->second.info.state == wire::fleet_state::gone) {
        return false;
    }
    found->second.info.state = wire::fleet_state::gone;
    found->second.heard = now;
    m_changed.insert(id);
    return true;
}

void roster::refresh(const std::string& id, core::time_point now)
{
    if (const auto found = m_items.find(id); found != m_items.end()) {
        found->second.heard = now;
    }
}

std::vector<wire::fleet_upstream_t> roster::take_changed(core::time_point now)
{
    std::erase_if(m_items, [&](const auto& entry) {
        return now - entry.second.heard > m_options.forget_after;
    });
    std::vector<wire::fleet_upstream_t> changed;
    for (const auto& id : std::exchange(m_changed, {})) {
        m_heard.erase(id);
        if (const auto found = m_items.find(id); found != m_items.end()) {
            changed.push_back(found->second.info);
            const auto age = std::max(core::to_ms(now - found->second.heard), std::int64_t{0});
            changed.back().age_ms = static_cast<std::uint32_t>(age);
        }
    }
    return changed;
}

std::vector<std::string> roster::take_refreshed()
{
    const auto heard = std::exchange(m_heard, {});
    return {heard.begin(), heard.end()};
}

bool roster::usable(const roster_entry& item, core::time_point now) const
{
    return item.info.state == wire::fleet_state::ready &&
           now - item.heard <= m_options.silence_timeout;
}

const roster_entry* roster::find(const std::string& id) const
{
    const auto found = m_items.find(id);
    return found == m_items.end() ? nullptr : &found->second;
}

std::vector<wire::fleet_upstream_t> roster::snapshot(core::time_point now) const
{
    std::vector<wire::fleet_upstream_t> list;
    for (const auto& [id, item] : m_items) {
        list.push_back(item.info);
        const auto age = std::max(core::to_ms(now - item.heard), std::int64_t{0});
        list.back().age_ms = static_cast<std::uint32_t>(age);
    }
    return list;
}

} // namespace siskindrift::fleet
