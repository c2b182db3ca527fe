// Control replicas, a network with faults, clients and an oracle, on one thread and from a
// seed. A queue and clocks; it knows nothing of how the replicas decide.
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

enum class fault_kind : std::uint8_t {
    run,
    kill,
    restart,
    wipe,
    tear_write,
    freeze,
    thaw,
    cut_one_way,
    cut_both_ways,
    heal,
    change,
    resend_change,
    race_change,
    read,
    add_learner,
    promote,
    remove_lost,
    register_vm,
    renew,
    acquire,
    release,
    claim,
    finish,
    permit,
    transfer,
    depose,
    steal,
    count
};

/// One step of a run.
struct step {
    fault_kind what = fault_kind::run;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const step& value);

/// The world of one run.
class control_world {
public:
    explicit control_world(std::uint64_t seed);

    /// Carries out one step and what follows from it within a few milliseconds.
    void take(const step& next);
    /// Ends all faults and lets the replicas settle.
    void settle();
    /// Returns the first broken promise, or an empty text.
    [[nodiscard]] const std::string& fault() const { return m_fault; }
    [[nodiscard]] std::uint64_t accepted() const { return m_accepted_by_revision.size(); }
    [[nodiscard]] bool has_leader() const;

private:
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
        double rate = 1.0;
        bool frozen = false;
        bool tear = false;
        std::vector<wire::envelope_t> frozen_mail;
        std::vector<std::pair<control::client_id, wire::control_request_t>> frozen_requests;
    };
    struct parcel {
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
    struct asked {
        fault_kind what = fault_kind::run;
        std::string subject;
        std::size_t vm = 0;
        core::time_point vm_time{};
        std::uint64_t floor = 0; ///< Largest revision accepted before a read began.
        std::string request_id;
    };

    void start(replica& one, std::size_t at);
    void cycle(std::size_t at);
    void write(replica& one, const consensus::ready& work);
    void post(std::size_t from, const std::vector<consensus::outgoing_message>& messages);
    void deliver();
    void run_for(core::milliseconds length);
    void ask(std::size_t at, wire::control_request_t request, asked about);
    void take_reply(const control::client_reply& reply);
    void check_change(const asked& about, const wire::control_reply_t& reply);
    void check_claim(const asked& about, const wire::control_reply_t& reply);
    void take_grant(const asked& about, const wire::session_grant_t& grant);
    void check_owners();
    void check_permit();
    void check_commits(const replica& one, const consensus::ready& work);
    void change(const std::string& id, std::uint64_t expected, std::size_t at);
    void member_step(const step& next);
    void vm_step(const step& next);
    void claim_step(const step& next);
    void depose_step(const step& next);
    void steal_step(const step& next);
    void fail(const std::string& text);
    [[nodiscard]] std::optional<std::size_t> leader_at() const;
    [[nodiscard]] bool all_voters_intact() const;

    static constexpr std::size_t replica_count = 3;
    static constexpr std::size_t vm_count = 3;

    core::random_source m_random;
    std::vector<replica> m_replicas;
    std::vector<vm> m_vms;
    std::multimap<std::uint64_t, parcel> m_mail; ///< By delivery time in ms.
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::uint64_t m_now_ms = 0;
    std::uint64_t m_next_replica_id = 100;
    std::uint64_t m_next_request = 1;
    std::uint64_t m_next_change = 1;
    std::set<std::uint64_t> m_lost_ids;
    std::string m_fault;

    // What was seen.
    std::map<std::uint64_t, asked> m_asked;
    std::map<std::uint64_t, std::uint64_t> m_leader_of_term;
    std::map<std::uint64_t, std::string> m_committed;
    std::map<std::uint64_t, std::uint64_t> m_digests;
    std::map<std::string, std::string> m_change_answers;
    std::map<std::uint64_t, std::string> m_accepted_by_revision;
    std::map<std::string, std::string> m_claim_holders;
    std::set<std::string> m_released_claims;
    std::map<std::uint64_t, std::uint64_t> m_expected; ///< Of each change, by its number.
    std::uint64_t m_known_revision = 0;
    std::deque<double> m_permit_times;
};

} // namespace siskindrift::tests
