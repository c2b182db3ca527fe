#include "siskindrift/gateway/event_splitter.h"

#include <utility>

namespace siskindrift::gateway {
namespace {

// Returns the value of the last "id" field in @p events, or an empty string.
std::string_view last_id_field(std::string_view events)
{
    std::string_view found;
    while (!events.empty()) {
        const auto end = events.find_first_of("\r\n");
        const auto line = events.substr(0, end);
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
    const auto buffered = m_partial.size();
    m_partial.append(bytes);
    const auto end = m_boundary.feed(bytes);
    if (end == 0) {
        return {};
    }
    auto complete = std::exchange(m_partial, m_partial.substr(buffered + end));
    complete.resize(buffered + end);
    if (const auto id = last_id_field(complete); !id.empty()) {
        m_last_event_id = std::string{id};
    }
    return complete;
}

void event_splitter::discard_partial_event()
{
    std::string{}.swap(m_partial); // an assignment would keep the memory
    m_boundary.reset();
}

} // namespace siskindrift::gateway
