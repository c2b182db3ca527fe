// The latest announcements of the upstreams and their ages.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::membership {

/// Age limits of announcements.
struct registry_options {
    /// Maximum age of the last announcement of an upstream that may get new work. Announcements
    /// are sent once a second and one may be lost. Less than the two seconds within which an
    /// upstream that is leaving must no longer get new work.
    core::duration admission_age = core::milliseconds{1900};
    /// Age at which an upstream is removed.
    core::duration retention = core::milliseconds{15'000};
};

/// The latest announcement of an upstream.
struct upstream_record {
    wire::announcement_t last_announcement;
    core::time_point last_heard; ///< Estimated time at which the upstream sent it.
};

/// Effect of an announcement.
enum class announcement_effect : std::uint8_t {
    stale,     ///< Not newer than the known one; ignored.
    refreshed, ///< Newer announcement of the same incarnation.
    restarted, ///< First announcement of a new incarnation.
};

/// All known upstreams.
class upstream_registry {
public:
    explicit upstream_registry(registry_options options = {}) : m_options(options) {}

    /// Applies an announcement whose `age_ms` is its age on arrival.
    announcement_effect update(const wire::announcement_t& announcement, core::time_point now);

    /// Returns the record of upstream @p id, or null.
    [[nodiscard]] const upstream_record* find(const core::upstream_id& id) const;

    /// Returns whether upstream @p id may get new work: its state is `serving` and it was heard
    /// within the admission age.
    [[nodiscard]] bool is_admissible(const core::upstream_id& id, core::time_point now) const;

    /// Returns whether upstream @p id was heard within the admission age.
    [[nodiscard]] bool is_fresh(const core::upstream_id& id, core::time_point now) const;

    /// Removes upstreams that were silent for longer than the retention.
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
