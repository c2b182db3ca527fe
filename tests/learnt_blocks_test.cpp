// Blocks of prompt parts: a sound part that is asked for is back within a stated time.
#include <set>
#include <string>
#include <utility>

#include "siskindrift/control/prompt_judge.h"
#include "siskindrift/fleet/request_part.h"
#include "siskindrift/wire/frame.h"

#include "learnt_values.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::tests;
using core::milliseconds;
using std::chrono::seconds;

TEST_GROUP(LearntBlocks)
{
    core::manual_clock clock;
    control::prompt_judge judge;
    state::control_state replicated;
    const std::string part = fleet::prompt_part_name("llm", "sound");

    [[nodiscard]] const state::blocked_parts& blocked() const
    {
        return replicated.current_blocked_parts();
    }

    void apply(const wire::change_blocked_parts_t& change)
    {
        wire::log_entry_t entry;
        entry.kind = wire::entry_kind::command;
        const auto bytes = wire::encode_table(wire::make_control_request(change));
        entry.data.assign(bytes.begin(), bytes.end());
        replicated.apply(entry);
    }

    void block(std::size_t gateways)
    {
        judge.begin_term(clock.now(), 1);
        std::set<std::string> vms;
        for (std::size_t i = 0; i < gateways; ++i) {
            vms.insert("vm-" + std::to_string(i));
        }
        judge.set_gateways(vms);
        wire::change_blocked_parts_t change;
        wire::blocked_part_t item;
        item.part = part;
        item.strikes = 1;
        wire::append(change.block, std::move(item));
        apply(change);
    }

    /// A request with the part comes to @p vm, which refuses it or tries it.
    void request(const std::string& vm)
    {
        wire::prompt_evidence_t evidence;
        evidence.vm = vm;
        if (blocked().parts.at(part).trial_vm == vm) {
            clock.advance(milliseconds{5});
            wire::prompt_survival_t survival;
            survival.part = part;
            wire::append(evidence.survivals, std::move(survival));
        }
        else {
            evidence.refused.push_back(part);
        }
        CHECK_TRUE(judge.record_evidence(evidence, blocked(), clock.now()).empty());
        while (const auto change = judge.next_change(blocked(), clock.now())) {
            apply(*change);
        }
    }

    /// Returns how long the part stays blocked while a request with it comes each second.
    /// @param term_length time after which the leader changes.
    milliseconds time_blocked(core::random_source & random, std::size_t gateways,
                              core::duration term_length)
    {
        block(gateways);
        std::uint64_t term = 1;
        auto term_began = clock.now();
        return time_until(
            clock, seconds{300},
            [&] {
                if (clock.now() - term_began >= term_length) {
                    judge.begin_term(clock.now(), ++term);
                    term_began = clock.now();
                }
                request("vm-" + std::to_string(core::uniform_below(random, gateways)));
                return !blocked().parts.contains(part);
            },
            seconds{1});
    }
};

TEST(LearntBlocks, ASoundPartIsBackWithinTwoMinutesWithTenGateways)
{
    for_each_seed([&](core::random_source& random) {
        CHECK_TRUE(time_blocked(random, 10, std::chrono::hours{1}) <= seconds{120});
    });
}

IGNORE_TEST(LearntBlocks, ASoundPartIsBackWithinTwoMinutesThroughHoweverManyGatewaysItComes)
{
    for_each_seed([&](core::random_source& random) {
        CHECK_TRUE(time_blocked(random, 91, std::chrono::hours{1}) <= seconds{120});
    });
}

IGNORE_TEST(LearntBlocks, ASoundPartIsBackWithinFiveMinutesHoweverOftenTheLeaderChanges)
{
    for_each_seed([&](core::random_source& random) {
        CHECK_TRUE(time_blocked(random, 91, seconds{25}) <= seconds{300});
    });
}
