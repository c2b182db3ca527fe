// The known upstreams, from announcements that may arrive late, twice or out of order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::fleet {

/// Timeouts of a roster.
struct roster_options {
    /// Time without an announcement after which an upstream gets no new work: three announcement
    /// intervals plus delays.
    core::duration silence_timeout = core::milliseconds{3700};
    /// Time without an announcement after which an upstream is removed. Longer than any
    /// announcement of an earlier run can be delayed.
    core::duration retention = core::milliseconds{60'000};
    /// Time since an upstream began to drain for which it may still go on with streams. The
    /// platform allows twice that until the last request arrives.
    core::duration drain_use_time = core::milliseconds{1000};
};

/// An upstream and the time of its last announcement.
struct roster_entry {
    wire::fleet_upstream_t info;
    core::time_point last_heard{};
    /// When it was first heard that the upstream drains, if that is known.
    std::optional<core::time_point> draining_since;
};

/// Effect of an announcement.
enum class roster_change : std::uint8_t {
    stale,     ///< Outdated; ignored.
    refreshed, ///< Only shows that the upstream is alive.
    copies,    ///< The upstream holds other adapters.
    changed,   ///< The upstream is new, or changed its address or its state.
};

/// Keeps the latest announcement of each upstream. Performs no I/O. The number of upstreams
/// is not limited.
class roster {
public:
    explicit roster(roster_options options = {}) : m_options(options) {}

    /// Applies an announcement.
    /// @param age time since the upstream sent it.
    roster_change update(wire::fleet_upstream_t announcement, core::time_point now,
                         core::duration age = {});

    /// Marks the run of upstream @p id that began at @p born_ms as draining.
    /// @return false if it is unknown, another run, or not ready.
    bool mark_draining(const std::string& id, std::uint64_t born_ms, core::time_point now);

    /// Marks upstream @p id as gone.
    /// @return false if it is unknown or already gone.
    bool mark_gone(const std::string& id, core::time_point now);

    /// Records that upstream @p id is alive, without an announcement. Ignores unknown upstreams.
    void refresh(const std::string& id, core::time_point now);

    /// Returns the upstreams that changed since the last call, with their ages, and removes those
    /// that were silent for longer than the retention.
    std::vector<wire::fleet_upstream_t> take_changed(core::time_point now);
    /// Returns the ids of upstreams that were refreshed, but not changed, since the last call.
    /// Those that hold other adapters are among them.
    std::vector<std::string> take_refreshed();
    /// Returns the upstreams that hold other adapters, but didn't change otherwise, since the last
    /// call, with their ages.
    std::vector<wire::fleet_upstream_t> take_changed_copies(core::time_point now);

    /// Returns whether an upstream may get new work: it is ready and not silent.
    [[nodiscard]] bool usable(const roster_entry& entry, core::time_point now) const;

    /// Returns whether an upstream may go on with a stream that no other can go on with: it has
    /// just begun to drain.
    [[nodiscard]] bool may_go_on(const roster_entry& entry, core::time_point now) const;

    [[nodiscard]] const std::map<std::string, roster_entry>& entries() const { return m_entries; }
    /// Returns the entry of upstream @p id, or null.
    [[nodiscard]] const roster_entry* find(const std::string& id) const;

    /// Returns all entries with their ages, for a peer that has none yet.
    [[nodiscard]] std::vector<wire::fleet_upstream_t> snapshot(core::time_point now) const;

private:
    [[nodiscard]] static wire::fleet_upstream_t with_age(const roster_entry& entry,
                                                         core::time_point now);
    /// Marks upstreams that started earlier at the address of @p newcomer as gone.
    void retire_address(const wire::fleet_upstream_t& newcomer);

    roster_options m_options;
    std::map<std::string, roster_entry> m_entries;
    std::set<std::string> m_changed;
    std::set<std::string> m_refreshed;
    std::set<std::string> m_changed_copies;
};

} // namespace siskindrift::fleet
