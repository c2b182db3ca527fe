// The part of the replicated log that a replica holds in memory.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "siskindrift/wire/messages.h"

namespace siskindrift::consensus {

/// Entries after a snapshot's last index, by index.
class raft_log {
public:
    /// Starts after a snapshot that covers everything up to @p base_index.
    void reset(std::uint64_t base_index, std::uint64_t base_term);

    [[nodiscard]] std::uint64_t base_index() const { return m_base_index; }
    [[nodiscard]] std::uint64_t base_term() const { return m_base_term; }
    [[nodiscard]] std::uint64_t last_index() const { return m_base_index + m_entries.size(); }
    [[nodiscard]] std::uint64_t last_term() const;

    /// Returns the term at @p index, or none when it is not held.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    /// Returns the entry at @p index; it must be held.
    [[nodiscard]] const wire::log_entry_t& at(std::uint64_t index) const;

    /// Appends an entry whose index follows the last.
    void append(wire::log_entry_t entry);

    /// Removes all entries from @p index on.
    void truncate_from(std::uint64_t index);

    /// Drops the entries up to @p index, which a snapshot now covers.
    void compact_to(std::uint64_t index);

private:
    std::uint64_t m_base_index = 0;
    std::uint64_t m_base_term = 0;
    std::deque<wire::log_entry_t> m_entries;
};

} // namespace siskindrift::consensus
