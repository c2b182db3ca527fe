#include "siskindrift/adapters/placer.h"

#include <algorithm>
#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::adapters;

namespace {

gateway::deployment make_document(double weights_mb, std::uint32_t slots,
                                  std::vector<gateway::engine_model> models)
{
    gateway::deployment document;
    auto& service = document.services["llm"];
    service.name = "llm";
    service.engine.emplace();
    service.engine->slots = 64;
    service.engine->adapter_slots = slots;
    service.engine->weights_mb = weights_mb;
    service.engine->loads_per_second = 10;
    service.engine->models = std::move(models);
    return document;
}

const std::vector<gateway::engine_model> models{{"small", 100, 50, 40}, {"large", 200, 50, 130}};

// An engine that carries orders out as they arrive, however late, if their count is still current.
struct model_engine {
    std::string id;
    std::uint64_t born_ms = 1;
    std::uint64_t count = 0;
    std::uint64_t fence = 0;
    std::map<adapter_name, core::time_point> held; // and when it is loaded

    [[nodiscard]] double used_mb() const
    {
        double used = 0;
        for (const auto& [name, loaded] : held) {
            const auto& model = models[name.first == "small" ? 0 : 1];
            used += name.second.empty() ? model.weights_mb : model.adapter_mb;
        }
        return used;
    }
    [[nodiscard]] std::size_t adapters() const
    {
        return static_cast<std::size_t>(std::count_if(
            held.begin(), held.end(), [](const auto& item) { return !item.first.second.empty(); }));
    }
};

// Engines with one or both base models, random demand, and orders that are lost, answered late or
// carried out late, beside crashes, restarts, new leaders and new documents.
class memory_world {
public:
    explicit memory_world(std::uint64_t seed) : m_random(seed)
    {
        m_document = make_document(500, 3, models);
        m_placer.set_deployment(m_document);
        m_placer.begin_leadership(m_clock.now());
        for (const auto* id : {"a", "b", "c"}) {
            auto& engine = m_engines[id];
            engine.id = id;
            restart(engine);
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            m_clock.advance(core::milliseconds{50});
            disturb();
            wish();
            deliver();
            poll();
            for (const auto& given : m_placer.plan(m_clock.now())) {
                send(given);
            }
        }
    }

    int overloads = 0;
    int loads = 0;
    int large_loads = 0;

private:
    struct event {
        core::time_point due;
        order given;
        std::uint64_t fence = 0;
        std::uint64_t born_ms = 0;
        gateway::engine_capacity capacity; // when the order was given
        bool answered = true;
    };

    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }

    void restart(model_engine& engine)
    {
        ++engine.born_ms;
        engine.count = 0;
        engine.held.clear();
        if (engine.id != "c") {
            engine.held[{"small", ""}] = m_clock.now();
        }
        if (engine.id != "a") {
            engine.held[{"large", ""}] = m_clock.now();
        }
        wire::fleet_upstream_t announcement;
        announcement.id = engine.id;
        announcement.service = "llm";
        announcement.address = engine.id + ":1";
        announcement.born_ms = engine.born_ms;
        m_placer.on_announcement(announcement, true);
    }

    void disturb()
    {
        if (below(400) == 0) {
            restart(std::next(m_engines.begin(), static_cast<std::ptrdiff_t>(below(3)))->second);
        }
        if (below(300) == 0) {
            ++m_fence;
            m_placer.begin_leadership(m_clock.now());
        }
        if (below(300) == 0) {
            m_document = make_document(below(2) == 0 ? 500 : 440, 2 + below(3), models);
            m_placer.set_deployment(m_document);
        }
    }

    void wish()
    {
        wire::gateway_report_t report;
        report.vm = "g";
        for (int i = 0; i < 3; ++i) {
            wire::adapter_wish_t item;
            item.model = below(3) == 0 ? "large" : "small";
            item.adapter = "a" + std::to_string(below(8));
            item.waiting = below(2);
            item.left_ms = 3000;
            item.crowded = below(10) == 0;
            wire::append(report.wishes, item);
        }
        m_placer.on_gateway_report(report, m_clock.now());
    }

    void send(const order& given)
    {
        event sent{m_clock.now() + core::milliseconds{5 + below(40)},
                   given,
                   m_fence,
                   m_engines[given.upstream].born_ms,
                   capacity(),
                   true};
        if (below(10) == 0) {
            sent.due += core::milliseconds{2000 + below(10'000)};
            sent.answered = below(2) == 0;
            if (!sent.answered) {
                m_placer.on_order_result(given.id, order_result::unknown, m_clock.now());
            }
        }
        m_events.push_back(sent);
    }

    [[nodiscard]] const gateway::engine_capacity& capacity() const
    {
        return *m_document.services.at("llm").engine;
    }

    void deliver()
    {
        for (auto item = m_events.begin(); item != m_events.end();) {
            if (item->due > m_clock.now()) {
                ++item;
                continue;
            }
            const auto result = apply(*item);
            if (item->answered && item->fence == m_fence) {
                m_placer.on_order_result(item->given.id, result, m_clock.now());
            }
            item = m_events.erase(item);
        }
    }

    order_result apply(const event& sent)
    {
        auto& engine = m_engines[sent.given.upstream];
        const adapter_name name{sent.given.model, sent.given.adapter};
        if (sent.fence < engine.fence) {
            return order_result::fenced;
        }
        engine.fence = sent.fence;
        if (sent.born_ms != engine.born_ms) {
            return order_result::refused;
        }
        const auto held = engine.held.find(name);
        if (sent.given.repeated && held != engine.held.end()) {
            return held->second <= m_clock.now() ? order_result::holds : order_result::accepted;
        }
        if (sent.given.orders_accepted != engine.count) {
            return order_result::conflict;
        }
        ++engine.count;
        if (sent.given.unload) {
            engine.held.erase(name);
            return order_result::holds;
        }
        engine.held[name] = m_clock.now() + core::milliseconds{250};
        ++loads;
        large_loads += name.first == "large" ? 1 : 0;
        const bool fits =
            engine.used_mb() <= std::max(capacity().weights_mb, sent.capacity.weights_mb) &&
            engine.adapters() <= std::max(capacity().adapter_slots, sent.capacity.adapter_slots);
        overloads += fits ? 0 : 1;
        return order_result::accepted;
    }

    void poll()
    {
        for (const auto& id : m_placer.take_engines_to_poll(m_clock.now())) {
            const auto& engine = m_engines[id];
            engine_report report;
            report.born_ms = engine.born_ms;
            report.orders_accepted = engine.count;
            for (const auto& [name, loaded] : engine.held) {
                wire::adapter_copy_t copy;
                copy.model = name.first;
                copy.adapter = name.second;
                copy.version = 1;
                (loaded <= m_clock.now() ? report.copies : report.loading).push_back(copy);
            }
            m_placer.on_report(id, report, m_clock.now());
        }
    }

    std::mt19937_64 m_random;
    core::manual_clock m_clock;
    placer m_placer;
    gateway::deployment m_document;
    std::map<std::string, model_engine> m_engines;
    std::deque<event> m_events;
    std::uint64_t m_fence = 1;
};

} // namespace

TEST_GROUP(PlacerMemory)
{
    core::manual_clock clock;
    placer adapter_placer;

    // Announces an engine that holds both base models and `adapters`.
    void engine(const std::string& id, const std::vector<adapter_name>& adapters)
    {
        wire::fleet_upstream_t announcement;
        announcement.id = id;
        announcement.service = "llm";
        announcement.address = id + ":1";
        announcement.born_ms = 1;
        adapter_placer.on_announcement(announcement, true);
        engine_report report;
        auto held = adapters;
        held.push_back({"small", ""});
        held.push_back({"large", ""});
        for (const auto& [model, adapter] : held) {
            wire::adapter_copy_t copy;
            copy.model = model;
            copy.adapter = adapter;
            copy.version = 1;
            report.copies.push_back(copy);
        }
        clock.advance(core::milliseconds{2000});
        adapter_placer.on_report(id, report, clock.now());
    }

    void start(double weights_mb, std::uint32_t slots)
    {
        adapter_placer.set_deployment(make_document(weights_mb, slots, models));
        adapter_placer.begin_leadership(clock.now());
    }

    std::vector<order> wish(const std::string& model, const std::string& adapter)
    {
        wire::gateway_report_t report;
        report.vm = "g";
        wire::adapter_wish_t item;
        item.model = model;
        item.adapter = adapter;
        item.waiting = 1;
        item.left_ms = 3000;
        wire::append(report.wishes, item);
        adapter_placer.on_gateway_report(report, clock.now());
        clock.advance(core::milliseconds{400});
        return adapter_placer.plan(clock.now());
    }
};

// Guards against engines that crash because they are ordered to load more than their memory holds.
TEST(PlacerMemory, EvictsWhereTheMemoryOfAnEngineEndsBeforeItsSlots)
{
    start(390, 8); // two adapters of 40 MB beside 300 MB of base models
    engine("a", {{"small", "x"}, {"small", "y"}});
    const auto orders = wish("small", "z");
    LONGS_EQUAL(1, orders.size());
    CHECK_TRUE(orders[0].unload);
}

TEST(PlacerMemory, EvictsAsManyAdaptersAsALargeOneNeeds)
{
    start(440, 8);
    engine("a", {{"small", "x"}, {"small", "y"}, {"small", "z"}});
    std::size_t unloads = 0;
    for (auto orders = wish("large", "big"); orders.front().unload; orders = wish("large", "big")) {
        adapter_placer.on_order_result(orders.front().id, order_result::holds, clock.now());
        ++unloads;
        CHECK_TRUE(unloads <= 3);
    }
    LONGS_EQUAL(3, unloads);
}

TEST(PlacerMemory, EvictsNothingForAnAdapterThatNeverFits)
{
    start(400, 8); // the base models leave 100 MB, and a large adapter takes 130 MB
    engine("a", {{"small", "x"}, {"small", "y"}});
    LONGS_EQUAL(0, wish("large", "big").size());
    CHECK_TRUE(wish("small", "z").front().unload);
}

TEST(PlacerMemory, CountsAModelByTheSizesOfTheServiceOfItsEngine)
{
    auto document = make_document(390, 8, models);
    document.services["other"] = document.services["llm"];
    document.services["other"].engine->models = {{"small", 10, 50, 1}, {"large", 10, 50, 1}};
    adapter_placer.set_deployment(document);
    adapter_placer.begin_leadership(clock.now());
    engine("a", {{"small", "x"}, {"small", "y"}});
    CHECK_TRUE(wish("small", "z").front().unload);
}

TEST(PlacerMemory, LoadsABaseModelThatFits)
{
    adapter_placer.set_deployment(make_document(150, 8, {models[1], models[0]}));
    adapter_placer.begin_leadership(clock.now());
    wire::fleet_upstream_t announcement;
    announcement.id = "a";
    announcement.service = "llm";
    announcement.born_ms = 1;
    adapter_placer.on_announcement(announcement, true);
    clock.advance(core::milliseconds{2000});
    adapter_placer.on_report("a", engine_report{}, clock.now());
    const auto orders = adapter_placer.plan(clock.now());
    LONGS_EQUAL(1, orders.size());
    STRCMP_EQUAL("small", orders[0].model.c_str());
}

TEST(PlacerMemory, OrdersNothingBeyondTheMemoryOfAnEngineWhateverIsLateOrUnknown)
{
    constexpr std::uint64_t seeds = 200;
    int loads = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        memory_world world{seed};
        world.run(1200); // a minute
        CHECK_TEXT(world.overloads == 0, ("seed " + std::to_string(seed)).c_str());
        CHECK_TEXT(world.large_loads > 0, ("seed " + std::to_string(seed)).c_str());
        loads += world.loads;
    }
    CHECK_TRUE(loads > 5000);
}
