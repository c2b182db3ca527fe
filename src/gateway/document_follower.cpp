#include "siskindrift/gateway/document_follower.h"

#include <algorithm>

namespace siskindrift::gateway {

void document_follower::set_offered_version(const std::string& address, std::uint64_t version)
{
    m_offers[address] = version;
}

void document_follower::on_disconnect(const std::string& address)
{
    m_offers.erase(address);
    if (m_asked_of == address) {
        m_asked = 0;
    }
}

void document_follower::set_applied_version(std::uint64_t version)
{
    m_held = std::max(m_held, version);
    if (m_asked <= m_held) {
        m_asked = 0;
    }
}

std::optional<std::string> document_follower::next_source(core::time_point now)
{
    const auto best =
        std::max_element(m_offers.begin(), m_offers.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    if (best == m_offers.end() || best->second <= m_held) {
        return std::nullopt;
    }
    const bool awaited = m_asked >= best->second && now - m_asked_at <= m_patience;
    if (awaited) {
        return std::nullopt;
    }
    m_asked = best->second;
    m_asked_of = best->first;
    m_asked_at = now;
    return best->first;
}

} // namespace siskindrift::gateway
