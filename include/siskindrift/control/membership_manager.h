// Membership of the group of control replicas: admission of new replicas and replacement of failed
// ones.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "siskindrift/consensus/raft_node.h"

namespace siskindrift::control {

/// Targets and timeouts of the membership.
struct membership_manager_options {
    std::size_t target_voters = 3;

    /// Voters beyond the target. A replica that stands by as the successor of another one votes
    /// as well, so that the group bears the end of the other one beside the tolerated losses.
    std::size_t max_spare_voters = 0;

    /// Time without a reply after which a replica counts as failed. Must exceed an election plus
    /// a restart.
    core::duration failure_timeout = core::milliseconds{2500};

    /// Time since the last reply within which a replica counts as reachable for a change.
    core::duration reply_timeout = core::milliseconds{1000};

    /// Time without a reply before another identity may take the place of a replica at its address.
    /// A sound replica replies to several heartbeats within it.
    core::duration identity_timeout = core::milliseconds{300};

    /// How long a join request is valid. A replica that wants to join repeats it every 500 ms.
    core::duration join_request_ttl = core::milliseconds{3000};

    /// Time without a reply after which a learner is removed. Must exceed the longest freeze of a
    /// process that later resumes.
    core::duration learner_removal_timeout = core::milliseconds{15'000};

    /// Number of entries that a learner may lag behind and still count as caught up: the changes
    /// of a few heartbeat intervals.
    std::uint64_t max_promotion_lag = 64;
};

/// Decides the membership changes of the leader, one at a time. Does no I/O.
///
/// A new replica is first added as a learner and becomes a voter once it has caught up. A voter
/// that stops replying is removed only if enough others remain. A silent member is also removed
/// when another identity asks to join from its address, because its disk is then permanently lost.
/// While the member replies, such a request is a late one of a former identity.
class membership_manager {
public:
    explicit membership_manager(membership_manager_options options = {}) : m_options(options) {}

    /// Stores the request of a replica to become a member. It replaces earlier requests from the
    /// same address. A request without an identity or address is ignored.
    void record_join_request(const wire::join_request_t& request, core::time_point now);

    /// Returns the list of members to propose, or no value when @p raft isn't a leader that has
    /// committed an entry in its term or no change is needed.
    [[nodiscard]] std::optional<consensus::member_list>
    next_members(const consensus::raft_node& raft, core::time_point now);

private:
    [[nodiscard]] std::optional<consensus::member_list>
    promote_learner(const consensus::raft_node& raft, core::time_point now) const;
    [[nodiscard]] std::optional<consensus::member_list>
    remove_failed_voter(const consensus::raft_node& raft, core::time_point now) const;
    [[nodiscard]] bool is_reachable_quorum(const consensus::raft_node& raft,
                                           const consensus::member_list& members,
                                           core::time_point now) const;

    struct pending_join {
        wire::join_request_t request;
        core::time_point received_at{};
    };

    membership_manager_options m_options;
    std::map<std::uint64_t, pending_join> m_pending_joins; ///< By replica.
};

} // namespace siskindrift::control
