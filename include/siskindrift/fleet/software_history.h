// Which software versions of a service have served lately.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "siskindrift/core/clock.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::fleet {

/// Parameters of a software history.
struct software_history_options {
    /// How long after its last announcement an upstream may still get requests.
    core::duration silence_timeout = core::milliseconds{3700};
    /// Time without contact to the sources of announcements after which versions may have come and
    /// gone unseen.
    core::duration max_gap = core::milliseconds{5000};
    /// Time from new contact until all upstreams have announced themselves again.
    core::duration settling_time = core::milliseconds{1500};
    /// How long sources remember upstreams that have gone.
    core::duration source_memory = core::milliseconds{60'000};
};

/// The versions of a service that may have begun a stream in some time.
struct software_versions {
    wire::version_count count = wire::version_count::unsure;
    std::string only; ///< The version, if `count` is `one`.
};

/// Records when each software version of a service was last announced, and whether announcements
/// may have been missed. Performs no I/O.
class software_history {
public:
    explicit software_history(software_history_options options = {}) : m_options(options) {}

    /// Records that an upstream of @p version was announced at @p heard.
    /// @return whether the version is new to this process.
    bool record(const std::string& service, const std::string& version, core::time_point heard);

    /// Records that a source of announcements has told all that it remembers.
    /// @param known_since time since which that source knows all versions.
    void on_contact(core::time_point known_since, core::time_point now);
    /// Records that the last source of announcements is out of contact.
    void on_contact_lost(core::time_point now);

    /// Returns the versions that may have begun a stream of @p service within @p span.
    [[nodiscard]] software_versions versions(const std::string& service, core::duration span,
                                             core::time_point now) const;
    /// Returns whether more than one version of @p service was announced within @p span.
    [[nodiscard]] bool has_several(const std::string& service, core::duration span,
                                   core::time_point now) const;

    /// Returns the services and versions that were announced within @p span.
    [[nodiscard]] std::set<std::pair<std::string, std::string>>
    heard_within(core::duration span, core::time_point now) const;

    /// Returns the time since which this process knows all versions, or none if it knows nothing.
    [[nodiscard]] std::optional<core::time_point> complete_since() const
    {
        return m_complete_since;
    }

private:
    software_history_options m_options;
    /// Time of the last announcement, by service and version.
    std::map<std::string, std::map<std::string, core::time_point>> m_last_heard;
    std::optional<core::time_point> m_complete_since;
    std::optional<core::time_point> m_lost_at; ///< Since when there is no contact.
    core::time_point m_settled_at{};           ///< When the last gap doesn't matter any more.
};

} // namespace siskindrift::fleet
