#include "placement_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "siskindrift/gateway/adapter_wish.h"

namespace siskindrift::tests {
namespace {

const std::string base_model = "base";
constexpr core::milliseconds step_length{1};
constexpr core::milliseconds order_round_trip{3};
constexpr core::milliseconds report_interval{40};
constexpr double cached_load_speedup = 10;
constexpr core::milliseconds first_token_time{100}; // once the adapter is loaded
constexpr core::milliseconds call_timeout{1000};
constexpr core::milliseconds min_order_delay{2000};
constexpr std::uint64_t order_delay_range_ms = 10'000;

} // namespace

double placement_outcome::share_within(double ms) const
{
    const auto timely =
        std::count_if(waits_ms.begin(), waits_ms.end(), [&](double wait) { return wait <= ms; });
    const auto all = waits_ms.size() + given_up;
    return all == 0 ? 1 : static_cast<double>(timely) / static_cast<double>(all);
}

std::vector<adapter_record> placement_outcome::often_asked(std::size_t times,
                                                           core::duration span) const
{
    std::vector<adapter_record> found;
    for (const auto& [name, record] : adapters) {
        if (record.asked >= times && record.last_asked - record.first_asked >= span) {
            found.push_back(record);
        }
    }
    return found;
}

placement_world::placement_world(placement_scenario scenario, adapters::placer_options options)
    : m_scenario(scenario), m_options(options), m_random(scenario.seed), m_placer(options)
{
    gateway::service service;
    service.name = "llm";
    service.engine.emplace();
    service.engine->slots = 64;
    service.engine->adapter_slots = scenario.adapter_slots;
    service.engine->models.push_back({base_model, 100, scenario.adapters, 1});
    m_document.services[service.name] = service;
    for (std::size_t i = 0; i < scenario.engines; ++i) {
        m_engines.push_back({"e" + std::to_string(i), 0, {}, {}, {}, {}, {}, {}});
    }
    announce_engines();
    m_clock.advance(core::milliseconds{1000});
    answer_polls();
    double sum = 0;
    for (std::uint32_t rank = 1; rank <= scenario.adapters; ++rank) {
        sum += std::pow(rank, -scenario.zipf_exponent);
        m_cumulative_popularity.push_back(sum);
    }
}

void placement_world::announce_engines()
{
    m_placer.set_deployment(m_document);
    m_placer.begin_leadership(m_clock.now());
    for (const auto& engine : m_engines) {
        wire::fleet_upstream_t announcement;
        announcement.id = engine.id;
        announcement.service = m_document.services.begin()->first;
        announcement.address = announcement.id + ":1";
        announcement.born_ms = 100;
        m_placer.on_announcement(announcement, true);
    }
}

void placement_world::change_leader()
{
    m_placer = adapters::placer{m_options};
    m_orders.clear();
    m_timeouts.clear();
    m_delayed_orders.clear();
    m_reports.clear();
    announce_engines();
}

adapters::engine_report placement_world::make_report(const engine_model& engine)
{
    const auto make_copy = [](const std::string& adapter) {
        wire::adapter_copy_t copy;
        copy.model = base_model;
        copy.adapter = adapter;
        return copy;
    };
    adapters::engine_report report;
    report.born_ms = 100;
    report.orders_accepted = engine.orders_accepted;
    report.copies.push_back(make_copy(""));
    for (const auto& name : engine.loaded) {
        report.copies.push_back(make_copy(name));
    }
    for (const auto& [name, left] : engine.loading_ms_left) {
        report.loading.push_back(make_copy(name));
    }
    return report;
}

void placement_world::answer_polls()
{
    const auto now = m_clock.now();
    for (const auto& id : m_placer.take_engines_to_poll(now)) {
        const auto engine = std::find_if(m_engines.begin(), m_engines.end(),
                                         [&](const auto& one) { return one.id == id; });
        m_reports.push_back({id, make_report(*engine), now + m_scenario.report_age});
    }
    while (!m_reports.empty() && m_reports.front().arrives_at <= now) {
        m_placer.on_report(m_reports.front().engine, m_reports.front().report, now);
        m_reports.pop_front();
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
    for (auto& [name, record] : m_outcome.adapters) {
        if (record.unserved_since) {
            record.longest_unserved =
                std::max(record.longest_unserved, record.last_asked - *record.unserved_since);
        }
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
        auto& record = m_outcome.adapters[m_waiting.back().adapter];
        record.first_asked = record.asked++ == 0 ? now : record.first_asked;
        record.last_asked = now;
        record.unserved_since = record.unserved_since.value_or(now);
    }
    advance_loads();
    std::erase_if(m_runs, [&](const run& one) {
        if (one.ends_at > now) {
            return false;
        }
        --m_engines[one.engine].running[one.adapter];
        return true;
    });
    end_unloads();
    deliver_orders();
    deliver_delayed_orders();
    deliver_late_orders();
    answer_polls();
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
    if (!given.unload && engine.loaded.contains(name)) {
        return adapters::order_result::holds;
    }
    if (!given.unload && engine.loading_ms_left.contains(name)) {
        return adapters::order_result::accepted;
    }
    if (given.orders_accepted != engine.orders_accepted) {
        return adapters::order_result::conflict;
    }
    if (!engine.unloading.empty()) {
        return given.unload && engine.unloading == name ? adapters::order_result::accepted
                                                        : adapters::order_result::conflict;
    }
    if (given.unload) {
        if (!engine.loaded.contains(name)) {
            return adapters::order_result::holds;
        }
        ++engine.orders_accepted;
        if (engine.running[name] > 0) {
            engine.unloading = name;
            return adapters::order_result::accepted;
        }
        engine.loaded.erase(name);
        return adapters::order_result::holds;
    }
    const bool full =
        engine.loaded.size() + engine.loading_ms_left.size() >= m_scenario.adapter_slots;
    m_outcome.overfilled += full ? 1 : 0;
    const bool cached =
        std::find(engine.cache.begin(), engine.cache.end(), name) != engine.cache.end();
    const auto duration = static_cast<double>(core::to_ms(m_scenario.store_load_time));
    engine.loading_ms_left[name] = cached ? duration / cached_load_speedup : duration;
    if (!cached) {
        engine.from_store.insert(name);
    }
    ++engine.orders_accepted;
    return adapters::order_result::accepted;
}

void placement_world::end_unloads()
{
    for (auto& engine : m_engines) {
        if (!engine.unloading.empty() && engine.running[engine.unloading] == 0) {
            engine.loaded.erase(std::exchange(engine.unloading, {}));
        }
    }
}

placement_world::engine_model& placement_world::engine_of(const adapters::order& given)
{
    return *std::find_if(m_engines.begin(), m_engines.end(),
                         [&](const auto& one) { return one.id == given.upstream; });
}

bool placement_world::draw(double share)
{
    constexpr std::uint64_t range = 1'000'000;
    return static_cast<double>(core::uniform_below(m_random, range)) < share * range;
}

void placement_world::deliver_orders()
{
    const auto now = m_clock.now();
    while (!m_orders.empty() && m_orders.front().arrives_at <= now) {
        const auto given = m_orders.front().given;
        m_orders.pop_front();
        if (m_scenario.unanswered_orders > 0 && draw(m_scenario.unanswered_orders)) {
            const core::milliseconds delay{core::uniform_below(m_random, order_delay_range_ms)};
            m_late_orders.push_back({given, now + min_order_delay + delay});
            m_timeouts.push_back({given, now + call_timeout});
            continue;
        }
        if (m_scenario.late_answers > 0 && draw(m_scenario.late_answers)) {
            const auto range = static_cast<std::uint64_t>(core::to_ms(m_scenario.max_answer_delay));
            const core::milliseconds delay{core::uniform_below(m_random, range)};
            m_delayed_orders.push_back({given, now + delay});
            continue;
        }
        m_placer.on_order_result(given.id, execute(engine_of(given), given), now);
    }
    while (!m_timeouts.empty() && m_timeouts.front().arrives_at <= now) {
        const auto id = m_timeouts.front().given.id;
        m_timeouts.pop_front();
        m_placer.on_order_result(id, adapters::order_result::unknown, now);
    }
}

void placement_world::deliver_delayed_orders()
{
    const auto now = m_clock.now();
    std::erase_if(m_delayed_orders, [&](const order_in_transit& delayed) {
        if (delayed.arrives_at > now) {
            return false;
        }
        const auto result = execute(engine_of(delayed.given), delayed.given);
        m_placer.on_order_result(delayed.given.id, result, now);
        return true;
    });
}

void placement_world::deliver_late_orders()
{
    std::erase_if(m_late_orders, [&](const order_in_transit& late) {
        const bool due = late.arrives_at <= m_clock.now();
        if (due) {
            execute(engine_of(late.given), late.given);
        }
        return due;
    });
}

void placement_world::record_served(const request& one)
{
    auto& record = m_outcome.adapters[one.adapter];
    record.served = true;
    if (record.unserved_since) {
        record.longest_unserved =
            std::max(record.longest_unserved, m_clock.now() - *record.unserved_since);
        record.unserved_since.reset();
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
            if (m_engines[index].loaded.contains(one.adapter) &&
                m_engines[index].unloading != one.adapter) {
                ++m_engines[index].running[one.adapter];
                m_runs.push_back({index, one.adapter, now + m_scenario.service_time});
                const auto waited = now - one.arrived_at;
                m_outcome.waits_ms.push_back(static_cast<double>(core::to_ms(waited)));
                m_outcome.timely[one.kind] +=
                    waited + first_token_time <= m_scenario.kinds[one.kind].objective ? 1 : 0;
                record_served(one);
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
