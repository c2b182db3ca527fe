#include "siskindrift/control/membership_manager.h"

#include <algorithm>

namespace siskindrift::control {
namespace {

using consensus::member_list;

member_list without(member_list members, std::uint64_t id)
{
    std::erase_if(members, [&](const auto& info) { return info.id == id; });
    return members;
}

core::duration silence(const consensus::raft_node& raft, std::uint64_t id, core::time_point now)
{
    const auto heard = raft.last_ack(id);
    return heard ? now - *heard : core::duration::max();
}

} // namespace

void membership_manager::record_join_request(const wire::join_request_t& wish, core::time_point now)
{
    if (wish.id == 0 || wish.address.empty()) {
        return;
    }
    // Only one identity can live at an address; what an earlier one asked for is void.
    std::erase_if(m_joiners, [&](const auto& item) {
        return item.first != wish.id && item.second.wish.address == wish.address;
    });
    m_joiners[wish.id] = {wish, now};
}

std::optional<member_list> membership_manager::next_members(const consensus::raft_node& raft,
                                                            core::time_point now)
{
    std::erase_if(m_joiners,
                  [&](const auto& item) { return now - item.second.heard > m_options.join_life; });
    if (!raft.has_committed_in_term()) {
        return std::nullopt;
    }
    auto members = raft.members();
    for (const auto& [id, joining] : m_joiners) {
        const auto& wish = joining.wish;
        const auto known = std::find_if(members.begin(), members.end(),
                                        [&](const auto& info) { return info.id == wish.id; });
        if (known != members.end()) {
            continue;
        }
        const auto former = std::find_if(members.begin(), members.end(), [&](const auto& info) {
            return info.address == wish.address && info.id != wish.id;
        });
        if (former != members.end()) {
            return without(members, former->id);
        }
        wire::replica_info_t learner;
        learner.id = wish.id;
        learner.vm = wish.vm;
        learner.address = wish.address;
        members.push_back(std::move(learner));
        return members;
    }
    const auto voters =
        std::count_if(members.begin(), members.end(), [](const auto& info) { return info.voter; });
    for (auto& info : members) {
        if (info.voter || info.id == raft.self().value()) {
            continue;
        }
        const auto quiet = silence(raft, info.id, now);
        if (quiet > m_options.forget_learner) {
            return without(members, info.id);
        }
        const auto lag = raft.last_index() - std::min(raft.last_index(), raft.match_index(info.id));
        if (quiet > m_options.dead_after || lag > m_options.caught_up_entries ||
            raft.match_index(info.id) == 0) {
            continue;
        }
        if (static_cast<std::size_t>(voters) < m_options.target_voters) {
            info.voter = true;
            return members;
        }
        const auto dead = std::find_if(members.begin(), members.end(), [&](const auto& other) {
            return other.voter && other.id != raft.self().value() &&
                   silence(raft, other.id, now) > m_options.dead_after;
        });
        if (dead != members.end()) {
            return without(members, dead->id);
        }
    }
    return std::nullopt;
}

} // namespace siskindrift::control
