// Raft consensus as a deterministic state machine without I/O. The driver passes messages and
// ticks in and takes batches of work out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/consensus/quorum.h"
#include "siskindrift/consensus/raft_log.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/core/random.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::consensus {

/// The replicas of a cluster, voters and learners.
using member_list = std::vector<wire::replica_info_t>;

/// Returns the identities of the voters in @p members, in ascending order.
[[nodiscard]] std::vector<std::uint64_t> voters_of(const member_list& members);

/// Timeouts and message limits of the protocol.
struct raft_options {
    /// Interval between the leader's heartbeats.
    core::duration heartbeat = core::milliseconds{60};

    /// Each election timeout is drawn from the range `election_min` to `election_max`. The
    /// minimum must exceed several heartbeats plus a slow disk sync.
    core::duration election_min = core::milliseconds{400};
    core::duration election_max = core::milliseconds{800};

    /// The first election after a start begins after one to two times this period. It is shorter
    /// than `election_min`, so that a group that restarts as a whole elects a leader soon.
    core::duration first_election = core::milliseconds{200};

    std::size_t max_entries_per_message = 512;

    /// Bytes of entries in one message, which always contains at least one entry. Must be well
    /// below the largest frame that a peer accepts.
    std::size_t max_entry_bytes_per_message = 1024UL * 1024;
    std::size_t snapshot_chunk_bytes = 1024UL * 1024;

    /// Bytes of committed entries in one batch of work, which always contains at least one if any
    /// are committed. The rest follows in later batches.
    std::size_t max_committed_bytes_per_batch = 4 * 1024UL * 1024;
};

/// Durable state besides the log entries. It must be synced before a reply that depends on it.
struct hard_state {
    std::uint64_t cluster = 0; ///< 0 while the replica belongs to no cluster.
    std::uint64_t term = 0;
    std::uint64_t voted_for = 0; ///< Candidate that got the vote in `term`, or 0.

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// The replicated state after all entries up to `last_index` have been applied.
struct snapshot {
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    member_list members;
    std::string state; ///< Serialized by the application.
};

/// The durable state that a replica starts with, as read from its data folder.
struct recovered_state {
    hard_state hard;
    std::optional<snapshot> base;           ///< The latest snapshot.
    std::vector<wire::log_entry_t> entries; ///< Entries after the snapshot.

    /// The stored data is corrupt. The replica must neither vote nor acknowledge entries,
    /// because it may have lost votes or entries that it confirmed before.
    bool damaged = false;
};

/// A message and the address of the replica that it is for.
struct outgoing_message {
    std::string address;
    wire::envelope_t message;
};

/// One batch of work for the driver, which does the following in this order:
///
/// 1. sends `messages_before_sync`;
/// 2. writes and syncs `hard`, `installed_snapshot` and `entries`;
/// 3. sends `messages_after_sync`, applies `committed` and calls `raft_node::persisted`.
struct ready {
    std::vector<outgoing_message> messages_before_sync;
    std::optional<hard_state> hard;                     ///< Set when it changed.
    std::shared_ptr<const snapshot> installed_snapshot; ///< Set when the leader sent one.

    /// Entries to store. They replace stored entries from the index of the first one on.
    std::vector<wire::log_entry_t> entries;

    /// Messages that are valid only once the batch is synced, such as votes and acknowledgements.
    std::vector<outgoing_message> messages_after_sync;
    /// Entries to apply, in the order of the log. They may end before the commit index.
    std::vector<wire::log_entry_t> committed;

    /// Returns whether the batch contains anything to write and sync.
    [[nodiscard]] bool must_write() const { return hard || installed_snapshot || !entries.empty(); }
};

/// What a replica currently does in the protocol.
enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// One replica of a Raft group, with pre-votes, learners, leadership transfer and quorum-confirmed
/// reads. Not thread-safe; a single driver owns it.
class raft_node {
public:
    /// @param self identity of this replica
    /// @param recovered durable state from the previous run; empty for a new replica
    /// @param options timeouts and limits
    /// @param seed seed of the random election timeouts
    /// @param now current monotonic time
    raft_node(core::replica_id self, recovered_state recovered, raft_options options,
              std::uint64_t seed, core::time_point now);

    /// Bootstraps a cluster with this replica as its only voter.
    ///
    /// @param cluster identity of the new cluster; must not be 0
    /// @param vm name of the VM that this replica runs on
    /// @param address address at which the other replicas reach this one
    /// @returns false when the replica already belongs to a cluster, its log is damaged or
    ///     @p cluster is 0
    bool bootstrap(std::uint64_t cluster, const std::string& vm, const std::string& address);

    /// Handles a message of the consensus protocol and ignores any other message.
    void step(const wire::envelope_t& message, core::time_point now);

    /// Runs the election and heartbeat timers. Expected every few milliseconds.
    void tick(core::time_point now);

    /// Returns the time at which `tick` next has something to do.
    [[nodiscard]] core::time_point next_due() const
    {
        return m_role == role::leader ? m_heartbeat_due : m_election_due;
    }

    /// Returns the end of the leader lease. Until then no other replica can become leader. A leader
    /// that has begun to transfer its leadership holds no lease.
    ///
    /// The lease lasts `election_min` from the send time of the last heartbeat round that a
    /// quorum acknowledged, because a replica that hears a leader grants no vote for that long.
    ///
    /// @param drift bound on the difference between the clocks of two replicas over that time
    /// @returns a time in the past when this replica holds no lease
    [[nodiscard]] core::time_point lease_end(core::duration drift) const;

    /// Returns when the leader last received a reply from @p replica, or no value when this
    /// replica isn't the leader or @p replica isn't a peer. A peer also counts as heard at
    /// the time of the leader's election and when it becomes a member.
    [[nodiscard]] std::optional<core::time_point> last_ack(std::uint64_t replica) const;

    /// Appends a command to the log.
    ///
    /// @param data the encoded command
    /// @param stamp_ms wall clock time in milliseconds
    /// @returns the index of the entry, or no value when this replica isn't the leader
    std::optional<std::uint64_t> propose(std::string data, std::uint64_t stamp_ms);

    /// Proposes a new list of members. At most one voter may be added, promoted, demoted or
    /// removed; learners may change freely.
    ///
    /// @returns the index of the entry, or no value when this replica isn't a leader that has
    ///     committed an entry in its term, an earlier change isn't committed, more than one
    ///     voter would change, or no voter would be left
    std::optional<std::uint64_t> propose_members(const member_list& members);

    /// Records that a member has lost its disk, and with it all entries and votes that it
    /// confirmed.
    ///
    /// Of an even number of voters half then suffices for decisions (see `is_quorum`). Has no
    /// effect when @p replica is this replica or no member.
    ///
    /// @param replica identity of the member, which must never be used again: another identity
    ///     has answered at its address after this replica knew it as a member
    /// @returns whether the loss wasn't known before
    bool mark_lost(std::uint64_t replica);

    /// Returns whether `mark_lost` was called for @p replica.
    [[nodiscard]] bool is_lost(std::uint64_t replica) const { return m_lost.contains(replica); }

    /// Returns whether the voters that replied to this leader since @p since could commit a change
    /// to @p members, which needs a quorum of the current and of the new voters.
    [[nodiscard]] bool could_commit(const member_list& members, core::time_point since) const;

    /// Requests a heartbeat round that confirms the leadership of this replica (ReadIndex).
    ///
    /// @returns the number of the round. Once `confirmed_round()` has reached it, a quorum has
    ///     acknowledged this leader after the call. A state to which all entries up to the commit
    ///     index of that moment are applied may then be read.
    std::uint64_t request_read();
    [[nodiscard]] std::uint64_t confirmed_round() const { return m_confirmed_round; }

    /// Transfers leadership to the other voter with the longest matching log. Steps down if no
    /// other replica has become leader within the longest election timeout. Has no effect when
    /// this replica isn't the leader or there is no other voter.
    void transfer_leadership(core::time_point now);

    /// Returns the work that has accumulated since the previous call.
    ready take_ready();

    /// Reports that the batch of the last `take_ready` is synced.
    void persisted(core::time_point now);

    /// Removes the entries up to @p index from the log and keeps a snapshot instead.
    ///
    /// @param index index of the last entry that is applied in @p state
    /// @param state the serialized application state
    /// @returns the snapshot for the driver to store, or null when @p index isn't both in the
    ///     log and delivered for application
    std::shared_ptr<const snapshot> compact(std::uint64_t index, std::string state);

    [[nodiscard]] role current_role() const { return m_role; }
    [[nodiscard]] bool is_leader() const { return m_role == role::leader; }
    /// Returns whether this replica is a leader that has committed an entry of its own term.
    /// Before that it may not know of all entries that earlier leaders committed.
    [[nodiscard]] bool has_committed_in_term() const;
    [[nodiscard]] std::uint64_t term() const { return m_hard.term; }
    [[nodiscard]] std::uint64_t cluster() const { return m_hard.cluster; }
    [[nodiscard]] std::uint64_t commit_index() const { return m_commit_index; }
    [[nodiscard]] std::uint64_t last_index() const { return m_log.last_index(); }
    [[nodiscard]] core::replica_id self() const { return core::replica_id{m_self}; }
    /// Returns the identity of the known leader, or 0.
    [[nodiscard]] std::uint64_t leader() const { return m_leader; }
    /// Returns the address of the known leader, or an empty string.
    [[nodiscard]] std::string leader_address() const;
    [[nodiscard]] const member_list& members() const { return m_members; }
    /// Returns the members of the current list, and while it changes also those of the former one.
    [[nodiscard]] member_list peers() const;
    /// Returns the highest index up to which the log of @p replica is known to match the
    /// leader's log and to be synced; 0 when unknown.
    [[nodiscard]] std::uint64_t match_index(std::uint64_t replica) const;
    [[nodiscard]] const raft_log& log() const { return m_log; }
    /// Returns the snapshot that the log follows, or null if there is none.
    [[nodiscard]] const snapshot* latest_snapshot() const { return m_snapshot.get(); }
    [[nodiscard]] bool damaged() const { return m_damaged; }
    [[nodiscard]] bool is_voter() const;

private:
    /// The leader's view of one peer.
    struct progress {
        std::uint64_t next = 1;            ///< Index of the next entry to send.
        std::uint64_t match = 0;           ///< Last index known to match and to be synced.
        std::uint64_t acked_round = 0;     ///< Last heartbeat round that the peer acknowledged.
        std::uint64_t snapshot_index = 0;  ///< Last index of the snapshot that is being sent.
        std::uint64_t snapshot_offset = 0; ///< Byte offset of the next snapshot chunk.
        core::time_point last_ack{};
        core::time_point last_send{}; ///< When entries or a snapshot chunk were last sent.
        bool paused = false;          ///< Entries or a snapshot chunk await their reply.
    };

    // Elections (raft_node.cpp).
    void become_follower(std::uint64_t term, std::uint64_t leader);
    void become_pre_candidate(core::time_point now);
    void become_candidate(core::time_point now, bool transfer);
    void become_leader(core::time_point now);
    void record_known_losses();
    void request_votes(bool pre_vote, bool transfer);
    void count_vote(std::uint64_t voter, core::time_point now);
    void handle(const wire::vote_request_t& request, core::time_point now);
    void handle(const wire::vote_reply_t& reply, core::time_point now);
    void handle(const wire::timeout_now_t& request, core::time_point now);
    void reset_election_timer(core::time_point now);
    void check_quorum(core::time_point now);
    [[nodiscard]] bool is_log_up_to_date(std::uint64_t last_index, std::uint64_t last_term) const;
    [[nodiscard]] bool heard_from_leader_recently(core::time_point now) const;

    // Replication (raft_replication.cpp).
    void handle(const wire::append_request_t& request, core::time_point now);
    void handle(const wire::append_reply_t& reply, core::time_point now);
    void handle(const wire::snapshot_request_t& request, core::time_point now);
    void handle(const wire::snapshot_reply_t& reply, core::time_point now);
    void accept_leader(std::uint64_t term, std::uint64_t leader, core::time_point now);
    void append_from_leader(const wire::append_request_t& request);
    void broadcast(core::time_point now, bool heartbeat);
    void send_append(const wire::replica_info_t& to, core::time_point now, bool heartbeat);
    /// Returns the index of the last entry of a message whose first entry is @p first.
    [[nodiscard]] std::uint64_t last_index_of_message(std::uint64_t first) const;
    void send_snapshot_chunk(const wire::replica_info_t& to, progress& peer);
    void install_snapshot(snapshot received);
    void advance_commit();
    void advance_confirmed_round();
    void append_new_entry(wire::entry_kind kind, std::string data, std::uint64_t stamp_ms);
    void apply_membership_change();
    void recompute_members();
    [[nodiscard]] bool is_single_voter_change(const member_list& members) const;

    /// Returns whether the latest change of members may be uncommitted. Decisions then need a
    /// quorum of both lists, the former and the current one.
    [[nodiscard]] bool is_changing_members() const;
    /// Returns whether voters for which @p replied holds form a quorum of all lists that count.
    /// @param lost voters that may serve as witnesses, see `is_quorum`
    template <class Lost, class HasReplied>
    [[nodiscard]] bool has_quorum(const Lost& lost, HasReplied replied) const;
    /// Returns whether a reply of @p replica in this term answers a message that was sent after
    /// the loss of @p witness was known.
    [[nodiscard]] bool replied_after_loss(std::uint64_t replica, std::uint64_t witness) const;
    [[nodiscard]] std::uint64_t acked_round(std::uint64_t replica) const;
    /// Makes a committed change of voters known as committed to all replicas that have it, also
    /// after they start again.
    void confirm_membership_change();
    [[nodiscard]] const wire::replica_info_t* find_member(std::uint64_t replica) const;
    [[nodiscard]] bool is_addressed_to_self(std::uint64_t cluster, std::uint64_t to) const;

    [[nodiscard]] std::string self_address() const;

    template <class Message>
    void send(std::uint64_t to, Message message);

    // Replies to the address in the request, because a replica that joins has no member list yet.
    template <class Message>
    void send_reply(std::uint64_t to, const std::string& address, Message message)
    {
        message.cluster = m_hard.cluster;
        message.to = to;
        m_messages_after_sync.push_back({address, wire::make_envelope(std::move(message))});
    }

    std::uint64_t m_self;
    raft_options m_options;
    core::random_source m_random;
    bool m_damaged;

    hard_state m_hard;
    raft_log m_log;
    member_list m_members;
    member_list m_previous_members; ///< The list that `m_members` replaced; empty if unknown.
    member_list m_snapshot_members;
    std::uint64_t m_members_index = 0; ///< Index of the entry or snapshot with `m_members`.
    std::uint64_t m_commit_index = 0;
    std::uint64_t m_delivered_index = 0; ///< Last index passed to the driver as committed.
    std::uint64_t m_persisted_index = 0;
    std::shared_ptr<const snapshot> m_snapshot;

    role m_role = role::follower;
    std::uint64_t m_leader = 0;
    core::time_point m_now{}; ///< Time of the latest call.
    core::time_point m_last_leader_contact{};
    /// Set while this replica is the leader and transfers its leadership.
    std::optional<core::time_point> m_transfer_begun_at;
    core::time_point m_election_due{};
    core::time_point m_heartbeat_due{};
    core::duration m_election_timeout{};
    std::map<std::uint64_t, progress> m_progress;
    std::vector<std::uint64_t> m_votes; ///< Replicas that granted the current (pre-)vote.
    /// Members that are lost for good, with the first round that was sent after this was known.
    std::map<std::uint64_t, std::uint64_t> m_lost;
    /// Keys of `m_lost` when the current (pre-)votes were requested.
    std::set<std::uint64_t> m_lost_before_votes;
    bool m_self_vote_unsynced = false;
    std::uint64_t m_round = 0;           ///< Number of the last heartbeat round that was sent.
    std::uint64_t m_confirmed_round = 0; ///< Last round that a quorum acknowledged.
    std::map<std::uint64_t, core::time_point> m_round_starts; ///< From the confirmed round on.
    bool m_read_requested = false; ///< The next batch must begin a heartbeat round.
    snapshot m_incoming_snapshot;  ///< Chunks received so far.

    // Output for the next `take_ready`.
    std::vector<outgoing_message> m_messages_before_sync;
    std::vector<outgoing_message> m_messages_after_sync;
    std::uint64_t m_first_unsaved_index = 0; ///< First index to store, or 0 for none.
    std::optional<hard_state> m_saved_hard_state;
    std::shared_ptr<const snapshot> m_unsaved_snapshot;
};

template <class Lost, class HasReplied>
bool raft_node::has_quorum(const Lost& lost, HasReplied replied) const
{
    const auto decides = [&](const member_list& members) {
        return is_quorum(
            voters_of(members), [&](std::uint64_t id) { return lost.contains(id); }, replied);
    };
    return decides(m_members) && (!is_changing_members() || decides(m_previous_members));
}

} // namespace siskindrift::consensus
