#include "siskindrift/requests/context.h"

namespace siskindrift::requests {

namespace {

// Bounds of the memory that traces use.
constexpr std::size_t max_traced_requests = 4096;
constexpr std::size_t max_lines_per_request = 64;

} // namespace

void request_trace::add(const core::request_id& id, std::string line)
{
    const auto [found, inserted] = m_lines.try_emplace(id.value());
    if (inserted) {
        m_order.push_back(id.value());
        if (m_order.size() > max_traced_requests) {
            m_lines.erase(m_order.front());
            m_order.pop_front();
        }
    }
    if (found->second.size() < max_lines_per_request) {
        found->second.push_back(std::move(line));
    }
}

std::vector<std::string> request_trace::lines_of(const std::string& id) const
{
    const auto found = m_lines.find(id);
    return found == m_lines.end() ? std::vector<std::string>{} : found->second;
}

} // namespace siskindrift::requests
