// What is believed of upstreams, their runs and their versions, and of helping gateways: from any
// bad state each is back within its stated time.
#include <algorithm>
#include <string>
#include <vector>

#include "siskindrift/fleet/roster.h"
#include "siskindrift/fleet/software_history.h"
#include "siskindrift/gateway/helper_pool.h"
#include "siskindrift/gateway/upstream_pool.h"

#include "learnt_values.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::tests;
using core::milliseconds;
using std::chrono::seconds;

TEST_GROUP(LearntUpstreamStates)
{
    core::manual_clock clock;
    fleet::roster roster;
    gateway::upstream_limits limits{"vm"};
    gateway::upstream_pool pool{roster, limits, 1};
    std::uint64_t sequence = 0;

    void announce(const std::string& id, std::uint64_t born_ms = 100,
                  wire::fleet_state state = wire::fleet_state::ready)
    {
        wire::fleet_upstream_t announcement;
        announcement.id = id;
        announcement.service = "desk";
        announcement.address = id + ":1";
        announcement.born_ms = born_ms;
        announcement.sequence = ++sequence;
        announcement.slots = 10;
        announcement.state = state;
        roster.update(std::move(announcement), clock.now());
    }
};

TEST(LearntUpstreamStates, AnUpstreamThatRefusedConnectionsOrAnswersIsTriedWithinTwoSeconds)
{
    for_each_seed([&](core::random_source& random) {
        const auto id = "a" + std::to_string(random());
        const auto failures = 1 + core::uniform_below(random, 30);
        announce(id);
        announce("other");
        for (std::uint64_t i = 0; i < failures; ++i) {
            pool.record_connect_failure(id, clock.now());
            pool.record_rejection(id, clock.now());
            pool.record_outcome(id, true, clock.now());
            clock.advance(random_ms(random, 100));
        }
        const auto taken = time_until(clock, seconds{10}, [&] {
            announce(id);
            announce("other");
            const auto choice = pool.choose("desk", {}, {"other"}, clock.now());
            const auto list = pool.unreachable_upstreams(clock.now());
            return choice.result == gateway::pool_choice::kind::send &&
                   std::find(list.begin(), list.end(), id) == list.end();
        });
        CHECK_TRUE(taken <= milliseconds{2005});
        roster.mark_gone(id, clock.now());
    });
}

IGNORE_TEST(LearntUpstreamStates, AnUpstreamThatFailedIsTriedWithin5SecondsWhileAnotherIsBusy)
{
    for_each_seed([&](core::random_source& random) {
        const auto failed = "a" + std::to_string(random());
        const auto busy = "b" + std::to_string(random());
        announce(failed);
        announce(busy);
        const auto failures = 10 + core::uniform_below(random, 30);
        for (std::uint64_t i = 0; i < failures; ++i) {
            pool.record_outcome(failed, true, clock.now());
        }
        for (int i = 0; i < 8; ++i) {
            pool.record_sent(busy, {}, clock.now());
        }
        const auto taken = time_until(clock, seconds{30}, [&] {
            announce(failed);
            announce(busy);
            return pool.choose("desk", {}, {}, clock.now()).upstream == failed;
        });
        CHECK_TRUE(taken <= seconds{5});
        roster.mark_gone(failed, clock.now());
        roster.mark_gone(busy, clock.now());
    });
}

TEST(LearntUpstreamStates, ANewRunIsUsedAtOnceWhateverWasToldOfTheRunBefore)
{
    for_each_seed([&](core::random_source& random) {
        const auto id = "a" + std::to_string(random());
        const std::vector states{wire::fleet_state::ready, wire::fleet_state::draining,
                                 wire::fleet_state::gone};
        for (int i = 0; i < 5; ++i) {
            announce(id, 100, states[core::uniform_below(random, states.size())]);
            clock.advance(random_ms(random, 10'000));
        }
        announce(id, 200);
        CHECK_TRUE(roster.usable(*roster.find(id), clock.now()));
    });
}

TEST(LearntUpstreamStates, ARunThatWasTakenForGoneIsUsedAgainAfterTheRetention)
{
    announce("a");
    roster.mark_gone("a", clock.now());
    const auto taken = time_until(
        clock, seconds{100},
        [&] {
            roster.take_changed(clock.now());
            announce("a");
            return roster.usable(*roster.find("a"), clock.now());
        },
        milliseconds{500});
    CHECK_TRUE(taken <= milliseconds{60'500});
}

TEST(LearntUpstreamStates, AHelperIsAskedAgainWithinTwoSecondsWhateverFailedThere)
{
    for_each_seed([&](core::random_source& random) {
        gateway::helper_pool helpers{"vm-1", "zone-1", random()};
        wire::gateway_info_t info;
        info.vm = "vm-2";
        info.failure_domain = "zone-2";
        info.relay_address = "10.0.0.2:1";
        info.accepting = true;
        helpers.set_gateways({info});
        const auto events = 1 + core::uniform_below(random, 30);
        for (std::uint64_t i = 0; i < events; ++i) {
            helpers.record_sent("vm-2");
            helpers.record_failure("vm-2", clock.now());
            helpers.record_refusal("vm-2", "desk", clock.now());
            clock.advance(random_ms(random, 500));
        }
        const auto taken = time_until(clock, seconds{10}, [&] {
            return helpers.choose("desk", {}, clock.now()).has_value();
        });
        CHECK_TRUE(taken <= seconds{2});
    });
}

TEST(LearntUpstreamStates, VersionsAreKnownAgainAfterTheLongestStreamWhateverContactWasLost)
{
    for_each_seed([&](core::random_source& random) {
        fleet::software_history history;
        for (int i = 0; i < 5; ++i) {
            history.on_contact(clock.now() - random_ms(random, 60'000), clock.now());
            history.record("desk", "v" + std::to_string(core::uniform_below(random, 3)),
                           clock.now());
            clock.advance(random_ms(random, 10'000));
            history.on_contact_lost(clock.now());
            clock.advance(random_ms(random, 10'000));
        }
        history.on_contact(clock.now(), clock.now());
        const auto span = seconds{30};
        const auto taken = time_until(
            clock, seconds{100},
            [&] {
                history.record("desk", "v9", clock.now());
                return history.versions("desk", span, clock.now()).count ==
                       wire::version_count::one;
            },
            milliseconds{100});
        CHECK_TRUE(taken <= span + seconds{4});
    });
}
