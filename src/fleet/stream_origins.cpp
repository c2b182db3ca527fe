#include "siskindrift/fleet/stream_origins.h"

#include <algorithm>

namespace siskindrift::fleet {

bool stream_origins::record(const wire::stream_origin_t& origin, bool own, core::time_point now)
{
    remove_expired(now);
    const auto expires = now + std::min<core::duration>(core::milliseconds{origin.lifetime_ms},
                                                        m_options.max_lifetime);
    const auto known = m_entries.find(origin.request);
    if (known != m_entries.end()) {
        auto& item = known->second;
        item.own = item.own || own;
        if (origin.attempt >= item.origin.attempt) {
            item.origin = origin;
        }
        if (expires > item.expires) {
            item.expires = expires;
            m_expirations.emplace(expires, origin.request);
        }
        return false;
    }
    bool dropped = false;
    while (m_entries.size() >= m_options.max_origins && !m_expirations.empty()) {
        dropped = m_entries.erase(m_expirations.begin()->second) > 0 || dropped;
        m_expirations.erase(m_expirations.begin());
    }
    m_entries[origin.request] = {origin, own, expires};
    m_expirations.emplace(expires, origin.request);
    return dropped;
}

void stream_origins::remove_expired(core::time_point now)
{
    while (!m_expirations.empty() && m_expirations.begin()->first <= now) {
        const auto found = m_entries.find(m_expirations.begin()->second);
        if (found != m_entries.end() && found->second.expires <= now) {
            m_entries.erase(found);
        }
        m_expirations.erase(m_expirations.begin());
    }
}

const wire::stream_origin_t* stream_origins::find(const std::string& request,
                                                  core::time_point now) const
{
    const auto found = m_entries.find(request);
    return found != m_entries.end() && found->second.expires > now ? &found->second.origin
                                                                   : nullptr;
}

std::vector<wire::stream_origin_t> stream_origins::own_origins(const std::string& service,
                                                               core::time_point now) const
{
    std::vector<wire::stream_origin_t> list;
    for (const auto& [request, item] : m_entries) {
        if (item.own && item.expires > now && item.origin.service == service) {
            list.push_back(item.origin);
            list.back().lifetime_ms = static_cast<std::uint32_t>(core::to_ms(item.expires - now));
        }
    }
    return list;
}

wire::stream_origin_answer_t make_origin_answer(const wire::stream_origin_query_t& query,
                                                const stream_origins& origins,
                                                const software_history& history,
                                                core::time_point now)
{
    wire::stream_origin_answer_t answer;
    answer.id = query.id;
    if (const auto* origin = origins.find(query.request, now)) {
        answer.origin = std::make_unique<wire::stream_origin_t>(*origin);
    }
    const auto versions = history.versions(query.service, core::milliseconds{query.span_ms}, now);
    answer.count = versions.count;
    answer.only_version = versions.only;
    return answer;
}

} // namespace siskindrift::fleet
