// Keeps the software versions of upstreams in the replicated state.
#pragma once

#include <optional>

#include "siskindrift/core/clock.h"
#include "siskindrift/fleet/software_history.h"
#include "siskindrift/state/control_state.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::control {

/// Parameters of a software version manager.
struct software_version_options {
    /// Time without an announcement after which a version is removed. Longer than streams last.
    core::duration retention = core::milliseconds{120'000};
    /// Least time between two changes.
    core::duration change_interval = core::milliseconds{100};
};

/// Decides on the leader which changes of the versions to propose, so that it is known which ones
/// have served also after all processes were restarted. Performs no I/O.
class software_version_manager {
public:
    explicit software_version_manager(software_version_options options = {}) : m_options(options) {}

    /// Returns the change to propose, if any.
    /// @param replicated versions in the replicated state.
    /// @param history versions that this process has heard of.
    [[nodiscard]] std::optional<wire::change_software_versions_t>
    next_change(const state::service_versions& replicated, const fleet::software_history& history,
                core::time_point now);

private:
    software_version_options m_options;
    core::time_point m_last_change{};
};

/// Adds to an answer that is unsure what the replicated state knows.
void complete_origin_answer(wire::stream_origin_answer_t& answer, const std::string& service,
                            const state::service_versions& replicated);

} // namespace siskindrift::control
