#include "siskindrift/http/event_boundary.h"

#include <boost/beast/core/string.hpp>
#include <utility>

namespace siskindrift::http {

bool is_event_stream(std::string_view content_type)
{
    auto type = content_type.substr(0, content_type.find(';'));
    while (!type.empty() && (type.back() == ' ' || type.back() == '\t')) {
        type.remove_suffix(1);
    }
    return boost::beast::iequals({type.data(), type.size()}, "text/event-stream");
}

std::size_t event_boundary::feed(std::string_view bytes)
{
    std::size_t end = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const char byte = bytes[i];
        const bool second_of_crlf = std::exchange(m_after_cr, byte == '\r') && byte == '\n';
        if (byte == '\n' || byte == '\r') {
            if (!second_of_crlf) {
                end_line();
            }
            if (!inside_event()) {
                end = i + 1;
            }
        }
        else if (m_line == line::empty) {
            m_line = byte == ':' ? line::comment : line::field;
        }
    }
    return end;
}

void event_boundary::end_line()
{
    if (m_line == line::field) {
        m_has_fields = true;
    }
    else if (m_line == line::empty && std::exchange(m_has_fields, false)) {
        ++m_events;
    }
    m_line = line::empty;
}

void event_boundary::reset()
{
    m_line = line::empty;
    m_after_cr = false;
    m_has_fields = false;
    m_events = 0;
}

bool event_boundary::may_end(bool marked) const
{
    return !inside_event() && (marked || m_events > 0);
}

bool event_boundary::inside_event() const
{
    return m_line != line::empty || m_has_fields;
}

} // namespace siskindrift::http
