#include "siskindrift/control/loss_detector.h"

namespace siskindrift::control {

std::vector<loss_detector::query> loss_detector::take_queries(const consensus::raft_node& raft,
                                                              core::time_point now)
{
    if (now < m_due || raft.cluster() == 0) {
        return {};
    }
    m_due = now + query_interval;
    std::erase_if(m_open,
                  [&](const auto& item) { return now - item.second.sent_at > query_lifetime; });
    std::vector<query> queries;
    for (const auto& info : raft.peers()) {
        const auto last_ack = raft.last_ack(info.id);
        const bool silent =
            raft.is_leader() ? !last_ack || now - *last_ack > silence_limit : raft.leader() == 0;
        if (!info.voter || info.id == raft.self().value() || raft.is_lost(info.id) || !silent) {
            continue;
        }
        const auto nonce = m_random();
        m_open[nonce] = {info.id, now};
        queries.push_back({info.address, nonce});
    }
    return queries;
}

std::optional<std::uint64_t> loss_detector::on_reply(const wire::identity_reply_t& reply)
{
    const auto found = m_open.find(reply.nonce);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    const auto member = found->second.member;
    m_open.erase(found);
    return reply.id != 0 && reply.id != member ? std::optional{member} : std::nullopt;
}

} // namespace siskindrift::control
