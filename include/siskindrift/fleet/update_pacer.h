// Decides what a gateway that reads slowly is told.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

namespace siskindrift::fleet {

/// What to send to one reader now.
enum class update_kind : std::uint8_t {
    delta, ///< What changed since the last time.
    full,  ///< Everything, for it missed changes.
    skip,  ///< It has not taken what was sent before.
};

/// Keeps updates of changes from piling up before a reader, where what it must hear at once would
/// wait behind them. Pure; answers links that callers' requests fill.
class update_pacer {
public:
    /// @param most_queued bytes that may wait for a reader before it is left out.
    explicit update_pacer(std::size_t most_queued) : m_most_queued(most_queued) {}

    /// Returns what @p reader gets, for whom @p queued bytes wait.
    [[nodiscard]] update_kind next(std::uint64_t reader, std::size_t queued)
    {
        if (queued > m_most_queued) {
            m_behind.insert(reader);
            return update_kind::skip;
        }
        return m_behind.erase(reader) > 0 ? update_kind::full : update_kind::delta;
    }
    void remove_reader(std::uint64_t reader) { m_behind.erase(reader); }
    /// Returns whether a reader waits for everything.
    [[nodiscard]] bool has_lagging_readers() const { return !m_behind.empty(); }

private:
    std::size_t m_most_queued;
    std::set<std::uint64_t> m_behind;
};

} // namespace siskindrift::fleet
