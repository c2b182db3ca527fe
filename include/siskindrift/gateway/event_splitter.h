// Splits a byte stream of server-sent events at event boundaries.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "siskindrift/http/event_boundary.h"

namespace siskindrift::gateway {

/// Buffers an incomplete event until the rest of it arrives.
class event_splitter {
public:
    /// Appends bytes of the stream.
    /// @return the bytes of all events that are now complete; may be empty.
    std::string feed(std::string_view bytes);

    /// Follows bytes of a stream that are forwarded as they arrive, without buffering them.
    void follow(std::string_view bytes) { m_boundary.feed(bytes); }

    /// Discards the buffered incomplete event, before the stream continues from another upstream.
    void discard_partial_event();

    /// Returns whether the part of the stream that came from the current upstream may be complete.
    /// @param marked whether the body's framing marked its end.
    [[nodiscard]] bool may_end(bool marked) const { return m_boundary.may_end(marked); }

    /// Returns the id of the last complete event that had one, or an empty string; ids in bytes
    /// passed to `follow` don't count.
    [[nodiscard]] const std::string& last_event_id() const { return m_last_event_id; }
    /// Returns the size of the buffered incomplete event.
    [[nodiscard]] std::size_t buffered_bytes() const { return m_partial.size(); }
    /// Returns the memory that is kept for it.
    [[nodiscard]] std::size_t kept_bytes() const
    {
        return m_partial.empty() ? 0 : m_partial.capacity();
    }
    /// Returns whether the stream stands inside an event, buffered or not.
    [[nodiscard]] bool inside_event() const { return m_boundary.inside_event(); }
    /// Returns the number of complete events from the current upstream.
    [[nodiscard]] std::uint64_t events() const { return m_boundary.events(); }

private:
    http::event_boundary m_boundary;
    std::string m_partial;
    std::string m_last_event_id;
};

} // namespace siskindrift::gateway
