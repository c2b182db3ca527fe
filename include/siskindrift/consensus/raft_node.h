// Raft consensus as a pure state machine: messages and ticks in, a batch of work out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/consensus/raft_log.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/core/random.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::consensus {

using member_list = std::vector<wire::replica_info_t>;

/// Durations of the protocol.
struct raft_options {
    core::duration heartbeat = core::milliseconds{60};
    core::duration election_min =
        core::milliseconds{400}; // above several heartbeats and a slow sync
    core::duration election_max = core::milliseconds{800};
    core::duration first_election = core::milliseconds{200}; // after a restart of the whole group
    std::size_t max_entries_per_message = 512;
    std::size_t snapshot_chunk_bytes = 1024UL * 1024;
};

/// What must survive a restart besides the entries.
struct hard_state {
    std::uint64_t cluster = 0;
    std::uint64_t term = 0;
    std::uint64_t voted_for = 0;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// A state of the replicated machine at one index.
struct snapshot {
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    member_list members;
    std::string state;
};

/// What a data folder held at start.
struct recovered_state {
    hard_state hard;
    std::optional<snapshot> base;
    std::vector<wire::log_entry_t> entries;
    bool damaged = false; ///< The replica must neither vote nor acknowledge.
};

/// A message for the replica at an address.
struct outgoing_message {
    std::string address;
    wire::envelope_t message;
};

/// One batch of work. The driver sends `messages_before_sync`, writes and syncs `hard`,
/// `installed_snapshot` and `entries`, then sends `messages_after_sync`, applies `committed` and
/// calls `raft_node::persisted`.
struct ready {
    std::vector<outgoing_message> messages_before_sync;
    std::optional<hard_state> hard;
    std::shared_ptr<const snapshot> installed_snapshot;
    std::vector<wire::log_entry_t> entries; ///< Replaces whatever stood at their indexes.
    std::vector<outgoing_message> messages_after_sync;
    std::vector<wire::log_entry_t> committed;

    [[nodiscard]] bool must_write() const { return hard || installed_snapshot || !entries.empty(); }
};

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// One replica of the log. Not thread-safe; one driver owns it.
class raft_node {
public:
    raft_node(core::replica_id self, recovered_state recovered, raft_options options,
              std::uint64_t seed, core::time_point now);

    /// Starts a cluster with this replica as its only voter.
    /// Returns false when the replica already belongs to one.
    bool form(std::uint64_t cluster, const std::string& vm, const std::string& address);

    /// Handles a message of the protocol; others are ignored.
    void step(const wire::envelope_t& message, core::time_point now);

    /// Runs timers; expected every few milliseconds.
    void tick(core::time_point now);

    /// Returns when `tick` next has something to do.
    [[nodiscard]] core::time_point next_due() const
    {
        return m_role == role::leader ? m_heartbeat_due : m_election_due;
    }

    /// Returns until when no other replica can have become leader: a quorum answered a
    /// heartbeat that left one shortest election time-out before. The past when unknown.
    /// @param drift what the clocks of two replicas may differ over that time.
    [[nodiscard]] core::time_point lease_end(core::duration drift) const;

    /// Returns when this replica last heard from @p replica as its leader.
    [[nodiscard]] std::optional<core::time_point> last_ack(std::uint64_t replica) const;

    /// Appends a command at the leader. Returns its index, or none when not leader.
    std::optional<std::uint64_t> propose(std::string data, std::uint64_t stamp_ms);

    /// Adds, promotes or removes one member at the leader. Returns the entry's index, or none
    /// while another change is open, or when the change is not of a single member.
    std::optional<std::uint64_t> propose_members(const member_list& members);

    /// Asks for proof that this replica still leads. Returns a round; once
    /// `confirmed_round()` reaches it a quorum has answered after this call.
    std::uint64_t request_read();
    [[nodiscard]] std::uint64_t confirmed_round() const { return m_confirmed_round; }

    /// Hands leadership to the most advanced voter; no effect elsewhere.
    void transfer_leadership(core::time_point now);

    /// Takes the work gathered since the last call.
    ready take_ready();

    /// Says that the work of the last `take_ready` is synced.
    void persisted(core::time_point now);

    /// Offers a snapshot of the applied state at @p index for compaction.
    std::shared_ptr<const snapshot> compact(std::uint64_t index, std::string state);

    [[nodiscard]] role current_role() const { return m_role; }
    [[nodiscard]] bool is_leader() const { return m_role == role::leader; }
    /// Returns whether the leader has committed an entry of its own term.
    [[nodiscard]] bool has_committed_in_term() const;
    [[nodiscard]] std::uint64_t term() const { return m_hard.term; }
    [[nodiscard]] std::uint64_t cluster() const { return m_hard.cluster; }
    [[nodiscard]] std::uint64_t commit_index() const { return m_commit; }
    [[nodiscard]] std::uint64_t last_index() const { return m_log.last_index(); }
    [[nodiscard]] core::replica_id self() const { return core::replica_id{m_self}; }
    [[nodiscard]] std::uint64_t leader() const { return m_leader; }
    [[nodiscard]] std::string leader_address() const;
    [[nodiscard]] const member_list& members() const { return m_members; }
    [[nodiscard]] std::uint64_t match_index(std::uint64_t replica) const;
    [[nodiscard]] const raft_log& log() const { return m_log; }
    [[nodiscard]] bool damaged() const { return m_damaged; }
    [[nodiscard]] bool is_voter() const;

private:
    struct progress {
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        std::uint64_t acked_round = 0;
        std::uint64_t snapshot_offset = 0;
        core::time_point last_ack{};
        core::time_point last_send{};
        bool paused = false; ///< An append with entries is on its way.
    };

    // Elections (raft_node.cpp).
    void become_follower(std::uint64_t term, std::uint64_t leader);
    void become_pre_candidate(core::time_point now);
    void become_candidate(core::time_point now, bool transfer);
    void become_leader(core::time_point now);
    void request_votes(bool pre_vote, bool transfer);
    void count_vote(std::uint64_t voter, core::time_point now);
    void handle(const wire::vote_request_t& request, core::time_point now);
    void handle(const wire::vote_reply_t& reply, core::time_point now);
    void handle(const wire::timeout_now_t& order, core::time_point now);
    void reset_election_timer(core::time_point now);
    void check_quorum(core::time_point now);
    [[nodiscard]] bool log_is_current(std::uint64_t last_index, std::uint64_t last_term) const;
    [[nodiscard]] bool heard_from_leader(core::time_point now) const;

    // Replication (raft_replication.cpp).
    void handle(const wire::append_request_t& request, core::time_point now);
    void handle(const wire::append_reply_t& reply, core::time_point now);
    void handle(const wire::snapshot_request_t& request, core::time_point now);
    void handle(const wire::snapshot_reply_t& reply, core::time_point now);
    void accept_leader(std::uint64_t term, std::uint64_t leader, core::time_point now);
    void append_from_leader(const wire::append_request_t& request);
    void broadcast(core::time_point now, bool heartbeat);
    void send_append(const wire::replica_info_t& to, core::time_point now, bool heartbeat);
    void send_snapshot_chunk(const wire::replica_info_t& to, progress& peer);
    void install(snapshot received);
    void advance_commit();
    void advance_confirmed_round();
    void append_own(wire::entry_kind kind, std::string data, std::uint64_t stamp_ms);
    void track_members();
    void recompute_members();
    [[nodiscard]] bool single_change(const member_list& members) const;

    [[nodiscard]] std::size_t voter_count() const;
    [[nodiscard]] bool is_quorum(std::size_t votes) const { return votes * 2 > voter_count(); }
    [[nodiscard]] const wire::replica_info_t* member(std::uint64_t replica) const;
    [[nodiscard]] bool addressed_to_us(std::uint64_t cluster, std::uint64_t to) const;

    [[nodiscard]] std::string own_address() const;

    template <class Message>
    void send(std::uint64_t to, Message message);

    // Answers at the address in the request: a joining replica knows no members yet.
    template <class Message>
    void answer(std::uint64_t to, const std::string& address, Message message)
    {
        message.cluster = m_hard.cluster;
        message.to = to;
        m_messages.push_back({address, wire::make_envelope(std::move(message))});
    }

    std::uint64_t m_self;
    raft_options m_options;
    core::random_source m_random;
    bool m_damaged;

    hard_state m_hard;
    raft_log m_log;
    member_list m_members;
    member_list m_snapshot_members;
    std::uint64_t m_members_index = 0;
    std::uint64_t m_commit = 0;
    std::uint64_t m_handed_out = 0; ///< Last index given to the driver as committed.
    std::uint64_t m_persisted_index = 0;
    std::shared_ptr<const snapshot> m_snapshot;

    role m_role = role::follower;
    std::uint64_t m_leader = 0;
    core::time_point m_now{};
    core::time_point m_last_leader_contact{};
    core::time_point m_election_due{};
    core::time_point m_heartbeat_due{};
    core::duration m_election_timeout{};
    std::map<std::uint64_t, progress> m_progress;
    std::vector<std::uint64_t> m_votes;
    bool m_self_vote_unsynced = false;
    std::uint64_t m_round = 0;
    std::uint64_t m_confirmed_round = 0;
    std::map<std::uint64_t, core::time_point> m_round_starts; ///< From the confirmed round on.
    bool m_read_wanted = false;
    snapshot m_incoming;

    // Gathered for the next `take_ready`.
    std::vector<outgoing_message> m_early;
    std::vector<outgoing_message> m_messages;
    std::uint64_t m_unsaved_from = 0; ///< First index to write, or 0.
    std::optional<hard_state> m_saved_hard;
    std::shared_ptr<const snapshot> m_unsaved_snapshot;
};

} // namespace siskindrift::consensus
