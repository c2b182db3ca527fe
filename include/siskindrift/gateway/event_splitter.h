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

    /// Returns the id of the last complete event that had one, or an empty string; ids in bytes
    /// passed to `follow` don't count.
    [[nodiscard]] const std::string& last_event_id() const { return m_last_event_id; }
    /// Returns whether an incomplete event is buffered.
    [[nodiscard]] bool has_partial_event() const { return !m_partial.empty(); }
    /// Returns whether the stream stands inside an event, buffered or not.
    [[nodiscard]] bool inside_event() const { return m_boundary.inside_event(); }
    /// Returns the number of complete events.
    [[nodiscard]] std::uint64_t events() const { return m_boundary.events(); }

private:
    http::event_boundary m_boundary;
    std::string m_partial;
    std::string m_last_event_id;
};

} // namespace siskindrift::gateway
