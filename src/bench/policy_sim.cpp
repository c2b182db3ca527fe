#include "policy_sim.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace siskindrift::bench {
namespace {

using core::milliseconds;
using core::time_point;
using engines::engine_action;

constexpr std::size_t vm_count = 7;
constexpr double step_base_ms = 16.0;
constexpr double step_per_request_ms = 0.4;
constexpr milliseconds digest_interval{250};
constexpr milliseconds report_interval{900};
constexpr milliseconds tick_interval{10};
constexpr milliseconds unload_time{2};
constexpr std::chrono::microseconds network_delay{1500}; // one way, between failure domains
constexpr double deadline_s = 20.0;
constexpr double first_token_bound_ms = 820.0;
constexpr std::uint32_t max_attempts = 3;
constexpr double warm_up_s = 60.0; // excludes the cold start, which engine_restart covers

core::duration seconds_of(double value)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(value));
}

double ms_of(core::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

core::adapter_version adapter_name(std::uint32_t number)
{
    return core::adapter_version{"adapter-" + std::to_string(number) + "@1"};
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[at];
}

// Discrete-event simulation of one policy under one workload.
class simulation {
public:
    simulation(const std::string& policy, const deployment_shape& shape, workload kind,
               const std::vector<arrival>& arrivals, double seconds, std::uint64_t seed)
        : m_shape(shape), m_kind(kind), m_arrivals(arrivals), m_seconds(seconds), m_random(seed),
          m_residency(engines::make_residency_policy(policy)),
          m_store({shape.loads_per_second, milliseconds{250}, 8}), m_permits(budget_of(shape))
    {
        routing::placement_options options;
        options.stall_weight = shape.stall_weight;
        options.loads_per_second = shape.loads_per_second;
        m_placement = routing::make_placement_policy(policy, options);
        for (std::size_t i = 0; i < shape.engines; ++i) {
            m_engines.push_back(make_engine(i, 1));
        }
        for (auto& views : m_views) {
            views.resize(shape.engines);
        }
        // The leader was elected 10 s ago, so its initial period without grants is over.
        m_permits.begin_term(m_now - std::chrono::seconds{10});
    }

    sim_result run()
    {
        for (const auto& next : m_arrivals) {
            schedule_at(m_begin + seconds_of(next.at_s),
                        [this, &next] { route_request(next, 0, {}); });
        }
        schedule_every(tick_interval, [this] { tick(); });
        schedule_every(digest_interval, [this] { send_digests(); });
        schedule_every(report_interval, [this] { send_reports(); });
        if (m_kind == workload::engine_restart) {
            schedule_at(m_begin + seconds_of(m_seconds / 2), [this] { restart_engine(0); });
        }
        const auto end = m_begin + seconds_of(m_seconds + deadline_s + 5.0);
        while (!m_events.empty() && m_events.top().when <= end) {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.action();
        }
        return measure();
    }

private:
    struct scheduled {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const scheduled& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    struct request {
        const arrival* spec = nullptr;
        std::size_t engine = 0;
        std::uint32_t attempt = 0;
        std::uint32_t left = 0;
        time_point admitted{};
        bool was_resident = false;
        bool first_token_seen = false;
        std::set<std::size_t> avoided;
    };
    struct engine {
        wire::announcement_t announcement;
        std::unique_ptr<engines::engine_owner> owner;
        std::set<engines::work_id> running;
        bool stepping = false;
        time_point busy_since{};
        std::set<std::string> adapters;
    };

    static state::store_budget budget_of(const deployment_shape& shape)
    {
        state::store_budget budget;
        budget.loads_per_second = shape.loads_per_second;
        return budget;
    }

    engine make_engine(std::size_t number, std::uint64_t incarnation) const
    {
        engine created;
        created.announcement.upstream = "engine-" + std::to_string(number);
        created.announcement.incarnation = incarnation;
        created.announcement.slots = m_shape.slots;
        created.announcement.batch = m_shape.batch;
        created.owner = std::make_unique<engines::engine_owner>(
            created.announcement, *m_residency, engines::engine_owner_options{}, m_now);
        return created;
    }

    void schedule_at(time_point when, std::function<void()> action)
    {
        m_events.push({when, m_next_order++, std::move(action)});
    }

    void schedule_every(core::duration every, std::function<void()> action)
    {
        schedule_at(m_now + every, [this, every, action] {
            action();
            if (m_now < m_begin + seconds_of(m_seconds + deadline_s)) {
                schedule_every(every, action);
            }
        });
    }

    void route_request(const arrival& spec, std::uint32_t attempt, std::set<std::size_t> avoided)
    {
        const auto vm = core::uniform_below(m_random, vm_count);
        auto& views = m_views[vm];
        std::vector<const routing::engine_status*> candidates;
        for (std::size_t i = 0; i < views.size(); ++i) {
            auto& view = views[i];
            view.id = core::upstream_id{m_engines[i].announcement.upstream};
            view.slots = m_shape.slots;
            view.batch = m_shape.batch;
            if (!avoided.contains(i)) {
                candidates.push_back(&view);
            }
        }
        const auto adapter = adapter_name(spec.adapter);
        const auto chosen = m_placement->choose(adapter, candidates);
        if (!chosen) {
            ++m_deadline_misses;
            return;
        }
        const auto number = std::stoul(chosen->value().substr(chosen->value().find('-') + 1));
        ++views[number].dispatched_since_digest;
        request entry;
        entry.spec = &spec;
        entry.engine = number;
        entry.attempt = attempt;
        entry.left = spec.tokens;
        entry.avoided = std::move(avoided);
        schedule_at(m_now + network_delay,
                    [this, entry = std::move(entry)]() mutable { admit(std::move(entry)); });
    }

    void admit(request entry)
    {
        auto& target = m_engines[entry.engine];
        engines::queued_work work;
        work.id = m_next_work++;
        work.adapter = adapter_name(entry.spec->adapter);
        work.team = core::team_id{"team-" + std::to_string(entry.spec->team)};
        work.cost = entry.spec->tokens;
        work.arrived = m_now;
        work.deadline = m_begin + seconds_of(entry.spec->at_s + deadline_s);
        entry.admitted = m_now;
        entry.was_resident = target.owner->table().resident(work.adapter);
        if (target.owner->enqueue(work, m_now)) {
            retry(std::move(entry));
            return;
        }
        const auto number = entry.engine;
        m_requests[work.id] = std::move(entry);
        step(number);
    }

    void record_stall(const request& entry, double ms)
    {
        if (entry.spec->at_s >= warm_up_s) {
            m_stalls.push_back(ms);
        }
    }

    void retry(request entry)
    {
        const bool late = ms_of(m_now - m_begin) / 1000.0 >= entry.spec->at_s + deadline_s;
        if (late || entry.attempt + 1 >= max_attempts) {
            ++m_deadline_misses;
            // The request waited for its adapter until its deadline.
            record_stall(entry, late && !entry.was_resident ? deadline_s * 1000.0 : 0.0);
            return;
        }
        entry.avoided.insert(entry.engine);
        route_request(*entry.spec, entry.attempt + 1, entry.avoided);
    }

    void step(std::size_t number)
    {
        for (const auto& action : m_engines[number].owner->step(m_now)) {
            execute(number, action);
        }
    }

    void execute(std::size_t number, const engine_action& action)
    {
        auto& target = m_engines[number];
        const auto incarnation = target.announcement.incarnation;
        switch (action.type) {
        case engine_action::kind::start:
            start(number, action.work);
            break;
        case engine_action::kind::refuse: {
            auto entry = std::move(m_requests.at(action.work));
            m_requests.erase(action.work);
            retry(std::move(entry));
            break;
        }
        case engine_action::kind::load: {
            ++m_loads;
            const auto ends = m_store.begin_load(m_now);
            const bool fails =
                m_kind == workload::failing_loads && core::uniform_below(m_random, 10) == 0;
            schedule_at(ends, [this, number, incarnation, action, fails] {
                m_store.end_load();
                m_permits.return_permit(action.permit);
                auto& loaded = m_engines[number];
                if (loaded.announcement.incarnation != incarnation) {
                    return;
                }
                loaded.owner->on_load_finished(action.adapter, !fails, m_now);
                if (!fails) {
                    loaded.adapters.insert(action.adapter.value());
                }
                step(number);
            });
            break;
        }
        case engine_action::kind::unload:
            ++m_evictions;
            target.adapters.erase(action.adapter.value());
            schedule_at(m_now + unload_time, [this, number, incarnation, action] {
                if (m_engines[number].announcement.incarnation == incarnation) {
                    m_engines[number].owner->on_unload_finished(action.adapter, true, m_now);
                    step(number);
                }
            });
            break;
        case engine_action::kind::request_permit:
            m_permits.enqueue(m_next_ticket, action.benefit, m_now);
            m_tickets[m_next_ticket++] = number;
            break;
        case engine_action::kind::return_permit:
            m_permits.return_permit(action.permit);
            break;
        }
    }

    void start(std::size_t number, engines::work_id work)
    {
        auto& target = m_engines[number];
        auto& entry = m_requests.at(work);
        const auto arrived = m_begin + seconds_of(entry.spec->at_s);
        record_stall(entry, entry.was_resident ? 0.0 : ms_of(m_now - arrived));
        m_wait_by_team[entry.spec->team].push_back(ms_of(m_now - arrived));
        if (target.running.empty()) {
            target.busy_since = m_now;
        }
        target.running.insert(work);
        if (!target.stepping) {
            schedule_step(number);
        }
    }

    void schedule_step(std::size_t number)
    {
        auto& target = m_engines[number];
        target.stepping = true;
        const double ms =
            step_base_ms + step_per_request_ms * static_cast<double>(target.running.size());
        schedule_at(m_now + seconds_of(ms / 1000.0),
                    [this, number, incarnation = target.announcement.incarnation] {
                        if (m_engines[number].announcement.incarnation == incarnation) {
                            run_batch_step(number);
                        }
                    });
    }

    void run_batch_step(std::size_t number)
    {
        auto& target = m_engines[number];
        target.stepping = false;
        m_capacity_tokens +=
            m_shape.batch *
            (step_base_ms + step_per_request_ms * static_cast<double>(target.running.size())) /
            (step_base_ms + step_per_request_ms * m_shape.batch);
        std::vector<engines::work_id> done;
        for (const auto work : target.running) {
            auto& entry = m_requests.at(work);
            ++m_tokens;
            if (!entry.first_token_seen) {
                entry.first_token_seen = true;
                const double latency_ms = ms_of(m_now - m_begin) - entry.spec->at_s * 1000.0;
                m_first_tokens.push_back({entry.spec->at_s, latency_ms});
            }
            if (--entry.left == 0) {
                done.push_back(work);
            }
        }
        for (const auto work : done) {
            auto& entry = m_requests.at(work);
            const double latency_s = ms_of(m_now - m_begin) / 1000.0 - entry.spec->at_s;
            m_request_time_s += latency_s;
            latency_s <= deadline_s ? ++m_answered : ++m_deadline_misses;
            target.running.erase(work);
            target.owner->finish(work, true, m_now);
            m_requests.erase(work);
        }
        step(number);
        if (!target.running.empty() && !target.stepping) {
            schedule_step(number);
        }
    }

    void tick()
    {
        for (const auto& granted : m_permits.grant(m_now)) {
            const auto number = m_tickets.extract(granted.ticket).mapped();
            m_engines[number].owner->on_permit_granted(granted.permit, m_now);
            step(number);
        }
        for (const auto ticket : m_permits.take_timed_out(m_now, milliseconds{400})) {
            const auto number = m_tickets.extract(ticket).mapped();
            m_engines[number].owner->on_permit_denied(m_now);
        }
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            step(i);
        }
    }

    void send_digests()
    {
        const double at_s = ms_of(m_now - m_begin) / 1000.0;
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            const bool cut = m_kind == workload::vm_cut && vm == 0 && at_s > m_seconds / 2;
            if (cut) {
                continue; // the disconnected VM routes by its last digests
            }
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                update_view(m_views[vm][i], *m_engines[i].owner, m_now);
            }
        }
    }

    static void update_view(routing::engine_status& view, const engines::engine_owner& owner,
                            time_point now)
    {
        view.running = owner.running();
        view.waiting = owner.waiting_for_batch_slot();
        view.eviction_cost = owner.eviction_cost(now);
        view.dispatched_since_digest = 0;
        view.adapters.clear();
        for (const auto& waiting : owner.queue().in_order()) {
            view.adapters[waiting.adapter].state = routing::adapter_residency::loading;
        }
        for (const auto& [adapter, entry] : owner.table().entries()) {
            if (entry.state == engines::residency::resident) {
                view.adapters[adapter].state = routing::adapter_residency::resident;
            }
            else if (entry.state == engines::residency::loading) {
                view.adapters[adapter].state = routing::adapter_residency::loading;
            }
            view.adapters[adapter].in_use = entry.in_use;
        }
    }

    void send_reports()
    {
        for (auto& target : m_engines) {
            target.announcement.residents.clear();
            for (const auto& adapter : target.adapters) {
                wire::resident_info_t info;
                info.adapter = adapter;
                for (const auto work : target.running) {
                    info.running +=
                        adapter_name(m_requests.at(work).spec->adapter).value() == adapter ? 1 : 0;
                }
                wire::append(target.announcement.residents, info);
            }
            target.owner->on_report(target.announcement, m_now);
        }
    }

    void restart_engine(std::size_t number)
    {
        auto& target = m_engines[number];
        std::vector<request> lost;
        for (auto entry = m_requests.begin(); entry != m_requests.end();) {
            if (entry->second.engine == number) {
                lost.push_back(std::move(entry->second));
                entry = m_requests.erase(entry);
            }
            else {
                ++entry;
            }
        }
        const auto incarnation = target.announcement.incarnation + 1;
        target = make_engine(number, incarnation);
        for (auto& entry : lost) {
            entry.left = entry.spec->tokens;
            retry(std::move(entry));
        }
    }

    sim_result measure() const
    {
        sim_result result;
        result.stall_p50_ms = percentile(m_stalls, 0.50);
        result.stall_p95_ms = percentile(m_stalls, 0.95);
        result.stall_p99_ms = percentile(m_stalls, 0.99);
        result.stall_total_s = std::accumulate(m_stalls.begin(), m_stalls.end(), 0.0) / 1000.0;
        result.stall_share = m_request_time_s > 0.0 ? result.stall_total_s / m_request_time_s : 0.0;
        result.batch_fill =
            m_capacity_tokens > 0.0 ? static_cast<double>(m_tokens) / m_capacity_tokens : 0.0;
        std::vector<double> latencies_ms;
        for (const auto& [arrived, ms] : m_first_tokens) {
            latencies_ms.push_back(ms);
        }
        result.first_token_p95_ms = percentile(latencies_ms, 0.95);
        result.recovery_s = recovery();
        result.deadline_misses = m_deadline_misses + m_requests.size();
        result.goodput = static_cast<double>(m_answered) / m_seconds;
        result.loads = m_loads;
        result.evictions = m_evictions;
        result.fairness = fairness();
        return result;
    }

    // Returns the seconds from the middle of the run to the end of the last two-second window whose
    // first-token p95 exceeds the bound.
    [[nodiscard]] double recovery() const
    {
        constexpr double window_s = 2.0;
        double last_bad = 0.0;
        for (double begin = m_seconds / 2; begin + window_s <= m_seconds; begin += window_s / 2) {
            std::vector<double> latencies_ms;
            for (const auto& [arrived, ms] : m_first_tokens) {
                if (arrived >= begin && arrived < begin + window_s) {
                    latencies_ms.push_back(ms);
                }
            }
            if (percentile(latencies_ms, 0.95) > first_token_bound_ms) {
                last_bad = begin + window_s - m_seconds / 2;
            }
        }
        return last_bad;
    }

    [[nodiscard]] double fairness() const
    {
        double sum = 0.0;
        double squares = 0.0;
        for (const auto& [team, waits] : m_wait_by_team) {
            const double speed = 1.0 / (100.0 + std::accumulate(waits.begin(), waits.end(), 0.0) /
                                                    static_cast<double>(waits.size()));
            sum += speed;
            squares += speed * speed;
        }
        const auto teams = static_cast<double>(m_wait_by_team.size());
        return squares > 0.0 ? sum * sum / (teams * squares) : 1.0;
    }

    deployment_shape m_shape;
    workload m_kind;
    const std::vector<arrival>& m_arrivals;
    double m_seconds;
    core::random_source m_random;
    const time_point m_begin{std::chrono::seconds{1000}};
    time_point m_now = m_begin;
    std::unique_ptr<engines::residency_policy> m_residency;
    std::unique_ptr<routing::placement_policy> m_placement;
    standins::weight_store m_store;
    state::permit_allocator m_permits;
    std::vector<engine> m_engines;
    std::array<std::vector<routing::engine_status>, vm_count> m_views;
    std::priority_queue<scheduled> m_events;
    std::uint64_t m_next_order = 0;
    engines::work_id m_next_work = 1;
    std::uint64_t m_next_ticket = 1;
    std::map<std::uint64_t, std::size_t> m_tickets;
    std::map<engines::work_id, request> m_requests;

    std::vector<double> m_stalls;
    std::vector<std::pair<double, double>> m_first_tokens;
    std::map<std::uint32_t, std::vector<double>> m_wait_by_team;
    double m_request_time_s = 0.0;
    double m_capacity_tokens = 0.0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_deadline_misses = 0;
    std::uint64_t m_loads = 0;
    std::uint64_t m_evictions = 0;
};

} // namespace

sim_result simulate(const std::string& policy, const deployment_shape& shape, workload kind,
                    const std::vector<arrival>& arrivals, double seconds, std::uint64_t seed)
{
    return simulation{policy, shape, kind, arrivals, seconds, seed}.run();
}

} // namespace siskindrift::bench
