// When the versions of an adapter became current.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "siskindrift/core/clock.h"

namespace siskindrift::fleet {

/// The versions of one adapter that were named lately. Each is outdated from the moment at which
/// the first newer one was named, however many were named since.
class version_history {
public:
    /// Records a version, in any order.
    /// @param named_at when it was acknowledged at the latest, or no value if that is unknown and
    ///     may be long ago. A known time replaces an unknown one, and an earlier a later one.
    void record(std::uint64_t version, std::optional<core::time_point> named_at);

    /// Returns the newest version, or 0.
    [[nodiscard]] std::uint64_t current() const
    {
        return m_versions.empty() ? 0 : m_versions.rbegin()->first;
    }

    /// Returns for how long @p version has been outdated, or no value if none is newer. The time
    /// is the largest one if it isn't known.
    [[nodiscard]] std::optional<core::duration> outdated_for(std::uint64_t version,
                                                             core::time_point now) const;

    /// Returns the versions with the times at which they were named.
    [[nodiscard]] const std::map<std::uint64_t, std::optional<core::time_point>>& versions() const
    {
        return m_versions;
    }

    /// Removes versions that tell nothing more: all that are older than one that was named before
    /// @p limit. An unknown time may still become known, so it removes none.
    void forget_before(core::time_point limit);

private:
    std::map<std::uint64_t, std::optional<core::time_point>> m_versions;
};

} // namespace siskindrift::fleet
