// Deterministic simulation of entry VMs, one control replica, fake engines and callers, on one
// thread with manual clocks and an event queue. An oracle compares the answers with the work that
// the engines ran; it does not depend on how the VMs decide.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/control/control_core.h"
#include "siskindrift/requests/entry_core.h"

namespace siskindrift::tests {

/// Kinds of simulation events: faults, repairs, requests and configuration changes.
enum class event_kind : std::uint8_t {
    run, ///< Advance the clocks.
    kill_vm,
    restart_vm,
    freeze_vm, ///< Suspend the process; its clock goes on.
    thaw_vm,
    cut, ///< Partition two VMs.
    heal,
    cut_control, ///< Partition a VM from the control replica.
    model_request,
    service_request,
    resend_key, ///< Send an idempotency key again.
    caller_leaves,
    restart_engine,
    silent_engine, ///< Stop the output of the open runs of an engine.
    lose_answer,   ///< Lose the last piece of the next answer.
    cross_answer,  ///< Answer with the id of the previous request.
    wrong_adapter, ///< Run the next request on another adapter.
    refuse,        ///< Let an engine reject its next request.
    fail_load,     ///< Let the next adapter load of an engine fail.
    leave,         ///< Let an engine announce that it is leaving.
    serve,         ///< Let an engine that is leaving serve again.
    retire_version,
    create_version,
    drain_vm,
    bounce_vm, ///< Kill a VM and restart it after 100 ms.
    count      ///< Number of kinds.
};

/// One event of a run. The meaning of the operands `a` and `b` depends on the kind; indices are
/// taken modulo the number of VMs, engines or adapters.
struct event {
    event_kind kind = event_kind::run;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
};

/// Writes the event as `kind(a,b)`.
std::ostream& operator<<(std::ostream& out, const event& value);

class world_outputs;

/// Simulates an entry fleet for one run and checks its invariants.
class entry_world {
public:
    /// @param seed determines the whole run together with the events.
    /// @param policy name of the placement and residency policy.
    /// @param lossy whether the inner network loses, delays and duplicates messages.
    explicit entry_world(std::uint64_t seed, const std::string& policy = "siskindrift",
                         bool lossy = true);
    ~entry_world();

    /// Performs one event and then advances the simulation by 20 ms.
    void apply(const event& next);
    /// Ends all faults and runs until the deadlines of all open requests have passed.
    /// A request that still has no final answer is a violation.
    void settle();
    /// Returns the first invariant violation, or an empty string.
    [[nodiscard]] const std::string& violation() const { return m_violation; }

    /// Numbers of requests by verdict, of callers lost with their VM, and of runs on engines.
    struct totals {
        std::uint64_t ran = 0;
        std::uint64_t not_run = 0;
        std::uint64_t may_have_run = 0;
        std::uint64_t lost_callers = 0;
        std::uint64_t runs = 0;
    };
    /// Returns the totals of the run so far.
    [[nodiscard]] const totals& counts() const { return m_totals; }

private:
    friend class world_outputs;

    struct vm {
        std::unique_ptr<world_outputs> outputs;
        std::unique_ptr<core::manual_clock> clock;
        std::unique_ptr<requests::entry_core> core;
        std::uint64_t generation = 0;
        bool frozen = false;
        bool draining = false;
        bool leaving = false;
        std::uint64_t leave_at = 0;
        /// Deliveries held back while the VM is frozen.
        std::vector<std::function<void()>> frozen_actions;
    };
    struct engine {
        std::string id;
        bool service = false;
        bool checks_fencing = false;
        std::uint64_t incarnation = 1;
        std::uint64_t sequence = 0;
        std::uint64_t fencing = 0;
        std::optional<std::uint64_t> leaving_since;
        std::set<std::string> adapters;
        std::map<event_kind, int> armed; ///< One-shot faults that are still to occur.
        std::string previous_id;         ///< Request id of the previous run.
    };
    struct engine_run {
        std::size_t vm = 0;
        std::uint64_t generation = 0;
        requests::call_id call = 0;
        std::size_t engine = 0;
        std::uint64_t incarnation = 0;
        std::string adapter;
        std::vector<std::string> pieces;
        std::size_t next = 0;
        bool silent = false;
        bool lost = false;
        std::string reported_id;
        std::string reported_adapter;
        bool open = true;
    };
    struct issued_request {
        std::size_t vm = 0;
        std::string key;
        std::string adapter;
        std::string prompt;
        std::uint64_t at_ms = 0;
        std::string text;
        std::optional<core::verdict> verdict;
        std::uint32_t tokens = 0;
        bool service = false;
        std::uint64_t number = 0;
    };

    void start_vm(std::size_t index);
    void run_for(std::uint64_t ms);
    void tick();
    void schedule(std::uint64_t ms, std::function<void()> action);
    void deliver_to_vm(std::size_t index, std::uint64_t delay,
                       std::function<void(requests::entry_core&)> action);
    void drive_control();
    void announce(std::size_t index);
    void submit(std::size_t index, issued_request issued);
    void on_call(std::size_t from, requests::upstream_call call);
    void on_adapter_call(std::size_t from, const requests::upstream_call& call, engine& target);
    void start_run(std::size_t from, const requests::upstream_call& call, std::size_t target);
    void step_run(std::size_t run);
    void end_call(const engine_run& one, requests::call_end how, std::uint64_t delay);
    void record_run(const engine& target, const requests::upstream_call& call,
                    const std::string& adapter);
    void on_finish(requests::caller_id caller, const requests::final_response& answer);
    void kill(std::size_t index);
    void config_change(const event& next);
    bool consume_armed(engine& target, event_kind kind);
    void record_violation(const std::string& text);
    [[nodiscard]] std::string trace_of(std::size_t index, const std::string& id) const;
    [[nodiscard]] std::size_t vm_index(const std::string& address) const;

    static constexpr std::size_t vm_count = 4;
    static constexpr std::size_t engine_count = 3;

    core::random_source m_random;
    bool m_lossy;
    std::uint64_t m_now_ms = 0;
    std::multimap<std::uint64_t, std::function<void()>> m_events;
    std::vector<vm> m_vms;
    std::vector<engine> m_engines;
    std::vector<engine_run> m_runs;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::size_t> m_control_cuts;
    core::manual_clock m_control_clock;
    std::unique_ptr<control::control_core> m_control;
    std::map<control::client_id, std::pair<std::size_t, std::uint64_t>> m_clients;
    std::map<requests::caller_id, std::string> m_request_by_caller; ///< Request id by caller.
    std::map<std::string, issued_request> m_issued;                 ///< By request id.
    std::map<std::string, int> m_runs_by_request;
    std::map<std::string, int> m_runs_by_key;
    std::map<std::string, std::uint64_t> m_retired_at;
    std::vector<std::string> m_keys;
    requests::caller_id m_next_caller = 1;
    std::uint64_t m_next_number = 1;
    std::uint64_t m_next_change = 1;
    totals m_totals;
    std::string m_violation;
};

} // namespace siskindrift::tests
