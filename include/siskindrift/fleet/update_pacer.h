// Flow control for fleet updates to gateways that read slowly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

namespace siskindrift::fleet {

/// Kind of update to send to a reader now.
enum class update_kind : std::uint8_t {
    delta, ///< The changes since the last update.
    full,  ///< The complete state, because the reader missed deltas.
    skip,  ///< Nothing: too much is still queued for the reader.
};

/// Bounds the updates that are queued for a reader, so that urgent messages do not wait behind
/// them on a link that callers' requests saturate. Performs no I/O.
class update_pacer {
public:
    /// @param max_queued_bytes number of queued bytes above which a reader is skipped.
    explicit update_pacer(std::size_t max_queued_bytes) : m_max_queued_bytes(max_queued_bytes) {}

    /// Returns the kind of update to send to @p reader.
    /// @param queued_bytes bytes that are queued for the reader.
    [[nodiscard]] update_kind next(std::uint64_t reader, std::size_t queued_bytes)
    {
        if (queued_bytes > m_max_queued_bytes) {
            m_lagging_readers.insert(reader);
            return update_kind::skip;
        }
        return m_lagging_readers.erase(reader) > 0 ? update_kind::full : update_kind::delta;
    }
    /// Removes the state of a reader whose connection has ended.
    void remove_reader(std::uint64_t reader) { m_lagging_readers.erase(reader); }
    /// Returns whether any reader needs a full update.
    [[nodiscard]] bool has_lagging_readers() const { return !m_lagging_readers.empty(); }

private:
    std::size_t m_max_queued_bytes;
    std::set<std::uint64_t> m_lagging_readers; ///< Readers that missed deltas.
};

} // namespace siskindrift::fleet
