#include "siskindrift/membership/upstream_registry.h"

namespace siskindrift::membership {

announcement_effect upstream_registry::update(const wire::announcement_t& announcement,
                                              core::time_point now)
{
    const core::upstream_id id{announcement.upstream};
    const auto sent_at = now - core::milliseconds{announcement.age_ms};
    const auto [found, inserted] = m_records.try_emplace(id);
    auto& known = found->second;
    if (!inserted) {
        const bool older = announcement.incarnation < known.last_announcement.incarnation ||
                           (announcement.incarnation == known.last_announcement.incarnation &&
                            announcement.sequence <= known.last_announcement.sequence);
        if (older) {
            return announcement_effect::stale;
        }
    }
    const bool restarted =
        inserted || announcement.incarnation != known.last_announcement.incarnation;
    known.last_announcement = announcement;
    known.last_heard = sent_at;
    return restarted ? announcement_effect::restarted : announcement_effect::refreshed;
}

const upstream_record* upstream_registry::find(const core::upstream_id& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

bool upstream_registry::is_fresh(const core::upstream_id& id, core::time_point now) const
{
    const auto* known = find(id);
    return known != nullptr && now - known->last_heard <= m_options.admission_age;
}

bool upstream_registry::is_admissible(const core::upstream_id& id, core::time_point now) const
{
    const auto* known = find(id);
    return known != nullptr && known->last_announcement.state == wire::upstream_state::serving &&
           now - known->last_heard <= m_options.admission_age;
}

void upstream_registry::remove_silent(core::time_point now)
{
    std::erase_if(m_records, [&](const auto& item) {
        return now - item.second.last_heard > m_options.retention;
    });
}

} // namespace siskindrift::membership
