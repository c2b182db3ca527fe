#include "siskindrift/gateway/event_splitter.h"

#include <algorithm>

namespace siskindrift::gateway {
namespace {

// Returns the offset after the last blank line in @p text, or 0.
std::size_t end_of_last_event(std::string_view text)
{
    const auto lf = text.rfind("\n\n");
    const auto crlf = text.rfind("\n\r\n");
    const auto end_lf = lf == std::string_view::npos ? 0 : lf + 2;
    const auto end_crlf = crlf == std::string_view::npos ? 0 : crlf + 3;
    return std::max(end_lf, end_crlf);
}

// Returns the value of the last "id" field in @p events, or an empty string.
std::string_view last_id_field(std::string_view events)
{
    std::string_view found;
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:")) {
            found = line.substr(3);
            if (found.starts_with(' ')) {
                found.remove_prefix(1);
            }
        }
        if (end == std::string_view::npos) {
            break;
        }
        events.remove_prefix(end + 1);
    }
    return found;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    const auto end = end_of_last_event(m_partial);
    auto complete = m_partial.substr(0, end);
    m_partial.erase(0, end);
    if (const auto id = last_id_field(complete); !id.empty()) {
        m_last_event_id = std::string{id};
    }
    return complete;
}

} // namespace siskindrift::gateway
