// In-memory tail of the replicated log: the entries that follow the latest snapshot.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "siskindrift/wire/messages.h"

namespace siskindrift::consensus {

/// Log entries with contiguous indexes, starting right after the last index of a snapshot.
///
/// The snapshot's last index and term are called the base. Without a snapshot both are 0, and
/// the first entry has index 1.
class raft_log {
public:
    /// Removes all entries and restarts the log after a snapshot.
    ///
    /// @param base_index index of the last entry that the snapshot covers
    /// @param base_term term of that entry
    void reset(std::uint64_t base_index, std::uint64_t base_term);

    [[nodiscard]] std::uint64_t base_index() const { return m_base_index; }
    [[nodiscard]] std::uint64_t base_term() const { return m_base_term; }

    /// Returns the index of the last entry, or the base index when there are no entries.
    [[nodiscard]] std::uint64_t last_index() const { return m_base_index + m_entries.size(); }

    /// Returns the memory that the data of all entries takes, in bytes.
    [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }

    /// Returns the term of the last entry, or the base term when there are no entries.
    [[nodiscard]] std::uint64_t last_term() const;

    /// Returns the term at @p index, or no value when @p index lies before the base or after
    /// the last entry.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    /// Returns the entry at @p index.
    ///
    /// @throws std::out_of_range when the log doesn't contain the entry
    [[nodiscard]] const wire::log_entry_t& at(std::uint64_t index) const;

    /// Appends an entry, whose index must be `last_index() + 1`.
    void append(wire::log_entry_t entry);

    /// Removes the entry at @p index and all later ones.
    void truncate_from(std::uint64_t index);

    /// Removes the entries up to and including @p index, which becomes the new base. Has no
    /// effect when the log doesn't reach @p index.
    void compact_to(std::uint64_t index);

private:
    std::uint64_t m_base_index = 0;
    std::uint64_t m_base_term = 0;
    std::uint64_t m_bytes = 0;
    std::deque<wire::log_entry_t> m_entries;
};

} // namespace siskindrift::consensus
