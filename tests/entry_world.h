// Entry VMs, one control replica, engine fakes and callers over a queue and clocks, with an
// oracle that sees what the engines truly ran. It knows nothing of how the VMs decide.
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

enum class event_kind : std::uint8_t {
    run,
    kill_vm,
    restart_vm,
    freeze_vm,
    thaw_vm,
    cut,
    heal,
    cut_control,
    model_request,
    service_request,
    resend_key,
    caller_leaves,
    restart_engine,
    silent_engine,
    lose_answer,
    cross_answer,
    wrong_adapter,
    refuse,
    fail_load,
    leave,
    serve,
    retire_version,
    create_version,
    drain_vm,
    bounce_vm,
    count
};

/// One step of a run.
struct event {
    event_kind what = event_kind::run;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const event& value);

class world_outputs;

/// The world of one run.
class entry_world {
public:
    /// @param lossy whether the inner network loses, delays and repeats messages.
    explicit entry_world(std::uint64_t seed, const std::string& policy = "siskindrift",
                         bool lossy = true);
    ~entry_world();

    void take(const event& next);
    /// Ends all faults and lets every open request end.
    void settle();
    [[nodiscard]] const std::string& fault() const { return m_fault; }

    /// What became of all requests.
    struct totals {
        std::uint64_t ran = 0;
        std::uint64_t not_run = 0;
        std::uint64_t may_have_run = 0;
        std::uint64_t lost_callers = 0;
        std::uint64_t runs = 0;
    };
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
        std::vector<std::function<void()>> mail; ///< What arrived while it was frozen.
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
        std::map<event_kind, int> armed;
        std::string previous_id;
    };
    struct run_state {
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
        std::string shown_id;
        std::string shown_adapter;
        bool open = true;
    };
    struct asked {
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

    void start_vm(std::size_t at);
    void run_for(std::uint64_t ms);
    void tick();
    void later(std::uint64_t ms, std::function<void()> action);
    void to_vm(std::size_t at, std::uint64_t delay,
               std::function<void(requests::entry_core&)> action);
    void drive_control();
    void announce(std::size_t at);
    void submit(std::size_t at, asked wanted);
    void on_call(std::size_t from, requests::upstream_call call);
    void on_order(std::size_t from, const requests::upstream_call& call, engine& target);
    void begin_run(std::size_t from, const requests::upstream_call& call, std::size_t target);
    void step_run(std::size_t run);
    void end_call(const run_state& one, requests::call_end how, std::uint64_t delay);
    void note_run(const engine& target, const requests::upstream_call& call,
                  const std::string& adapter);
    void on_finish(requests::caller_id caller, const requests::final_response& answer);
    void kill(std::size_t at);
    void config_change(const event& next);
    bool take_armed(engine& target, event_kind what);
    void fail(const std::string& text);
    [[nodiscard]] std::string trace_of(std::size_t at, const std::string& id) const;
    [[nodiscard]] std::size_t vm_of(const std::string& address) const;

    static constexpr std::size_t vm_count = 4;
    static constexpr std::size_t engine_count = 3;

    core::random_source m_random;
    bool m_lossy;
    std::uint64_t m_now_ms = 0;
    std::multimap<std::uint64_t, std::function<void()>> m_events;
    std::vector<vm> m_vms;
    std::vector<engine> m_engines;
    std::vector<run_state> m_runs;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::size_t> m_control_cuts;
    core::manual_clock m_control_clock;
    std::unique_ptr<control::control_core> m_control;
    std::map<control::client_id, std::pair<std::size_t, std::uint64_t>> m_clients;
    std::map<requests::caller_id, std::string> m_by_caller; ///< Request id of each caller.
    std::map<std::string, asked> m_asked;                   ///< By request id.
    std::map<std::string, int> m_runs_of_request;
    std::map<std::string, int> m_runs_of_key;
    std::map<std::string, std::uint64_t> m_retired_at;
    std::vector<std::string> m_keys;
    requests::caller_id m_next_caller = 1;
    std::uint64_t m_next_number = 1;
    std::uint64_t m_next_change = 1;
    totals m_totals;
    std::string m_fault;
};

} // namespace siskindrift::tests
