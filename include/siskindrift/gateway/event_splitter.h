// Splits a byte stream of server-sent events at event boundaries.
#pragma once

#include <string>
#include <string_view>

namespace siskindrift::gateway {

/// Buffers an incomplete event until the rest of it arrives.
class event_splitter {
public:
    /// Appends bytes of the stream.
    /// @return the bytes of all events that are now complete; may be empty.
    std::string feed(std::string_view bytes);

    /// Discards the buffered incomplete event, before the stream continues from another upstream.
    void discard_partial_event() { m_partial.clear(); }

    /// Returns the id of the last complete event that had one, or an empty string.
    [[nodiscard]] const std::string& last_event_id() const { return m_last_event_id; }
    /// Returns whether an incomplete event is buffered.
    [[nodiscard]] bool has_partial_event() const { return !m_partial.empty(); }

private:
    std::string m_partial;
    std::string m_last_event_id;
};

} // namespace siskindrift::gateway
