// Finds where server-sent events end in a byte stream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace siskindrift::http {

/// Returns whether a `Content-Type` header denotes server-sent events.
[[nodiscard]] bool is_event_stream(std::string_view content_type);

/// Follows a stream of server-sent events without buffering it. Lines may end with LF, CR or CRLF.
class event_boundary {
public:
    /// Reads the next bytes of the stream.
    /// @return the number of leading bytes of @p bytes after which the stream was last outside of
    /// an event, or 0 if it was inside one throughout.
    std::size_t feed(std::string_view bytes);

    /// Starts again at the beginning of a stream.
    void reset();

    /// Returns whether a line or an event has begun that has not ended. A comment is not an event.
    [[nodiscard]] bool inside_event() const;
    /// Returns whether a stream that ends here may be complete.
    /// @param marked whether the body's framing marked the end; otherwise the connection closed,
    /// and a stream without any event could have been broken off as well.
    [[nodiscard]] bool may_end(bool marked) const;
    /// Returns how many events have ended.
    [[nodiscard]] std::uint64_t events() const { return m_events; }

private:
    enum class line : std::uint8_t { empty, comment, field };

    void end_line();

    line m_line = line::empty;
    bool m_after_cr = false; ///< A following LF belongs to the same line end.
    bool m_has_fields = false;
    std::uint64_t m_events = 0;
};

} // namespace siskindrift::http
