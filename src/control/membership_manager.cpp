#include "siskindrift/control/membership_manager.h"

#include <algorithm>

namespace siskindrift::control {
namespace {

using consensus::member_list;

member_list remove_member(member_list members, std::uint64_t id)
{
    std::erase_if(members, [&](const auto& info) { return info.id == id; });
    return members;
}

core::duration time_since_last_ack(const consensus::raft_node& raft, std::uint64_t id,
                                   core::time_point now)
{
    const auto last_ack = raft.last_ack(id);
    return last_ack ? now - *last_ack : core::duration::max();
}

} // namespace

void membership_manager::record_join_request(const wire::join_request_t& request,
                                             core::time_point now)
{
    if (request.id == 0 || request.address.empty()) {
        return;
    }
    // An address belongs to one replica, so a new identity there replaces the earlier request.
    std::erase_if(m_pending_joins, [&](const auto& item) {
        return item.first != request.id && item.second.request.address == request.address;
    });
    m_pending_joins[request.id] = {request, now};
}

std::optional<member_list> membership_manager::next_members(const consensus::raft_node& raft,
                                                            core::time_point now)
{
    std::erase_if(m_pending_joins, [&](const auto& item) {
        return now - item.second.received_at > m_options.join_request_ttl;
    });
    if (!raft.has_committed_in_term()) {
        return std::nullopt;
    }
    auto members = raft.members();
    for (const auto& [id, pending] : m_pending_joins) {
        const auto& request = pending.request;
        const auto existing = std::find_if(members.begin(), members.end(),
                                           [&](const auto& info) { return info.id == request.id; });
        if (existing != members.end()) {
            continue;
        }
        const auto previous = std::find_if(members.begin(), members.end(), [&](const auto& info) {
            return info.address == request.address && info.id != request.id;
        });
        // The replica at this address has lost its disk and with it its former identity.
        if (previous != members.end()) {
            return remove_member(members, previous->id);
        }
        wire::replica_info_t learner;
        learner.id = request.id;
        learner.vm = request.vm;
        learner.address = request.address;
        members.push_back(std::move(learner));
        return members;
    }
    // Promote a learner that has caught up, or let it replace a failed voter: the voter is removed
    // first and the learner promoted by a later change.
    const auto voters =
        std::count_if(members.begin(), members.end(), [](const auto& info) { return info.voter; });
    for (auto& info : members) {
        if (info.voter || info.id == raft.self().value()) {
            continue;
        }
        const auto unheard = time_since_last_ack(raft, info.id, now);
        if (unheard > m_options.learner_removal_timeout) {
            return remove_member(members, info.id);
        }
        const auto lag = raft.last_index() - std::min(raft.last_index(), raft.match_index(info.id));
        if (unheard > m_options.failure_timeout || lag > m_options.max_promotion_lag ||
            raft.match_index(info.id) == 0) {
            continue;
        }
        if (static_cast<std::size_t>(voters) < m_options.target_voters) {
            info.voter = true;
            return members;
        }
        const auto failed_voter =
            std::find_if(members.begin(), members.end(), [&](const auto& other) {
                return other.voter && other.id != raft.self().value() &&
                       time_since_last_ack(raft, other.id, now) > m_options.failure_timeout;
            });
        if (failed_voter != members.end()) {
            return remove_member(members, failed_voter->id);
        }
    }
    return std::nullopt;
}

} // namespace siskindrift::control
