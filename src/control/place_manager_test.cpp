#include "siskindrift/control/place_manager.h"

#include <functional>
#include <map>
#include <vector>

#include "siskindrift/core/random.h"
#include "siskindrift/gateway/upstream_places.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::control;

namespace {

constexpr std::uint64_t born = 100;

// Gateways, the leader, and one upstream that counts what it has to reject.
class place_world {
public:
    place_world(std::size_t gateways, std::uint32_t slots, double load, std::uint64_t seed)
        : m_slots(slots), m_load(load), m_random(seed), m_gateways(gateways)
    {
        m_clock.advance(core::milliseconds{10'000});
        manager.begin_term(m_clock.now() - core::milliseconds{1000});
        for (auto& item : m_gateways) {
            item.places.set_leader(true, gateways);
            item.places.record_answer({"s", "u", born, slots, true, m_clock.now()}, m_clock.now());
        }
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; ++i) {
            step();
        }
    }

    // Ends a gateway and its requests, and starts it anew.
    void restart(std::size_t i)
    {
        running -= static_cast<std::uint32_t>(m_gateways[i].ends.size());
        m_gateways[i] = {};
        m_gateways[i].places.set_leader(true, m_gateways.size());
        m_gateways[i].places.record_answer({"s", "u", born, m_slots, true, m_clock.now()},
                                           m_clock.now());
    }
    void cut_off(std::size_t i, bool cut) { m_gateways[i].cut = cut; }
    void change_leader()
    {
        manager = place_manager{};
        manager.begin_term(m_clock.now());
        for (auto& item : m_gateways) {
            item.places.report_again();
        }
    }

    place_manager manager;
    std::uint32_t running = 0;
    std::uint32_t rejected = 0;
    double used = 0; ///< Sum of places in use over all steps with work.
    std::uint64_t steps = 0;

private:
    struct gateway_state {
        gateway::upstream_places places;
        std::uint32_t waiting = 0;
        std::multimap<core::time_point, int> ends;
        bool cut = false;
    };
    static constexpr int work_ms = 60;
    static constexpr int delay_ms = 2;

    void step()
    {
        m_clock.advance(core::milliseconds{1});
        const auto now = m_clock.now();
        for (auto i = m_messages.begin(); i != m_messages.end() && i->first <= now;) {
            auto deliver = std::move(i->second);
            i = m_messages.erase(i);
            deliver();
        }
        std::uint32_t work = 0;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            step_gateway(i);
            work += m_gateways[i].waiting;
        }
        if (work > 0) {
            ++steps;
            used += running;
        }
    }

    void step_gateway(std::size_t i)
    {
        auto& item = m_gateways[i];
        const auto now = m_clock.now();
        while (!item.ends.empty() && item.ends.begin()->first <= now) {
            item.ends.erase(item.ends.begin());
            item.places.end("u");
            --running;
        }
        const double per_ms = m_load * m_slots / work_ms / static_cast<double>(m_gateways.size());
        const auto chance = static_cast<std::uint64_t>(per_ms * 1'000'000);
        item.waiting += core::uniform_below(m_random, 1'000'000) < chance ? 1 : 0;
        item.waiting = std::min(item.waiting, 20U); // later ones are refused
        while (item.waiting > 0 && item.places.has_place("u", born, now)) {
            --item.waiting;
            item.places.begin("u");
            if (running >= m_slots) {
                ++rejected;
            }
            ++running;
            item.ends.emplace(now + core::milliseconds{work_ms}, 0);
        }
        if (item.waiting > 0 && !item.places.is_full("u", now)) {
            for (std::uint32_t n = 0; n < item.waiting; ++n) {
                item.places.add_wish("u");
            }
        }
        for (auto& wish : item.places.take_wishes(now)) {
            send(i, std::move(wish));
        }
    }

    void send(std::size_t i, wire::place_wish_t wish)
    {
        const auto asked = m_clock.now();
        if (m_gateways[i].cut) {
            return;
        }
        m_messages.emplace(asked + core::milliseconds{delay_ms}, [this, i, wish, asked] {
            const auto grant =
                manager.grant("vm" + std::to_string(i), wish, m_slots, m_clock.now());
            m_messages.emplace(m_clock.now() + core::milliseconds{delay_ms},
                               [this, i, grant, asked] {
                                   if (!m_gateways[i].cut) {
                                       m_gateways[i].places.apply(grant, asked, m_clock.now());
                                   }
                               });
        });
    }

    core::manual_clock m_clock;
    std::uint32_t m_slots;
    double m_load;
    core::random_source m_random;
    std::vector<gateway_state> m_gateways;
    std::multimap<core::time_point, std::function<void()>> m_messages;
};

} // namespace

TEST_GROUP(PlaceManager){};

TEST(PlaceManager, NoUpstreamGetsMoreRequestsThanItHasPlacesWhoeverAsks)
{
    for (const std::size_t gateways : {2, 7, 90}) {
        for (const std::uint32_t slots : {6, 20, 96}) {
            for (const double load : {0.5, 1.0, 3.0}) {
                place_world world{gateways, slots, load, 34};
                world.run(4000);
                LONGS_EQUAL(0, world.rejected);
            }
        }
    }
}

TEST(PlaceManager, KeepsNineTenthsOfThePlacesInUseWhileThereIsWork)
{
    for (const std::size_t gateways : {2, 7, 90}) {
        for (const std::uint32_t slots : {6, 20, 96}) {
            place_world world{gateways, slots, 3.0, 35};
            world.run(1000);
            world.used = 0;
            world.steps = 0;
            world.run(4000);
            const double share = world.used / static_cast<double>(world.steps) / slots;
            CHECK_TRUE_TEXT(share >= 0.9,
                            (std::to_string(gateways) + " gateways, " + std::to_string(slots) +
                             " places: " + std::to_string(share))
                                .c_str());
        }
    }
}

TEST(PlaceManager, PlacesHoldOverRestartsCutsAndAChangeOfLeader)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        place_world world{7, 20, 3.0, seed};
        world.run(1000);
        world.restart(seed % 7);
        world.cut_off((seed + 1) % 7, true);
        world.run(3000);
        world.cut_off((seed + 1) % 7, false);
        world.change_leader();
        world.run(2000);
        LONGS_EQUAL(0, world.rejected);
    }
}
