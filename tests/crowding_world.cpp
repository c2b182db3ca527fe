#include "crowding_world.h"

#include <algorithm>

#include "siskindrift/gateway/adapter_wish.h"

namespace siskindrift::tests {
namespace {

const std::string base_model = "base";
const std::string service_name = "llm";
constexpr core::milliseconds step_length{1};
constexpr core::milliseconds copies_interval{27};
constexpr core::milliseconds loads_interval{330};
constexpr core::milliseconds rejection_lifetime{1000};
constexpr std::uint64_t born_ms = 100;

} // namespace

crowding_world::crowding_world(crowding_scenario scenario)
    : m_scenario(scenario), m_random(scenario.seed), m_engines(scenario.engines),
      m_gateways(scenario.gateways)
{
    gateway::deployment document;
    gateway::service service;
    service.name = service_name;
    service.engine.emplace();
    service.engine->slots = scenario.slots;
    service.engine->adapter_slots = scenario.adapter_slots;
    service.engine->models.push_back({base_model, 100, scenario.rare_adapters + 1, 1});
    document.services[service.name] = service;
    m_placer.set_deployment(document);
    m_placer.begin_leadership(m_clock.now());
    m_clock.advance(core::milliseconds{1000});
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        m_engines[i].id = "e" + std::to_string(i);
        wire::fleet_upstream_t announcement;
        announcement.id = m_engines[i].id;
        announcement.service = service_name;
        announcement.address = "10.0.0." + std::to_string(i + 1) + ":1";
        announcement.born_ms = born_ms;
        announcement.slots = scenario.slots;
        m_placer.on_announcement(announcement, true);
        m_roster.update(announcement, m_clock.now());
    }
    for (auto& one : m_gateways) {
        one.pool = std::make_unique<gateway::upstream_pool>(m_roster, m_limits, draw(1U << 30U));
        one.pool->set_gateway_count(scenario.gateways);
    }
}

std::map<bool, crowding_outcome> crowding_world::play(core::duration length)
{
    m_outcome.clear();
    for (const auto end = m_clock.now() + length; m_clock.now() < end;) {
        m_clock.advance(step_length);
        for (const auto& one : m_engines) {
            m_roster.refresh(one.id, m_clock.now());
        }
        arrive(m_scenario.popular_per_s, true);
        arrive(m_scenario.rare_per_s, false);
        run_engines();
        execute_orders();
        publish_views();
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            report(m_gateways[i], i);
        }
    }
    return m_outcome;
}

void crowding_world::arrive(double per_s, bool popular)
{
    auto& due = m_due[popular];
    due += per_s * std::chrono::duration<double>(step_length).count();
    for (; due >= 1; --due) {
        request what;
        what.popular = popular;
        what.arrived = m_clock.now();
        what.adapter = {base_model,
                        popular ? "popular" : std::to_string(draw(m_scenario.rare_adapters))};
        ++m_outcome[popular].asked;
        const auto number = static_cast<std::size_t>(draw(m_gateways.size()));
        if (!dispatch(number, what)) {
            m_gateways[number].waiting.push_back(what);
        }
    }
}

// Sends a request to the engine that the gateway chooses. Returns whether an engine took it.
bool crowding_world::dispatch(std::size_t number, const request& what)
{
    auto& sender = m_gateways[number];
    const auto now = m_clock.now();
    std::set<std::string> tried;
    while (true) {
        const auto choice = sender.pool->choose(service_name, what.adapter, tried, now);
        if (choice.result != gateway::pool_choice::kind::send) {
            return false;
        }
        auto& engine = *std::find_if(m_engines.begin(), m_engines.end(),
                                     [&](const auto& one) { return one.id == choice.upstream; });
        sender.pool->record_sent(engine.id, what.adapter, now);
        if (engine.loaded.contains(what.adapter.second) && engine.queue.size() < m_scenario.queue) {
            engine.queue.push_back({what, number, {}});
            return true;
        }
        tried.insert(engine.id);
        sender.pool->record_ended(engine.id, what.adapter);
        sender.pool->record_rejection(engine.id, now);
        sender.rejections[what.adapter.second].push_back(now);
        ++m_outcome[what.popular].rejected;
    }
}

void crowding_world::run_engines()
{
    const auto now = m_clock.now();
    for (auto& engine : m_engines) {
        for (auto load = engine.loading.begin(); load != engine.loading.end();) {
            if (load->second <= now) {
                engine.loaded.insert(load->first);
                load = engine.loading.erase(load);
            }
            else {
                ++load;
            }
        }
        std::erase_if(engine.running, [&](const run& one) {
            if (one.ends > now) {
                return false;
            }
            m_gateways[one.gateway].pool->record_ended(engine.id, one.what.adapter);
            return true;
        });
        while (engine.running.size() < m_scenario.slots && !engine.queue.empty()) {
            auto next = engine.queue.front();
            engine.queue.pop_front();
            auto& pool = *m_gateways[next.gateway].pool;
            if (now - next.what.arrived > m_scenario.patience) {
                pool.record_ended(engine.id, next.what.adapter);
                continue;
            }
            ++m_outcome[next.what.popular].started;
            m_outcome[next.what.popular].timely +=
                now - next.what.arrived <= m_scenario.objective ? 1 : 0;
            pool.record_admission(engine.id);
            next.ends = now + m_scenario.service_time;
            engine.running.push_back(next);
        }
    }
}

void crowding_world::execute_orders()
{
    const auto now = m_clock.now();
    for (const auto& given : m_placer.plan(now)) {
        auto& engine = *std::find_if(m_engines.begin(), m_engines.end(),
                                     [&](const auto& one) { return one.id == given.upstream; });
        const bool used =
            std::any_of(engine.running.begin(), engine.running.end(),
                        [&](const run& one) { return one.what.adapter.second == given.adapter; });
        auto result = adapters::order_result::accepted;
        if (given.unload) {
            result = used ? adapters::order_result::conflict : adapters::order_result::holds;
            engine.orders_accepted += used ? 0 : 1;
            if (!used) {
                engine.loaded.erase(given.adapter);
            }
        }
        else if (engine.loaded.contains(given.adapter)) {
            result = adapters::order_result::holds;
        }
        else if (engine.loading.try_emplace(given.adapter, now + m_scenario.load_time).second) {
            ++engine.orders_accepted;
        }
        m_placer.on_order_result(given.id, result, now);
    }
    if (now < m_polls_due) {
        return;
    }
    m_polls_due = now + step_length * 10;
    for (const auto& id : m_placer.take_engines_to_poll(now)) {
        auto& engine = *std::find_if(m_engines.begin(), m_engines.end(),
                                     [&](const auto& one) { return one.id == id; });
        adapters::engine_report status;
        status.orders_accepted = engine.orders_accepted;
        status.running = static_cast<std::uint32_t>(engine.running.size());
        status.waiting = static_cast<std::uint32_t>(engine.queue.size());
        const auto copy_of = [](const std::string& adapter) {
            wire::adapter_copy_t copy;
            copy.model = base_model;
            copy.adapter = adapter;
            return copy;
        };
        status.copies.push_back(copy_of(""));
        for (const auto& name : engine.loaded) {
            status.copies.push_back(copy_of(name));
        }
        for (const auto& [name, ends] : engine.loading) {
            status.loading.push_back(copy_of(name));
        }
        m_placer.on_report(id, status, now);
    }
}

void crowding_world::publish_views()
{
    const auto now = m_clock.now();
    std::vector<wire::engine_view_t> views;
    if (now >= m_copies_due) {
        m_copies_due = now + copies_interval;
        views = m_placer.take_changed_views();
    }
    if (now >= m_loads_due) {
        m_loads_due = now + loads_interval;
        for (auto& view : m_placer.take_load_views()) {
            views.push_back(std::move(view));
        }
    }
    if (views.empty()) {
        return;
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        for (const auto& view : views) {
            m_gateways[i].pool->update_engine(view);
        }
        std::erase_if(m_gateways[i].waiting, [&](const request& one) {
            return now - one.arrived > m_scenario.patience || dispatch(i, one);
        });
    }
}

void crowding_world::report(gateway_model& from, std::size_t number)
{
    const auto now = m_clock.now();
    if (now < from.report_due) {
        return;
    }
    from.report_due = now + m_scenario.report_interval;
    wire::gateway_report_t message;
    message.vm = "g" + std::to_string(number);
    std::map<std::string, wire::adapter_wish_t> wishes;
    for (const auto& name : std::exchange(from.wished, {})) {
        wishes[name];
    }
    for (const auto& one : from.waiting) {
        gateway::add_waiting(
            wishes[one.adapter.second],
            {one.arrived, one.arrived + m_scenario.patience, m_scenario.objective, 0}, now);
    }
    for (auto& [name, times] : from.rejections) {
        while (!times.empty() && now - times.front() > rejection_lifetime) {
            times.pop_front();
        }
        if (!times.empty()) {
            auto& wish = wishes[name];
            wish.rejected = static_cast<std::uint32_t>(times.size());
            wish.waiting = std::max(wish.waiting, 1U);
            wish.crowded = true;
        }
    }
    for (auto& [name, wish] : wishes) {
        wish.model = base_model;
        wish.adapter = name;
        if (wish.waiting > 0) {
            from.wished.insert(name);
        }
        wire::append(message.wishes, wish);
    }
    for (auto& use : from.pool->adapter_uses()) {
        wire::append(message.uses, std::move(use));
    }
    for (auto& share : from.pool->take_token_shares()) {
        wire::append(message.shares, std::move(share));
    }
    m_placer.on_gateway_report(message, now);
}

} // namespace siskindrift::tests
