// Keeps the group of control replicas whole: admits newcomers, replaces the dead.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "siskindrift/consensus/raft_node.h"

namespace siskindrift::control {

struct membership_manager_options {
    std::size_t target_voters = 3;
    core::duration dead_after = core::milliseconds{2500};       // above an election and a restart
    core::duration join_life = core::milliseconds{3000};        // a newcomer asks every half second
    core::duration forget_learner = core::milliseconds{15'000}; // above any freeze that heals
    std::uint64_t caught_up_entries = 64; // a few heartbeats' worth of changes
};

/// Decides the leader's changes of membership, one at a time. Pure.
///
/// A newcomer is a learner first and counts only when caught up. A voter that fell silent is
/// removed only when a learner stands by to take its place, or when its own address shows up
/// under a new identity: its disk is gone for good.
class membership_manager {
public:
    explicit membership_manager(membership_manager_options options = {}) : m_options(options) {}

    /// Takes the wish of a replica to become a member.
    void record_join_request(const wire::join_request_t& wish, core::time_point now);

    /// Returns the members to propose, or none when they should stay as they are.
    [[nodiscard]] std::optional<consensus::member_list>
    next_members(const consensus::raft_node& raft, core::time_point now);

private:
    struct joiner {
        wire::join_request_t wish;
        core::time_point heard{};
    };

    membership_manager_options m_options;
    std::map<std::uint64_t, joiner> m_joiners;
};

} // namespace siskindrift::control
