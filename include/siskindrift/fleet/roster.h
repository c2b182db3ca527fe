// The upstreams that announced themselves, from words that come late, twice or out of order.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::fleet {

/// Durations of a roster.
struct roster_options {
    core::duration silence_timeout = core::milliseconds{3700}; // three announcements and a delay
    core::duration forget_after = core::milliseconds{60'000};  // above any late word of an old one
};

/// One upstream and when it was last heard of.
struct roster_entry {
    wire::fleet_upstream_t info;
    core::time_point heard{};
};

/// What a word changed.
enum class roster_change : std::uint8_t {
    stale,     ///< It was old.
    refreshed, ///< It only shows that the upstream is alive.
    changed,   ///< The upstream is new, moved, or changed its state or what it holds.
};

/// Keeps the newest word of each upstream. Pure; answers any number of upstreams.
class roster {
public:
    explicit roster(roster_options options = {}) : m_options(options) {}

    /// Takes an announcement that left its upstream @p age ago.
    roster_change update(wire::fleet_upstream_t word, core::time_point now,
                         core::duration age = {});

    /// Takes the word that upstream @p id has left. Returns whether it was known and there.
    bool mark_gone(const std::string& id, core::time_point now);

    /// Shows that @p id is alive, without its announcement.
    void refresh(const std::string& id, core::time_point now);

    /// Returns the upstreams that changed since the last call, and forgets the very old.
    std::vector<wire::fleet_upstream_t> take_changed(core::time_point now);
    /// Returns the ids that were only heard since the last call.
    std::vector<std::string> take_refreshed();

    /// Returns whether an upstream takes new work: it is ready and not silent.
    [[nodiscard]] bool usable(const roster_entry& item, core::time_point now) const;

    [[nodiscard]] const std::map<std::string, roster_entry>& entries() const { return m_items; }
    [[nodiscard]] const roster_entry* find(const std::string& id) const;

    /// Returns every entry with its age, for a peer that has none yet.
    [[nodiscard]] std::vector<wire::fleet_upstream_t> snapshot(core::time_point now) const;

private:
    void retire_address(const wire::fleet_upstream_t& newcomer);

    roster_options m_options;
    std::map<std::string, roster_entry> m_items;
    std::set<std::string> m_changed;
    std::set<std::string> m_heard;
};

} // namespace siskindrift::fleet
