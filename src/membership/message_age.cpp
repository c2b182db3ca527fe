#include "siskindrift/membership/message_age.h"

#include <algorithm>

namespace siskindrift::membership {

void pause_detector::record_activity(core::time_point now)
{
    const bool has_previous = m_last_activity != core::time_point{};
    if (has_previous && now - m_last_activity > m_options.pause) {
        m_backlog_until = now + m_options.backlog_time;
    }
    m_last_activity = now;
}

core::duration message_age_estimator::estimate(const std::string& peer, std::uint64_t incarnation,
                                               std::uint64_t sent_ms, core::time_point now)
{
    const auto offset = core::to_ms(now.time_since_epoch()) - static_cast<std::int64_t>(sent_ms);
    const auto [found, inserted] = m_baselines.try_emplace(peer);
    auto& known = found->second;
    if (inserted || known.incarnation != incarnation) {
        known = {incarnation, offset, offset, now};
    }
    else if (now - known.rotated > m_options.window) {
        known.previous = known.current;
        known.current = offset;
        known.rotated = now;
    }
    known.current = std::min(known.current, offset);
    return core::milliseconds{offset - std::min(known.current, known.previous)};
}

} // namespace siskindrift::membership
