// One control replica without I/O: consensus, replicated state, sessions of VMs and load permits.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/consensus/raft_node.h"
#include "siskindrift/state/control_state.h"
#include "siskindrift/state/permit_allocator.h"
#include "siskindrift/state/session_table.h"

namespace siskindrift::control {

/// Identifies the connection that a request arrived on.
using client_id = std::uint64_t;

/// A reply and the connection that it is for.
struct client_reply {
    client_id client = 0;
    wire::control_reply_t reply;
};

/// Options of a control replica. `limits` must be equal on all replicas.
struct control_options {
    consensus::raft_options raft;
    state::state_limits limits;
    state::session_options sessions;
    state::store_budget budget;
    std::uint64_t compact_after = 4096; ///< Number of log entries between two snapshots.

    /// Bytes of log entries between two snapshots. Bounds the memory and the disk space of the log.
    std::uint64_t compact_after_bytes = 8UL * 1024 * 1024;

    /// Bytes of log entries that may wait for a quorum. Further writes are answered with
    /// `unavailable`.
    std::uint64_t max_uncommitted_bytes = 8UL * 1024 * 1024;

    /// How long a permit request waits before it is answered with `unavailable`.
    core::duration permit_timeout = core::milliseconds{400};
};

/// Validates a change of the configuration before it is proposed.
class change_checker {
public:
    change_checker() = default;
    change_checker(const change_checker&) = delete;
    change_checker& operator=(const change_checker&) = delete;
    virtual ~change_checker() = default;

    /// @param current the configuration in force
    /// @param change the operations to apply to it
    /// @returns an error message, or no value when the change is valid
    [[nodiscard]] virtual std::optional<std::string>
    check(const std::map<std::string, std::string>& current,
          const wire::apply_change_t& change) const = 0;
};

/// Handles the requests of clients and the messages of the consensus protocol. Not thread-safe; a
/// single driver owns it.
///
/// The driver feeds messages and ticks, then runs one cycle: `take_ready`, sends
/// `messages_before_sync`, writes and syncs, sends `messages_after_sync`, calls `apply_ready`, and
/// sends `take_replies`.
class control_core {
public:
    /// @param self identity of this replica
    /// @param recovered durable state from the previous run; empty for a new replica
    /// @param options options of consensus, state, sessions and permits
    /// @param seed seed of the random numbers; also gives the identity of a cluster formed here
    /// @param time clock of the process; must outlive this object
    /// @param checker validates changes; must outlive this object. Null accepts every change.
    control_core(core::replica_id self, consensus::recovered_state recovered,
                 control_options options, std::uint64_t seed, const core::clock& time,
                 const change_checker* checker);

    /// Handles a message of the consensus protocol.
    void on_peer(const wire::envelope_t& message);

    /// Handles a request that arrived on @p client. `take_replies` returns the reply once it is
    /// known.
    void on_request(client_id client, const wire::control_request_t& request);

    /// Runs the timers of consensus, sessions and permits. Expected every few milliseconds.
    void tick();

    /// Returns the work that has accumulated since the previous call.
    consensus::ready take_ready();

    /// Applies the committed entries of @p work. Called once @p work is written and synced.
    ///
    /// @returns a snapshot for the driver to store, or null when none is due
    std::shared_ptr<const consensus::snapshot> apply_ready(const consensus::ready& work);

    /// Makes the next `apply_ready` return a snapshot if anything was applied since the last one.
    void request_compaction() { m_compaction_requested = true; }

    /// Returns the replies that have accumulated since the previous call.
    std::vector<client_reply> take_replies();

    /// Proposes a new list of members.
    ///
    /// @returns false when `raft_node::propose_members` doesn't accept it
    bool change_members(const consensus::member_list& members);

    /// Records that a member has lost its disk for good, see `raft_node::mark_lost`.
    bool mark_lost(std::uint64_t replica) { return m_raft.mark_lost(replica); }

    /// Transfers leadership to another replica, as part of a graceful stop.
    void prepare_stop();

    [[nodiscard]] const consensus::raft_node& raft() const { return m_raft; }
    [[nodiscard]] const state::control_state& state() const { return m_state; }
    /// Returns the index of the last entry that has been applied to the state.
    [[nodiscard]] std::uint64_t applied() const { return m_applied; }

private:
    /// A proposed command whose entry isn't applied yet.
    struct pending_write {
        client_id client = 0;
        std::uint64_t request = 0;
        std::uint64_t term = 0;
    };
    /// A request that waits until a quorum confirms the leadership.
    struct pending_read {
        client_id client = 0;
        wire::control_request_t request;
        std::uint64_t round = 0;
        std::uint64_t commit = 0; ///< Commit index at the request; must be applied before it.
    };
    /// A request for a permit that waits in the permit allocator.
    struct pending_permit {
        client_id client = 0;
        std::uint64_t request = 0;
    };

    void propose(client_id client, const wire::control_request_t& request);
    void answer_status(client_id client, std::uint64_t request);
    void answer_form(client_id client, const wire::control_request_t& request);
    void answer_change_member(client_id client, const wire::control_request_t& request);
    void answer_read(const pending_read& read);
    void answer_renewal(const pending_read& read, const wire::renew_session_t& renewal);
    void answer_confirmed_reads();
    void process_permits();
    void expire_sessions();
    void update_leadership();
    void apply(const wire::log_entry_t& entry);
    [[nodiscard]] bool compaction_due() const;
    /// Returns the bytes of the log entries that aren't applied yet.
    [[nodiscard]] std::uint64_t unapplied_bytes() const;
    void after_apply(const wire::log_entry_t& entry);
    void update_budget();
    void reply(client_id client, std::uint64_t request, wire::control_outcome outcome,
               std::string detail = {});
    void send(client_id client, std::uint64_t request, wire::control_reply_t answer);
    void reply_not_leader(client_id client, std::uint64_t request);

    const core::clock& m_clock;
    control_options m_options;
    const change_checker* m_checker;
    consensus::raft_node m_raft;
    state::control_state m_state;
    state::session_table m_sessions;
    state::permit_allocator m_permits;
    std::uint64_t m_seed;
    std::uint64_t m_applied = 0;
    std::uint64_t m_applied_bytes = 0; ///< Of the applied entries since the last snapshot.
    bool m_compaction_requested = false;
    std::uint64_t m_active_term = 0; ///< Term for which sessions and permits are set up, or 0.
    std::multimap<std::uint64_t, pending_write> m_pending_writes; ///< By log index.
    std::vector<pending_read> m_pending_reads;
    std::map<std::uint64_t, pending_permit> m_pending_permits; ///< By ticket.
    std::uint64_t m_next_ticket = 1;
    std::vector<client_reply> m_replies;
};

} // namespace siskindrift::control
