#include "siskindrift/fleet/version_history.h"

#include <algorithm>
#include <iterator>

namespace siskindrift::fleet {

void version_history::record(std::uint64_t version, std::optional<core::time_point> named_at)
{
    auto& known = m_versions.try_emplace(version, named_at).first->second;
    if (named_at && (!known || *named_at < *known)) {
        known = named_at;
    }
}

std::optional<core::duration> version_history::outdated_for(std::uint64_t version,
                                                            core::time_point now) const
{
    std::optional<core::duration> longest;
    for (auto newer = m_versions.upper_bound(version); newer != m_versions.end(); ++newer) {
        const auto age = newer->second ? now - *newer->second : core::duration::max();
        longest = std::max(longest.value_or(age), age);
    }
    return longest;
}

void version_history::forget_before(core::time_point limit)
{
    const auto last = std::find_if(m_versions.rbegin(), m_versions.rend(), [&](const auto& item) {
        return item.second && *item.second < limit;
    });
    if (last != m_versions.rend()) {
        m_versions.erase(m_versions.begin(), std::prev(last.base()));
    }
}

} // namespace siskindrift::fleet
