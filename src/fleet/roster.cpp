#include "siskindrift/fleet/roster.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace siskindrift::fleet {
namespace {

bool same_copies(const wire::fleet_upstream_t& left, const wire::fleet_upstream_t& right)
{
    return std::equal(left.copies.begin(), left.copies.end(), right.copies.begin(),
                      right.copies.end(), [](const auto& a, const auto& b) {
                          return a->model == b->model && a->adapter == b->adapter &&
                                 a->version == b->version;
                      });
}

bool same_attributes(const wire::fleet_upstream_t& left, const wire::fleet_upstream_t& right)
{
    return left.service == right.service && left.address == right.address &&
           left.born_ms == right.born_ms && left.state == right.state &&
           left.slots == right.slots && left.software_version == right.software_version;
}

constexpr auto unknown_drain_time = std::numeric_limits<std::uint32_t>::max();

std::optional<core::time_point> draining_since(const wire::fleet_upstream_t& upstream,
                                               core::time_point now)
{
    if (upstream.state != wire::fleet_state::draining ||
        upstream.draining_ms == unknown_drain_time) {
        return std::nullopt;
    }
    return now - core::milliseconds{upstream.draining_ms};
}

} // namespace

roster_change roster::update(wire::fleet_upstream_t announcement, core::time_point now,
                             core::duration age)
{
    const auto id = announcement.id;
    const auto found = m_entries.find(id);
    announcement.age_ms = 0;
    const auto told_since = draining_since(announcement, now);
    announcement.draining_ms = unknown_drain_time;
    if (found == m_entries.end()) {
        retire_address(announcement);
        m_entries[id] = {std::move(announcement), now - age, told_since};
        m_changed.insert(id);
        return roster_change::changed;
    }
    auto& entry = found->second;
    if (announcement.born_ms < entry.info.born_ms) {
        return roster_change::stale;
    }
    if (announcement.born_ms == entry.info.born_ms) {
        const bool already_gone = entry.info.state == wire::fleet_state::gone;
        const bool leaving = announcement.state == wire::fleet_state::gone && !already_gone;
        if (!leaving && (already_gone || announcement.sequence <= entry.info.sequence)) {
            return roster_change::stale;
        }
        // Draining cannot be undone within one run of an upstream.
        if (entry.info.state == wire::fleet_state::draining &&
            announcement.state == wire::fleet_state::ready) {
            announcement.state = wire::fleet_state::draining;
        }
    }
    const bool begins_to_drain = entry.info.state == wire::fleet_state::ready &&
                                 entry.info.born_ms == announcement.born_ms &&
                                 announcement.state == wire::fleet_state::draining;
    if (entry.info.born_ms != announcement.born_ms) {
        entry.draining_since.reset();
    }
    // What others have heard earlier counts: the earliest acknowledgement does.
    const auto heard_since = begins_to_drain ? std::optional{now - age} : std::nullopt;
    for (const auto& since : {told_since, heard_since}) {
        if (since) {
            entry.draining_since = std::min(entry.draining_since.value_or(*since), *since);
        }
    }
    const bool changed = !same_attributes(entry.info, announcement);
    const bool other_copies = !same_copies(entry.info, announcement);
    if (entry.info.address != announcement.address) {
        retire_address(announcement);
    }
    entry.info = std::move(announcement);
    entry.last_heard = std::max(entry.last_heard, now - age);
    (changed ? m_changed : m_refreshed).insert(id);
    if (changed) {
        return roster_change::changed;
    }
    if (other_copies) {
        m_changed_copies.insert(id);
        return roster_change::copies;
    }
    return roster_change::refreshed;
}

// An upstream that starts at an address replaces the one that used the address before.
void roster::retire_address(const wire::fleet_upstream_t& newcomer)
{
    for (auto& [id, entry] : m_entries) {
        const bool older = entry.info.born_ms < newcomer.born_ms;
        if (id != newcomer.id && older && entry.info.address == newcomer.address &&
            entry.info.state != wire::fleet_state::gone) {
            entry.info.state = wire::fleet_state::gone;
            m_changed.insert(id);
        }
    }
}

bool roster::mark_draining(const std::string& id, std::uint64_t born_ms, core::time_point now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.info.born_ms != born_ms ||
        found->second.info.state != wire::fleet_state::ready) {
        return false;
    }
    found->second.info.state = wire::fleet_state::draining;
    found->second.draining_since = now;
    m_changed.insert(id);
    return true;
}

bool roster::mark_gone(const std::string& id, core::time_point now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.info.state == wire::fleet_state::gone) {
        return false;
    }
    found->second.info.state = wire::fleet_state::gone;
    found->second.last_heard = now;
    m_changed.insert(id);
    return true;
}

void roster::refresh(const std::string& id, core::time_point now)
{
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        found->second.last_heard = now;
    }
}

wire::fleet_upstream_t roster::with_age(const roster_entry& entry, core::time_point now)
{
    auto info = entry.info;
    const auto age = std::max(core::to_ms(now - entry.last_heard), std::int64_t{0});
    info.age_ms = static_cast<std::uint32_t>(age);
    if (entry.draining_since) {
        const auto drained = std::max(core::to_ms(now - *entry.draining_since), std::int64_t{0});
        info.draining_ms = static_cast<std::uint32_t>(drained);
    }
    return info;
}

std::vector<wire::fleet_upstream_t> roster::take_changed_copies(core::time_point now)
{
    std::vector<wire::fleet_upstream_t> changed;
    for (const auto& id : std::exchange(m_changed_copies, {})) {
        if (const auto found = m_entries.find(id); found != m_entries.end()) {
            changed.push_back(with_age(found->second, now));
        }
    }
    return changed;
}

std::vector<wire::fleet_upstream_t> roster::take_changed(core::time_point now)
{
    std::erase_if(m_entries, [&](const auto& known) {
        return now - known.second.last_heard > m_options.retention;
    });
    std::vector<wire::fleet_upstream_t> changed;
    for (const auto& id : std::exchange(m_changed, {})) {
        m_refreshed.erase(id);
        m_changed_copies.erase(id);
        if (const auto found = m_entries.find(id); found != m_entries.end()) {
            changed.push_back(with_age(found->second, now));
        }
    }
    return changed;
}

std::vector<std::string> roster::take_refreshed()
{
    const auto refreshed = std::exchange(m_refreshed, {});
    return {refreshed.begin(), refreshed.end()};
}

bool roster::usable(const roster_entry& entry, core::time_point now) const
{
    return entry.info.state == wire::fleet_state::ready &&
           now - entry.last_heard <= m_options.silence_timeout;
}

bool roster::may_go_on(const roster_entry& entry, core::time_point now) const
{
    return entry.info.state == wire::fleet_state::draining && entry.draining_since &&
           now - *entry.draining_since <= m_options.drain_use_time &&
           now - entry.last_heard <= m_options.silence_timeout;
}

const roster_entry* roster::find(const std::string& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<wire::fleet_upstream_t> roster::snapshot(core::time_point now) const
{
    std::vector<wire::fleet_upstream_t> list;
    for (const auto& [id, entry] : m_entries) {
        list.push_back(with_age(entry, now));
    }
    return list;
}

} // namespace siskindrift::fleet
