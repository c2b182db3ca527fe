// Splits a stream of server-sent events into whole events.
#pragma once

#include <string>
#include <string_view>

namespace siskindrift::gateway {

/// Holds back the beginning of an event until the rest of it has come.
class event_splitter {
public:
    /// Takes bytes of the stream and returns the whole events that they complete.
    std::string feed(std::string_view bytes);

    /// Drops an event that is not whole, as a stream goes on elsewhere.
    void discard_partial_event() { m_rest.clear(); }

    /// Returns the id of the last whole event, or an empty text.
    [[nodiscard]] const std::string& last_event_id() const { return m_last_id; }
    [[nodiscard]] bool has_partial_event() const { return !m_rest.empty(); }

private:
    std::string m_rest;
    std::string m_last_id;
};

} // namespace siskindrift::gateway
