#include "siskindrift/gateway/document_follower.h"

#include <algorithm>

namespace siskindrift::gateway {

void document_follower::set_offered_version(const std::string& address, std::uint64_t version)
{
    m_offered_versions[address] = version;
}

void document_follower::on_disconnect(const std::string& address)
{
    m_offered_versions.erase(address);
    if (m_requested_from == address) {
        m_requested_version = 0;
    }
}

void document_follower::set_applied_version(std::uint64_t version)
{
    m_applied_version = std::max(m_applied_version, version);
    if (m_requested_version <= m_applied_version) {
        m_requested_version = 0;
    }
}

std::optional<std::string> document_follower::next_source(core::time_point now)
{
    const auto newest = std::max_element(
        m_offered_versions.begin(), m_offered_versions.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    if (newest == m_offered_versions.end() || newest->second <= m_applied_version) {
        return std::nullopt;
    }
    const bool pending =
        m_requested_version >= newest->second && now - m_requested_at <= m_answer_timeout;
    if (pending) {
        return std::nullopt;
    }
    m_requested_version = newest->second;
    m_requested_from = newest->first;
    m_requested_at = now;
    return newest->first;
}

} // namespace siskindrift::gateway
