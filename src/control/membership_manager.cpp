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

std::size_t count_voters(const member_list& members)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const auto& info) { return info.voter; }));
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
        if (previous != members.end()) {
            const bool is_sound =
                previous->id == raft.self().value() ||
                time_since_last_ack(raft, previous->id, now) <= m_options.identity_timeout;
            if (is_sound) {
                continue;
            }
            // The replica at this address has lost its disk and with it its former identity.
            return remove_member(members, previous->id);
        }
        wire::replica_info_t learner;
        learner.id = request.id;
        learner.vm = request.vm;
        learner.address = request.address;
        members.push_back(std::move(learner));
        return members;
    }
    for (const auto& info : members) {
        if (!info.voter && info.id != raft.self().value() &&
            time_since_last_ack(raft, info.id, now) > m_options.learner_removal_timeout) {
            return remove_member(members, info.id);
        }
    }
    if (auto promoted = promote_learner(raft, now)) {
        return promoted;
    }
    return remove_failed_voter(raft, now);
}

// A change stays open until a quorum of the current and of the new voters has it.
bool membership_manager::is_reachable_quorum(const consensus::raft_node& raft,
                                             const member_list& members, core::time_point now) const
{
    return raft.could_commit(members, now - m_options.reply_timeout);
}

std::optional<member_list> membership_manager::promote_learner(const consensus::raft_node& raft,
                                                               core::time_point now) const
{
    auto members = raft.members();
    if (count_voters(members) >= m_options.target_voters + m_options.max_spare_voters) {
        return std::nullopt;
    }
    for (auto& info : members) {
        if (info.voter || info.id == raft.self().value()) {
            continue;
        }
        const auto match = raft.match_index(info.id);
        const auto lag = raft.last_index() - std::min(raft.last_index(), match);
        if (match == 0 || lag > m_options.max_promotion_lag ||
            time_since_last_ack(raft, info.id, now) > m_options.reply_timeout) {
            continue;
        }
        info.voter = true;
        if (is_reachable_quorum(raft, members, now)) {
            return members;
        }
        info.voter = false;
    }
    return std::nullopt;
}

std::optional<member_list> membership_manager::remove_failed_voter(const consensus::raft_node& raft,
                                                                   core::time_point now) const
{
    const auto& members = raft.members();
    const bool has_caught_up_learner =
        std::any_of(members.begin(), members.end(), [&](const auto& info) {
            return !info.voter &&
                   time_since_last_ack(raft, info.id, now) <= m_options.reply_timeout &&
                   raft.match_index(info.id) + m_options.max_promotion_lag >= raft.last_index();
        });
    if (count_voters(members) <= m_options.target_voters && !has_caught_up_learner) {
        return std::nullopt;
    }
    for (const auto& info : members) {
        if (!info.voter || info.id == raft.self().value() ||
            time_since_last_ack(raft, info.id, now) <= m_options.failure_timeout) {
            continue;
        }
        auto remaining = remove_member(members, info.id);
        if (is_reachable_quorum(raft, remaining, now)) {
            return remaining;
        }
    }
    return std::nullopt;
}

} // namespace siskindrift::control
