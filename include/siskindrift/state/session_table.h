// Sessions of VMs, kept by the leader in memory and renewed without the log.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::state {

/// Terms of a session. A holder counts `ttl` from before it asked; the granter waits
/// `ttl` stretched by the drift bound from after it granted.
struct session_options {
    core::duration ttl = core::milliseconds{3000};
    double clock_drift = 0.02; ///< Bound on the relative rate of two monotonic clocks.

    /// Returns how long the granter waits before it may grant to another.
    [[nodiscard]] core::duration expiry_delay() const
    {
        return std::chrono::duration_cast<core::duration>(ttl * (1.0 + 2.0 * clock_drift));
    }
};

/// Knows until when each VM may still believe in its session.
class session_table {
public:
    explicit session_table(session_options terms) : m_terms(terms) {}

    /// Starts a term of leadership: every known VM counts as renewed just now, because a
    /// predecessor may have renewed it until a moment ago.
    void begin_term(const std::map<std::string, wire::vm_info_t>& vms, core::time_point now);

    /// Starts the session of a VM that was just registered.
    void start(const std::string& vm, std::uint64_t incarnation, core::time_point now);

    /// Extends a session. Returns false when it is unknown or being ended.
    bool renew(const std::string& vm, std::uint64_t incarnation, core::time_point now);

    /// Returns the sessions that ran out; each is returned once and can't be renewed again.
    std::vector<wire::expire_vm_t> take_expired(core::time_point now);

    /// Ends a session that was expired or given up.
    void end(const std::string& vm) { m_sessions.erase(vm); }

    /// Remembers the revision that a VM says it serves with.
    void note_revision(const std::string& vm, std::uint64_t revision);
    [[nodiscard]] std::uint64_t revision_at(const std::string& vm) const;

private:
    struct session {
        std::uint64_t incarnation = 0;
        core::time_point until;
        bool ending = false;
        std::uint64_t revision = 0;
    };

    session_options m_terms;
    std::map<std::string, session> m_sessions;
};

} // namespace siskindrift::state
