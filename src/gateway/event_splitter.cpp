#include "siskindrift/gateway/event_splitter.h"

#include <algorithm>

namespace siskindrift::gateway {
namespace {

// Returns the offset behind the last blank line in @p text, or 0.
std::size_t end_of_last_event(std::string_view text)
{
    const auto plain = text.rfind("\n\n");
    const auto carriage = text.rfind("\n\r\n");
    const auto end_plain = plain == std::string_view::npos ? 0 : plain + 2;
    const auto end_carriage = carriage == std::string_view::npos ? 0 : carriage + 3;
    return std::max(end_plain, end_carriage);
}

// Returns the value of the last "id" field in @p events, or an empty text.
std::string_view last_id_in(std::string_view events)
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
    m_rest.append(bytes);
    const auto end = end_of_last_event(m_rest);
    auto whole = m_rest.substr(0, end);
    m_rest.erase(0, end);
    if (const auto id = last_id_in(whole); !id.empty()) {
        m_last_id = std::string{id};
    }
    return whole;
}

} // namespace siskindrift::gateway
