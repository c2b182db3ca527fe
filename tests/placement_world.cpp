#include "placement_world.h"

#include <algorithm>
#include <cmath>

#include "siskindrift/gateway/adapter_wish.h"

namespace siskindrift::tests {
namespace {

const std::string base_model = "base";
constexpr core::milliseconds step_length{1};
constexpr core::milliseconds order_round_trip{3};
constexpr core::milliseconds report_interval{40};
constexpr double cached_load_speedup = 10;
constexpr core::milliseconds first_token_time{100}; // once the adapter is loaded

} // namespace

double placement_outcome::share_within(double ms) const
{
    const auto timely =
        std::count_if(waits_ms.begin(), waits_ms.end(), [&](double wait) { return wait <= ms; });
    const auto all = waits_ms.size() + given_up;
    return all == 0 ? 1 : static_cast<double>(timely) / static_cast<double>(all);
}

placement_world::placement_world(placement_scenario scenario, adapters::placer_options options)
    : m_scenario(scenario), m_random(scenario.seed), m_placer(options)
{
    gateway::deployment document;
    gateway::service service;
    service.name = "llm";
    service.engine.emplace();
    service.engine->slots = 64;
    service.engine->adapter_slots = scenario.adapter_slots;
    service.engine->models.push_back({base_model, 100, scenario.adapters, 1});
    document.services[service.name] = service;
    m_placer.set_deployment(document);
    m_placer.begin_leadership(m_clock.now());
    m_clock.advance(core::milliseconds{1000});
    for (std::size_t i = 0; i < scenario.engines; ++i) {
        m_engines.push_back({"e" + std::to_string(i), 0, {}, {}, {}, {}, {}});
        wire::fleet_upstream_t announcement;
        announcement.id = m_engines.back().id;
        announcement.service = service.name;
        announcement.address = announcement.id + ":1";
        announcement.born_ms = 100;
        m_placer.on_announcement(announcement, true);
        adapters::engine_report report;
        wire::adapter_copy_t copy;
        copy.model = base_model;
        report.copies.push_back(copy);
        m_placer.on_report(announcement.id, report, m_clock.now());
    }
    double sum = 0;
    for (std::uint32_t rank = 1; rank <= scenario.adapters; ++rank) {
        sum += std::pow(rank, -scenario.zipf_exponent);
        m_cumulative_popularity.push_back(sum);
    }
}

void placement_world::set_store(double full_speed_loads, core::duration load_time)
{
    m_scenario.full_speed_loads = full_speed_loads;
    m_scenario.store_load_time = load_time;
}

placement_outcome placement_world::play(core::duration length)
{
    m_outcome = {};
    m_outcome.asked.resize(m_scenario.kinds.size());
    m_outcome.timely.resize(m_scenario.kinds.size());
    const auto end = m_clock.now() + length;
    while (m_clock.now() < end) {
        step();
    }
    return m_outcome;
}

void placement_world::step()
{
    m_clock.advance(step_length);
    const auto now = m_clock.now();
    m_arrivals_due +=
        m_scenario.requests_per_s * std::chrono::duration<double>(step_length).count();
    for (; m_arrivals_due >= 1; --m_arrivals_due) {
        m_waiting.push_back({draw_adapter(), now, draw_kind()});
        ++m_outcome.asked[m_waiting.back().kind];
    }
    advance_loads();
    std::erase_if(m_runs, [&](const run& one) {
        if (one.ends_at > now) {
            return false;
        }
        --m_engines[one.engine].running[one.adapter];
        return true;
    });
    deliver_orders();
    start_requests();
    if (now >= m_report_due) {
        m_report_due = now + report_interval;
        report_to_placer();
    }
    for (const auto& given : m_placer.plan(now)) {
        m_orders.push_back({given, now + order_round_trip});
    }
}

std::string placement_world::draw_adapter()
{
    constexpr std::uint64_t range = 1'000'000'000;
    const auto draw = static_cast<double>(core::uniform_below(m_random, range)) / range *
                      m_cumulative_popularity.back();
    const auto found =
        std::upper_bound(m_cumulative_popularity.begin(), m_cumulative_popularity.end(), draw);
    return "a" + std::to_string(std::distance(m_cumulative_popularity.begin(), found));
}

std::size_t placement_world::draw_kind()
{
    std::uint64_t sum = 0;
    for (const auto& kind : m_scenario.kinds) {
        sum += kind.weight;
    }
    auto draw = core::uniform_below(m_random, sum);
    std::size_t number = 0;
    for (; draw >= m_scenario.kinds[number].weight; ++number) {
        draw -= m_scenario.kinds[number].weight;
    }
    return number;
}

std::size_t placement_world::active_store_loads() const
{
    std::size_t loads = 0;
    for (const auto& engine : m_engines) {
        loads += engine.from_store.size();
    }
    return loads;
}

void placement_world::advance_loads()
{
    const double slowdown =
        std::max(1.0, static_cast<double>(active_store_loads()) / m_scenario.full_speed_loads);
    for (auto& engine : m_engines) {
        for (auto load = engine.loading_ms_left.begin(); load != engine.loading_ms_left.end();) {
            const bool from_store = engine.from_store.contains(load->first);
            load->second -= from_store ? 1 / slowdown : 1;
            if (load->second > 0) {
                ++load;
                continue;
            }
            ++(from_store ? m_outcome.store_loads : m_outcome.cached_loads);
            engine.from_store.erase(load->first);
            engine.loaded.insert(load->first);
            std::erase(engine.cache, load->first);
            engine.cache.push_back(load->first);
            if (engine.cache.size() > m_scenario.cached_adapters) {
                engine.cache.pop_front();
            }
            load = engine.loading_ms_left.erase(load);
        }
    }
}

adapters::order_result placement_world::execute(engine_model& engine, const adapters::order& given)
{
    const auto& name = given.adapter;
    if (given.unload) {
        if (engine.running[name] == 0 && engine.loaded.erase(name) > 0) {
            ++engine.orders_accepted;
            return adapters::order_result::holds;
        }
        return adapters::order_result::conflict;
    }
    if (engine.loaded.contains(name)) {
        return adapters::order_result::holds;
    }
    if (!engine.loading_ms_left.contains(name)) {
        const bool cached =
            std::find(engine.cache.begin(), engine.cache.end(), name) != engine.cache.end();
        const auto full = static_cast<double>(core::to_ms(m_scenario.store_load_time));
        engine.loading_ms_left[name] = cached ? full / cached_load_speedup : full;
        if (!cached) {
            engine.from_store.insert(name);
        }
        ++engine.orders_accepted;
    }
    return adapters::order_result::accepted;
}

void placement_world::deliver_orders()
{
    while (!m_orders.empty() && m_orders.front().arrives_at <= m_clock.now()) {
        const auto given = m_orders.front().given;
        m_orders.pop_front();
        const auto engine = std::find_if(m_engines.begin(), m_engines.end(),
                                         [&](const auto& one) { return one.id == given.upstream; });
        m_placer.on_order_result(given.id, execute(*engine, given), m_clock.now());
    }
}

// A request starts on the engine with the fewest running requests that is known to hold its
// adapter.
void placement_world::start_requests()
{
    const auto now = m_clock.now();
    std::map<std::string, std::vector<std::size_t>> holders;
    for (const auto& view : m_placer.all_views()) {
        const auto index = static_cast<std::size_t>(std::stoul(view.upstream.substr(1)));
        for (const auto& copy : view.copies) {
            holders[copy->adapter].push_back(index);
        }
    }
    std::erase_if(m_waiting, [&](const request& one) {
        for (const auto index : holders[one.adapter]) {
            if (m_engines[index].loaded.contains(one.adapter)) {
                ++m_engines[index].running[one.adapter];
                m_runs.push_back({index, one.adapter, now + m_scenario.service_time});
                const auto waited = now - one.arrived_at;
                m_outcome.waits_ms.push_back(static_cast<double>(core::to_ms(waited)));
                m_outcome.timely[one.kind] +=
                    waited + first_token_time <= m_scenario.kinds[one.kind].objective ? 1 : 0;
                return true;
            }
        }
        const bool gives_up = now - one.arrived_at > m_scenario.patience;
        m_outcome.given_up += gives_up ? 1 : 0;
        return gives_up;
    });
}

void placement_world::report_to_placer()
{
    wire::gateway_report_t report;
    report.vm = "gateway";
    std::map<std::string, wire::adapter_wish_t> wishes;
    for (const auto& name : m_reported_wishes) {
        wishes[name];
    }
    m_reported_wishes.clear();
    for (const auto& one : m_waiting) {
        const auto& kind = m_scenario.kinds[one.kind];
        gateway::add_waiting(wishes[one.adapter],
                             {one.arrived_at, one.arrived_at + kind.deadline, kind.objective, 0},
                             m_clock.now());
        m_reported_wishes.insert(one.adapter);
    }
    for (auto& [name, wish] : wishes) {
        wish.model = base_model;
        wish.adapter = name;
        wire::append(report.wishes, wish);
    }
    for (const auto& engine : m_engines) {
        for (const auto& [name, running] : engine.running) {
            if (running > 0) {
                wire::adapter_use_t use;
                use.upstream = engine.id;
                use.model = base_model;
                use.adapter = name;
                use.running = static_cast<std::uint32_t>(running);
                wire::append(report.uses, std::move(use));
            }
        }
    }
    m_placer.on_gateway_report(report, m_clock.now());
}

} // namespace siskindrift::tests
