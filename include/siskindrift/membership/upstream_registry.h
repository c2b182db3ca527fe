// What upstreams announced about themselves, with its age.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::membership {

/// Ages at which an announcement stops counting.
struct registry_options {
    /// Announcements come once a second; one may be lost. Below the two seconds within
    /// which a leaving upstream must get no new work.
    core::duration admission_age = core::milliseconds{1900};
    core::duration forget_age = core::milliseconds{15'000};
};

/// The last word of one upstream.
struct upstream_record {
    wire::announcement_t last_announcement;
    core::time_point heard; ///< When the upstream said it, as far as known.
};

/// Result of taking in an announcement.
enum class announcement_effect : std::uint8_t {
    stale,     ///< Older than what is known; ignored.
    refreshed, ///< Newer word of the same incarnation.
    restarted, ///< First word of a new incarnation.
};

/// All known upstreams.
class upstream_registry {
public:
    explicit upstream_registry(registry_options options = {}) : m_options(options) {}

    /// Takes in an announcement that is `age_ms` old on arrival.
    announcement_effect update(const wire::announcement_t& said, core::time_point now);

    [[nodiscard]] const upstream_record* find(const core::upstream_id& id) const;

    /// Returns whether new work may go to @p id: it says `serving`, recently enough.
    [[nodiscard]] bool is_admissible(const core::upstream_id& id, core::time_point now) const;

    /// Returns whether the upstream was heard within the admission age.
    [[nodiscard]] bool is_fresh(const core::upstream_id& id, core::time_point now) const;

    /// Drops upstreams that were silent for long.
    void remove_silent(core::time_point now);

    [[nodiscard]] const std::map<core::upstream_id, upstream_record>& all() const
    {
        return m_records;
    }

private:
    registry_options m_options;
    std::map<core::upstream_id, upstream_record> m_records;
};

} // namespace siskindrift::membership
