// Values that are learnt or shared and restrict service: from any bad state each is back within its
// stated time once evidence is sound and demand waits.
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "siskindrift/adapters/adapter_history.h"
#include "siskindrift/adapters/answer_time.h"
#include "siskindrift/adapters/use_rate.h"
#include "siskindrift/control/place_manager.h"
#include "siskindrift/control/retry_share_manager.h"
#include "siskindrift/control/upstream_limit_manager.h"
#include "siskindrift/core/random.h"
#include "siskindrift/gateway/retry_budget.h"
#include "siskindrift/gateway/retry_share.h"
#include "siskindrift/gateway/upstream_limits.h"
#include "siskindrift/gateway/upstream_places.h"
#include "siskindrift/state/permit_allocator.h"
#include "siskindrift/wire/frame.h"

#include "learnt_values.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::tests;
using core::milliseconds;
using std::chrono::seconds;

TEST_GROUP(LearntAdapterValues)
{
    core::manual_clock clock;
};

TEST(LearntAdapterValues, WaitsForAnswersAsUsualAfter32SoundOnesHoweverLateAnswersWere)
{
    for_each_seed([](core::random_source& random) {
        adapters::answer_time_estimate estimate;
        const auto late = 1 + core::uniform_below(random, 60);
        for (std::uint64_t i = 0; i < late; ++i) {
            estimate.on_answer(random_ms(random, 3'600'000));
        }
        for (int i = 0; i < 32; ++i) {
            estimate.on_answer(milliseconds{2} + random_ms(random, 6));
        }
        CHECK_TRUE(estimate.wait() <= milliseconds{100});
    });
}

TEST(LearntAdapterValues, WaitsForSlowerAnswersAfterFiveHoweverFastTheyWere)
{
    for_each_seed([](core::random_source& random) {
        adapters::answer_time_estimate estimate;
        for (int i = 0; i < 100; ++i) {
            estimate.on_answer(random_ms(random, 1));
        }
        const auto slower = milliseconds{100} + random_ms(random, 200);
        for (int i = 0; i < 5; ++i) {
            estimate.on_answer(slower);
        }
        CHECK_TRUE(estimate.wait() >= slower);
    });
}

TEST(LearntAdapterValues, KnowsTheCacheOfEnginesAfter200LoadsWhateverItBelieved)
{
    for_each_seed([](core::random_source& random) {
        const auto cached = 20 + core::uniform_below(random, 80);
        adapters::cache_size_options options;
        options.initial = 8 + static_cast<double>(core::uniform_below(random, 505));
        adapters::cache_size_estimate estimate{options};
        for (int i = 0; i < 200; ++i) {
            const auto age = core::uniform_below(random, 2 * cached);
            estimate.on_load(age, age < cached);
        }
        CHECK_TRUE(estimate.is_cached(cached / 2));
        CHECK_FALSE(estimate.is_cached(2 * cached));
    });
}

TEST(LearntAdapterValues, ForgetsAWrongUseRateWithinTenDecayTimes)
{
    for_each_seed([&](core::random_source& random) {
        adapters::use_rate_estimate rates;
        rates.begin(clock.now());
        rates.record(1, 1 + static_cast<std::uint32_t>(core::uniform_below(random, 1000)),
                     clock.now());
        clock.advance(seconds{100});
        rates.record(1, 1, clock.now());
        CHECK_TRUE(rates.known(clock.now()));
        CHECK_TRUE(rates.per_second(1, clock.now()) < 0.2);
    });
}

TEST(LearntAdapterValues, GrantsLoadPermitsThreeSecondsAfterTheirHoldersAreLost)
{
    for_each_seed([&](core::random_source& random) {
        state::permit_allocator allocator{{100, 8}};
        allocator.begin_term(clock.now());
        clock.advance(seconds{3});
        std::uint64_t ticket = 0;
        for (; ticket < 8; ++ticket) {
            clock.advance(random_ms(random, 100));
            allocator.enqueue(ticket, 1, clock.now());
            allocator.grant(clock.now());
        }
        allocator.enqueue(ticket, 1, clock.now());
        const auto taken =
            time_until(clock, seconds{4}, [&] { return !allocator.grant(clock.now()).empty(); });
        CHECK_TRUE(taken <= milliseconds{3005});
    });
}

TEST_GROUP(LearntUpstreamLimits)
{
    static constexpr std::uint64_t run = 5;
    using kind = gateway::send_admission::kind;
    core::manual_clock clock;

    static wire::fleet_update_t make_update(std::uint64_t generation, double per_s)
    {
        wire::fleet_update_t update;
        update.limits_included = true;
        update.limits_generation = generation;
        wire::upstream_limit_t item;
        item.upstream = "a";
        item.born_ms = run;
        item.per_s = per_s;
        wire::append(update.limits, std::move(item));
        return update;
    }

    /// The leader has no permit for as long as a limit of @p per_s takes to give one.
    void refuse(gateway::upstream_limits & limits, double per_s)
    {
        wire::send_permit_grant_t message;
        message.asked_ms = static_cast<std::uint64_t>(core::to_ms(clock.now().time_since_epoch()));
        wire::send_permit_t item;
        item.upstream = "a";
        item.next_ms = static_cast<std::uint32_t>(1000 / per_s);
        item.retry_after_ms = item.next_ms;
        wire::append(message.permits, std::move(item));
        limits.apply_grant(message, clock.now());
    }

    kind admission(const gateway::upstream_limits& limits) const
    {
        return limits.admission("a", run, clock.now()).result;
    }
};

TEST(LearntUpstreamLimits, AsksForAPermitAtOnceWhenALowLimitWasRaised)
{
    for_each_seed([&](core::random_source& random) {
        gateway::upstream_limits limits{"gateway"};
        const double low = 0.1 + 0.1 * static_cast<double>(core::uniform_below(random, 20));
        limits.apply_limits(make_update(1, low), clock.now());
        refuse(limits, low);
        CHECK_TRUE(admission(limits) == kind::refused);
        clock.advance(random_ms(random, 300));
        if (core::uniform_below(random, 2) == 0) {
            limits.apply_limits(make_update(2, 500), clock.now());
        }
        else {
            limits.record_answer({"a", run, core::request_rate{500}, clock.now()}, clock.now());
        }
        CHECK_TRUE(admission(limits) == kind::needs_permit);
    });
}

TEST(LearntUpstreamLimits, AsksForAPermitAgainHalfASecondAfterAnyNumberOfSilences)
{
    for_each_seed([&](core::random_source& random) {
        gateway::upstream_limits limits{"gateway"};
        limits.apply_limits(make_update(1, 10), clock.now());
        const auto silences = 1 + core::uniform_below(random, 20);
        for (std::uint64_t i = 0; i < silences; ++i) {
            limits.add_wish("a");
            CHECK_TRUE(limits.take_query(clock.now()).has_value());
            clock.advance(milliseconds{50} + random_ms(random, 500));
            if (core::uniform_below(random, 2) == 0) {
                limits.record_silence("a", clock.now());
            }
            else {
                limits.record_no_leader("a", clock.now());
            }
        }
        const auto taken =
            time_until(clock, seconds{2}, [&] { return admission(limits) == kind::needs_permit; });
        CHECK_TRUE(taken <= milliseconds{500});
        limits.add_wish("a");
        const auto query = limits.take_query(clock.now());
        CHECK_TRUE(query.has_value());
    });
}

TEST(LearntUpstreamLimits, TheLeaderFollowsTheNextAnswerHoweverLowALimitItWasTold)
{
    for_each_seed([&](core::random_source& random) {
        control::upstream_limit_manager manager;
        state::upstream_limits replicated;
        manager.begin_term(clock.now());
        clock.advance(random_ms(random, 5000));
        wire::limit_observation_t told;
        told.upstream = "a";
        told.born_ms = run;
        told.per_s = 0.1;
        told.sent_age_ms = static_cast<std::uint32_t>(core::uniform_below(random, 60'000));
        told.age_ms = static_cast<std::uint32_t>(core::uniform_below(random, told.sent_age_ms + 1));
        manager.record_observation(told, replicated, clock.now());
        clock.advance(milliseconds{1});
        told.per_s = 200;
        told.sent_age_ms = 0;
        told.age_ms = 0;
        manager.record_observation(told, replicated, clock.now());
        wire::send_permit_wish_t wish;
        wish.upstream = "a";
        wish.waiting = 1;
        const auto taken = time_until(clock, seconds{12}, [&] {
            return manager.grant(wish, replicated, clock.now()).granted > 0;
        });
        CHECK_TRUE(taken <= milliseconds{10});
    });
}

TEST_GROUP(LearntPlaces)
{
    core::manual_clock clock;
};

TEST(LearntPlaces, AGatewayGetsAPlaceWithin1500MsHoweverLateTheLeaderAnswers)
{
    for_each_seed([&](core::random_source& random) {
        gateway::upstream_places places;
        places.set_leader(true, 4);
        places.record_answer({"desk", "a", 100, 8, true, clock.now()}, clock.now());
        const auto answer_time = random_ms(random, 300);
        std::multimap<core::time_point, core::time_point> answers; // by arrival, when asked
        const auto taken = time_until(clock, seconds{10}, [&] {
            places.add_wish("a");
            if (!places.take_wishes(clock.now()).empty()) {
                answers.emplace(clock.now() + answer_time, clock.now());
            }
            while (!answers.empty() && answers.begin()->first <= clock.now()) {
                wire::place_grant_t granted;
                granted.upstream = "a";
                granted.places = 1;
                places.apply(granted, answers.begin()->second, clock.now());
                answers.erase(answers.begin());
            }
            return places.has_place("a", 100, clock.now());
        });
        CHECK_TRUE(taken <= milliseconds{1500});
    });
}

TEST(LearntPlaces, TheLeaderGivesThePlacesOfLostGatewaysAwayWithinTheirLease)
{
    for_each_seed([&](core::random_source& random) {
        control::place_manager manager;
        manager.begin_term(clock.now());
        clock.advance(random_ms(random, 1000));
        wire::place_wish_t wish;
        wish.upstream = "a";
        wish.born_ms = 100;
        for (const auto* vm : {"lost-1", "lost-2"}) {
            wish.in_use = static_cast<std::uint32_t>(core::uniform_below(random, 1000));
            wish.waiting = static_cast<std::uint32_t>(core::uniform_below(random, 1000));
            CHECK_TRUE(manager.grant(vm, wish, 8, clock.now()).places <= 8);
        }
        wish.in_use = 0;
        wish.waiting = 8;
        const auto taken = time_until(clock, seconds{10}, [&] {
            return manager.grant("gateway", wish, 8, clock.now()).places == 8;
        });
        CHECK_TRUE(taken <= milliseconds{5005});
    });
}

TEST_GROUP(LearntRetries)
{
    core::manual_clock clock;

    /// Callers send 100 requests in a second for as long as @p time.
    void send_requests(gateway::retry_budget & budget, core::duration time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            budget.record_request(clock.now());
            clock.advance(milliseconds{10});
        }
    }
};

TEST(LearntRetries, ABudgetThatIsUsedUpIsBackAfterItsWindowAndTheLatestArrival)
{
    for_each_seed([&](core::random_source& random) {
        gateway::retry_budget budget;
        for (int i = 0; i < 200; ++i) {
            budget.record_request(clock.now());
            if (budget.try_consume(clock.now(), 1)) {
                budget.settle_late(clock.now());
            }
            clock.advance(random_ms(random, 10));
        }
        send_requests(budget, milliseconds{11'200});
        CHECK_TRUE(budget.try_consume(clock.now(), 0));
    });
}

TEST(LearntRetries, ABudgetWhoseWindowIsChangedCountsRequestsAsBefore)
{
    for_each_seed([&](core::random_source& random) {
        gateway::retry_budget budget;
        clock.advance(random_ms(random, 3'600'000));
        send_requests(budget, seconds{30});
        gateway::retry_budget_options options;
        options.window = seconds{1 + core::uniform_below(random, 60)};
        budget.set_options(options);
        send_requests(budget, 2 * options.window + seconds{1});
        const auto used = budget.usage(clock.now(), 0);
        const double per_window = 100 * std::chrono::duration<double>(options.window).count();
        CHECK_TRUE(used.allowed >= 0.1 * options.retry_ratio * per_window);
        CHECK_TRUE(used.allowed <= 1.1 * options.retry_ratio * per_window);
    });
}

TEST(LearntRetries, ABudgetKeepsTheRetriesThatItCountedWhenItsWindowIsChanged)
{
    for_each_seed([&](core::random_source& random) {
        gateway::retry_budget budget;
        clock.advance(random_ms(random, 3'600'000));
        for (int i = 0; i < 40; ++i) {
            CHECK_TRUE(budget.try_consume(clock.now(), 1));
            budget.settle(clock.now());
        }
        gateway::retry_budget_options options;
        options.window = seconds{1 + core::uniform_below(random, 60)};
        budget.set_options(options);
        DOUBLES_EQUAL(40, budget.usage(clock.now(), 1).retries, 0);
        clock.advance(options.window);
        DOUBLES_EQUAL(40, budget.usage(clock.now(), 1).retries, 0);
        clock.advance(options.window / 50 + seconds{1}); // two slices, and one of the former window
        CHECK_TRUE(budget.try_consume(clock.now(), 1));
        DOUBLES_EQUAL(1, budget.usage(clock.now(), 1).retries, 0);
    });
}

TEST(LearntRetries, AShareToldByAnotherLeaderEndsWithItsLease)
{
    for_each_seed([&](core::random_source& random) {
        gateway::retry_share share{clock.now(), seconds{10}};
        wire::retry_share_t told;
        told.generation = 1 + core::uniform_below(random, ~std::uint64_t{0} - 1);
        told.holders = static_cast<std::uint32_t>(core::uniform_below(random, 100));
        told.usable = core::uniform_below(random, 2) == 0;
        const auto now_ms = [&] {
            return static_cast<std::uint64_t>(core::to_ms(clock.now().time_since_epoch()));
        };
        told.asked_ms = core::uniform_below(random, 2) == 0 ? 0 : now_ms();
        share.apply(told, clock.now());
        const auto taken = time_until(
            clock, seconds{100},
            [&] {
                wire::retry_share_t sound;
                sound.generation = 1;
                sound.holders = 2;
                sound.usable = true;
                sound.asked_ms = now_ms();
                share.apply(sound, clock.now());
                return share.fraction(clock.now()) == 0.5;
            },
            milliseconds{500});
        CHECK_TRUE(taken <= seconds{61});
    });
}

TEST(LearntRetries, EveryLivingGatewayHasItsShareWithin90SecondsOfALeaderWhoeverWasLost)
{
    for_each_seed([&](core::random_source& random) {
        state::control_state replicated;
        control::retry_share_manager manager;
        std::set<std::string> living;
        const auto run_for = [&](seconds time) {
            const auto end = clock.now() + time;
            while (clock.now() < end) {
                const auto& shares = replicated.current_retry_shares();
                for (const auto& vm : living) {
                    wire::retry_share_query_t query;
                    query.vm = vm;
                    query.generation = shares.generation;
                    manager.record_query(query, clock.now());
                }
                while (const auto change = manager.next_change(shares, clock.now())) {
                    wire::log_entry_t entry;
                    entry.kind = wire::entry_kind::command;
                    const auto bytes = wire::encode_table(wire::make_control_request(*change));
                    entry.data.assign(bytes.begin(), bytes.end());
                    replicated.apply(entry);
                }
                clock.advance(seconds{1});
            }
        };
        manager.begin_term(clock.now());
        for (std::uint64_t i = 0; i < 12; ++i) {
            living.insert("vm-" + std::to_string(core::uniform_below(random, 20)));
            run_for(seconds{core::uniform_below(random, 15)});
        }
        manager.begin_term(clock.now());
        std::erase_if(living, [&](const auto&) { return core::uniform_below(random, 2) == 0; });
        living.insert("newcomer");
        run_for(seconds{90});
        for (const auto& vm : living) {
            const auto& holders = replicated.current_retry_shares().holders;
            CHECK_TRUE(holders.contains(vm) && holders.at(vm).usable);
        }
        LONGS_EQUAL(living.size(), replicated.current_retry_shares().holders.size());
    });
}
