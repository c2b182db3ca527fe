// One control replica as a pure state machine: consensus, replicated state, sessions, permits.
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

/// Names the connection that a request came on.
using client_id = std::uint64_t;

/// An answer for the connection that asked.
struct client_reply {
    client_id client = 0;
    wire::control_reply_t reply;
};

struct control_options {
    consensus::raft_options raft;
    state::state_limits limits;
    state::session_options sessions;
    state::store_budget budget;
    std::uint64_t compact_after = 4096; ///< Entries between two snapshots.
    core::duration permit_patience = core::milliseconds{400};
};

/// Checks the operations of a change before they are proposed; returns an error text or none.
class change_checker {
public:
    change_checker() = default;
    change_checker(const change_checker&) = delete;
    change_checker& operator=(const change_checker&) = delete;
    virtual ~change_checker() = default;

    [[nodiscard]] virtual std::optional<std::string>
    check(const std::map<std::string, std::string>& current,
          const wire::apply_change_t& change) const = 0;
};

/// Decides everything a control process answers. Not thread-safe; one driver owns it.
///
/// The driver feeds messages and ticks, then runs one cycle: `take_ready`, sends
/// `messages_before_sync`, writes and syncs, sends `messages_after_sync`, calls `apply_ready`, and
/// sends `take_replies`.
class control_core {
public:
    control_core(core::replica_id self, consensus::recovered_state recovered,
                 control_options options, std::uint64_t seed, const core::clock& time,
                 const change_checker* checker);

    /// Handles a message of the consensus protocol.
    void on_peer(const wire::envelope_t& message);

    /// Handles a request that came on @p client.
    void on_request(client_id client, const wire::control_request_t& request);

    void tick();

    consensus::ready take_ready();

    /// Applies what was committed, once the work of `take_ready` is synced.
    /// Returns a snapshot to store when one is due.
    std::shared_ptr<const consensus::snapshot> apply_ready(const consensus::ready& work);

    std::vector<client_reply> take_replies();

    /// Proposes @p members at the leader. Returns false while another change is open.
    bool change_members(const consensus::member_list& members);

    /// Hands leadership over, as part of a graceful stop.
    void prepare_stop();

    [[nodiscard]] const consensus::raft_node& raft() const { return m_raft; }
    [[nodiscard]] const state::control_state& state() const { return m_state; }
    [[nodiscard]] std::uint64_t applied() const { return m_applied; }

private:
    struct pending_write {
        client_id client = 0;
        std::uint64_t request = 0;
        std::uint64_t term = 0;
    };
    struct pending_read {
        client_id client = 0;
        wire::control_request_t request;
        std::uint64_t round = 0;
    };
    struct pending_permit {
        client_id client = 0;
        std::uint64_t request = 0;
    };

    void propose(client_id client, const wire::control_request_t& request);
    void answer_status(client_id client, std::uint64_t request);
    void answer_form(client_id client, const wire::control_request_t& request);
    void answer_change_member(client_id client, const wire::control_request_t& request);
    void answer_confirmed(const pending_read& read);
    void answer_renewal(const pending_read& read, const wire::renew_session_t& renewal);
    void finish_reads();
    void run_permits();
    void run_sessions();
    void note_leadership();
    void apply(const wire::log_entry_t& entry);
    void note_applied(const wire::log_entry_t& entry);
    void read_budget();
    void reply(client_id client, std::uint64_t request, wire::control_outcome outcome,
               std::string detail = {});
    void send(client_id client, std::uint64_t request, wire::control_reply_t answer);
    void refuse_not_leader(client_id client, std::uint64_t request);

    const core::clock& m_clock;
    control_options m_options;
    const change_checker* m_checker;
    consensus::raft_node m_raft;
    state::control_state m_state;
    state::session_table m_sessions;
    state::permit_allocator m_permits;
    std::uint64_t m_seed;
    std::uint64_t m_applied = 0;
    std::uint64_t m_led_term = 0; ///< Term whose leadership the books were begun for.
    std::multimap<std::uint64_t, pending_write> m_writes; ///< By log index.
    std::vector<pending_read> m_reads;
    std::map<std::uint64_t, pending_permit> m_permit_tickets;
    std::uint64_t m_next_ticket = 1;
    std::vector<client_reply> m_replies;
};

} // namespace siskindrift::control
