// A table of the replicated state that coordinators send to all gateways.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace siskindrift::state {

/// Entries by name. Coordinators send the whole table whenever its generation changes, and readers
/// ignore older generations.
template <class Entry>
struct shared_table {
    std::uint64_t generation = 0; ///< Incremented by each change.
    std::map<std::string, Entry> entries;

    /// Returns the entry @p name, or null.
    [[nodiscard]] const Entry* find(const std::string& name) const
    {
        const auto found = entries.find(name);
        return found == entries.end() ? nullptr : &found->second;
    }
};

} // namespace siskindrift::state
