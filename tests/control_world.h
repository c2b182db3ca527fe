// Deterministic simulation of a control cluster: replicas, disks, a lossy network, VMs and an
// oracle, on one thread with manual clocks and a seeded random source. The oracle checks only
// what is visible from outside, not how the replicas decide.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/control/control_core.h"

namespace siskindrift::tests {

/// Kinds of simulation steps: faults, repairs and client requests.
enum class step_kind : std::uint8_t {
    run, ///< Advance the clocks.
    kill,
    restart,
    wipe,       ///< Erase the disk of a replica, which restarts with a new id.
    tear_write, ///< Crash during the next write.
    freeze,     ///< Suspend the process; its clock goes on.
    thaw,
    cut_one_way,
    cut_both_ways,
    heal,
    change,        ///< Propose a configuration change.
    resend_change, ///< Send an earlier change again under its id.
    race_change,   ///< Send two changes with the same expected revision.
    read,          ///< Read the configuration.
    add_learner,   ///< Add a replica as a member without a vote.
    promote,       ///< Make a learner a voter.
    remove_lost,   ///< Remove a member whose disk was wiped.
    register_vm,
    renew,    ///< Renew the session of a VM.
    acquire,  ///< Acquire the ownership of an upstream.
    release,  ///< Release the ownership of an upstream.
    claim,    ///< Claim an idempotency key.
    finish,   ///< Finish or release the claim of an idempotency key.
    permit,   ///< Request more load permits than the burst allows.
    transfer, ///< Ask a replica to hand over its leadership.
    depose,   ///< Isolate the leader until a successor accepts a change.
    steal,    ///< Acquire an upstream whose owner has stopped renewing.
    count     ///< Number of kinds.
};

/// One step of a run. The meaning of the operands `a` and `b` depends on the kind; indices are
/// taken modulo the number of replicas or VMs.
struct step {
    step_kind kind = step_kind::run;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
};

/// Writes the step as `kind(a,b)`.
std::ostream& operator<<(std::ostream& out, const step& value);

/// Simulates a control cluster for one run and checks its invariants.
class control_world {
public:
    /// Forms a cluster of three voters.
    /// @param seed determines the whole run together with the steps.
    explicit control_world(std::uint64_t seed);

    /// Performs one step and then advances the simulation by 20 ms.
    void apply(const step& next);
    /// Ends all faults and runs the simulation for another 4 s.
    void settle();
    /// Returns the first invariant violation, or an empty string.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    /// Returns the number of accepted configuration changes.
    [[nodiscard]] std::uint64_t accepted() const { return m_accepted_by_revision.size(); }
    /// Returns whether a running replica leads and has committed an entry in its term.
    [[nodiscard]] bool has_leader() const;

private:
    /// State that survives a crash of the replica.
    struct disk {
        consensus::hard_state hard;
        std::optional<consensus::snapshot> base;
        std::vector<wire::log_entry_t> entries;
    };
    struct replica {
        std::uint64_t id = 0;
        disk stored;
        std::unique_ptr<core::manual_clock> clock;
        std::unique_ptr<control::control_core> core;
        double rate = 1.0; ///< Clock speed relative to simulated time.
        bool frozen = false;
        bool tear_next_write = false; ///< Crash during the next write, which is lost.
        std::vector<wire::envelope_t> frozen_messages;
        std::vector<std::pair<control::client_id, wire::control_request_t>> frozen_requests;
    };
    struct in_flight_message {
        std::size_t from = 0;
        std::size_t to = 0;
        wire::envelope_t message;
    };
    struct vm {
        std::unique_ptr<core::manual_clock> clock;
        double rate = 1.0;
        core::time_point lease_until{};
        std::map<std::string, std::uint64_t> owned;
        std::uint64_t version = 0;
    };
    struct issued_request {
        step_kind kind = step_kind::run;
        std::string subject;
        std::size_t vm = 0;
        core::time_point vm_time{};
        /// Of a read: latest revision accepted before it began; of a change: expected revision.
        std::uint64_t base_revision = 0;
        std::string request_id;
    };

    void start(replica& one, std::size_t index);
    /// Persists, sends and applies the pending work of one replica.
    void process_ready(std::size_t index);
    void persist(replica& one, const consensus::ready& work);
    void send_messages(std::size_t from, const std::vector<consensus::outgoing_message>& messages);
    void deliver();
    void run_for(core::milliseconds length);
    void submit(std::size_t index, wire::control_request_t request, issued_request issued);
    void on_reply(const control::client_reply& reply);
    void check_change(const issued_request& issued, const wire::control_reply_t& reply);
    void check_claim(const issued_request& issued, const wire::control_reply_t& reply);
    void on_grant(const issued_request& issued, const wire::session_grant_t& grant);
    void check_single_owner();
    void check_permit_budget();
    void check_commits(const replica& one, const consensus::ready& work);
    void change(const std::string& id, std::uint64_t expected, std::size_t index);
    void member_step(const step& next);
    void vm_step(const step& next);
    void claim_step(const step& next);
    void isolate_leader_step(const step& next);
    void contend_step(const step& next);
    void record_violation(const std::string& text);
    [[nodiscard]] std::optional<std::size_t> leader_at() const;
    [[nodiscard]] bool all_voters_intact() const;

    static constexpr std::size_t replica_count = 3;
    static constexpr std::size_t vm_count = 3;

    core::random_source m_random;
    std::vector<replica> m_replicas;
    std::vector<vm> m_vms;
    std::multimap<std::uint64_t, in_flight_message> m_in_flight; ///< By delivery time, ms.
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::uint64_t m_now_ms = 0;
    std::uint64_t m_next_replica_id = 100;
    std::uint64_t m_next_request = 1;
    std::uint64_t m_next_change = 1;
    std::set<std::uint64_t> m_wiped_ids;
    std::string m_violation;

    // Observations that the invariants are checked against.
    std::map<std::uint64_t, issued_request> m_issued;
    std::map<std::uint64_t, std::uint64_t> m_leader_of_term;
    std::map<std::uint64_t, std::string> m_committed;
    std::map<std::uint64_t, std::uint64_t> m_state_digests;
    std::map<std::string, std::string> m_change_answers;
    std::map<std::uint64_t, std::string> m_accepted_by_revision;
    std::map<std::string, std::string> m_claim_holders;
    std::set<std::string> m_released_claims;
    std::map<std::uint64_t, std::uint64_t> m_expected; ///< Expected revision by change number.
    std::uint64_t m_latest_revision = 0;
    std::deque<double> m_permit_times;
};

} // namespace siskindrift::tests
