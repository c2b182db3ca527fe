// Sessions of VMs. The leader keeps them in memory and renews them without a log entry.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::state {

/// Durations of a session, which works like a lease. The VM that holds the session counts `ttl`
/// from before it sent its request. The leader counts the longer `expiry_delay()` from after it
/// granted the request, so a session never expires here while its holder still relies on it.
struct session_options {
    core::duration ttl = core::milliseconds{3000};
    double clock_drift = 0.02; ///< Bound on the relative rate difference of two monotonic clocks.

    /// Returns how long after a renewal the leader must wait before it may end the session.
    [[nodiscard]] core::duration expiry_delay() const
    {
        return std::chrono::duration_cast<core::duration>(ttl * (1.0 + 2.0 * clock_drift));
    }
};

/// Tracks the time at which the session of each VM expires. Not thread-safe.
class session_table {
public:
    explicit session_table(session_options options) : m_options(options) {}

    /// Starts a term of leadership. Every registered VM counts as renewed at @p now, because the
    /// previous leader may have renewed it just before.
    ///
    /// @param vms the registered VMs by name
    /// @param now current monotonic time
    void begin_term(const std::map<std::string, wire::vm_info_t>& vms, core::time_point now);

    /// Starts the session of a VM that has just been registered, or extends it when the VM was
    /// registered with the same incarnation before.
    void start(const std::string& vm, std::uint64_t incarnation, core::time_point now);

    /// Extends a session.
    ///
    /// @returns false when the incarnation has no session or the session has expired
    bool renew(const std::string& vm, std::uint64_t incarnation, core::time_point now);

    /// Returns the sessions that have expired. Each is returned once and can't be renewed after
    /// that. It stays in the table until `end` is called.
    std::vector<wire::expire_vm_t> take_expired(core::time_point now);

    /// Removes a session that has expired or that its VM has given up.
    void end(const std::string& vm) { m_sessions.erase(vm); }

    /// Stores the revision of the configuration that a VM reports to use.
    void set_revision(const std::string& vm, std::uint64_t revision);

    /// Returns the revision that the VM reported last, or 0.
    [[nodiscard]] std::uint64_t revision_of(const std::string& vm) const;

private:
    struct session {
        std::uint64_t incarnation = 0;
        core::time_point expires_at;
        bool expired = false;
        std::uint64_t revision = 0;
    };

    session_options m_options;
    std::map<std::string, session> m_sessions;
};

} // namespace siskindrift::state
