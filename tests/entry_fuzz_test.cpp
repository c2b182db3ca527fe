#include <iostream>
#include <rapidcheck.h>
#include <vector>

#include "entry_world.h"

#include <CppUTest/TestHarness.h>

using siskindrift::tests::entry_world;
using siskindrift::tests::event;
using siskindrift::tests::event_kind;

namespace {

// Faults are rarer than requests, so that most requests meet one fault or none.
rc::Gen<event_kind> any_kind()
{
    return rc::gen::weightedElement<event_kind>(
        {{20, event_kind::run},           {1, event_kind::kill_vm},
         {4, event_kind::restart_vm},     {1, event_kind::freeze_vm},
         {4, event_kind::thaw_vm},        {1, event_kind::cut},
         {4, event_kind::heal},           {1, event_kind::cut_control},
         {20, event_kind::model_request}, {12, event_kind::service_request},
         {6, event_kind::resend_key},     {2, event_kind::caller_leaves},
         {1, event_kind::restart_engine}, {1, event_kind::silent_engine},
         {2, event_kind::lose_answer},    {1, event_kind::cross_answer},
         {1, event_kind::wrong_adapter},  {2, event_kind::refuse},
         {1, event_kind::fail_load},      {1, event_kind::leave},
         {2, event_kind::serve},          {1, event_kind::retire_version},
         {1, event_kind::create_version}, {1, event_kind::drain_vm},
         {1, event_kind::bounce_vm}});
}

rc::Gen<event> any_event()
{
    return rc::gen::build<event>(rc::gen::set(&event::what, any_kind()),
                                 rc::gen::set(&event::a, rc::gen::inRange<std::uint8_t>(0, 60)),
                                 rc::gen::set(&event::b, rc::gen::inRange<std::uint8_t>(0, 60)));
}

constexpr std::size_t events_per_run = 400;

} // namespace

TEST_GROUP(EntryFuzz){};

// Runs as often as RC_PARAMS says; each run takes 400 events.
TEST(EntryFuzz, KeepsEveryPromiseOfTheBriefUnderFaultsTogetherOrTwice)
{
    entry_world::totals sum;
    const bool held = rc::check("entry VMs, owners and engines against the oracle", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto events = *rc::gen::resize(
            100, rc::gen::container<std::vector<event>>(events_per_run, any_event()));
        entry_world world{seed};
        for (const auto& next : events) {
            world.take(next);
            if (!world.fault().empty()) {
                break;
            }
        }
        if (world.fault().empty()) {
            world.settle();
        }
        sum.ran += world.counts().ran;
        sum.not_run += world.counts().not_run;
        sum.may_have_run += world.counts().may_have_run;
        sum.runs += world.counts().runs;
        if (!world.fault().empty()) {
            RC_FAIL(world.fault());
        }
    });
    std::cout << "ran " << sum.ran << ", not_run " << sum.not_run << ", may_have_run "
              << sum.may_have_run << ", engine runs " << sum.runs << "\n";
    CHECK_TRUE_TEXT(held, "a promise was broken; the shrunk events stand above");
    CHECK_TRUE_TEXT(sum.ran > sum.not_run, "most requests were refused, so little was tried");
}

namespace {

// What one process without failures would answer: every request runs once, and a resend of
// a key gets the first answer without another run.
struct naive_version {
    std::uint64_t answers = 0;
    std::uint64_t runs = 0;

    void take(const event& next)
    {
        if (next.what == event_kind::run) {
            return;
        }
        ++answers;
        const bool resend = next.what == event_kind::resend_key && m_keys > 0;
        runs += resend ? 0 : 1;
        m_keys += next.what != event_kind::model_request && !resend ? 1 : 0;
    }

private:
    std::uint64_t m_keys = 0;
};

rc::Gen<event> any_fault_free_event()
{
    return rc::gen::build<event>(rc::gen::set(&event::what, rc::gen::weightedElement<event_kind>(
                                                                {{3, event_kind::run},
                                                                 {3, event_kind::model_request},
                                                                 {2, event_kind::service_request},
                                                                 {1, event_kind::resend_key}})),
                                 rc::gen::set(&event::a, rc::gen::inRange<std::uint8_t>(0, 60)),
                                 rc::gen::set(&event::b, rc::gen::inRange<std::uint8_t>(0, 60)));
}

} // namespace

// The rate stays within what the engines can load, so nothing is refused.
TEST(EntryFuzz, AgreesWithANaiveOneProcessVersionOnFaultFreeTraces)
{
    const bool agreed = rc::check("verdicts and runs against one process", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto events = *rc::gen::resize(
            100, rc::gen::container<std::vector<event>>(60, any_fault_free_event()));
        entry_world world{seed, "siskindrift", false};
        naive_version naive;
        for (const auto& next : events) {
            world.take(next);
            naive.take(next);
            world.take({event_kind::run, 40, 0});
        }
        world.settle();
        RC_ASSERT(world.fault() == "");
        RC_ASSERT(world.counts().ran == naive.answers);
        RC_ASSERT(world.counts().runs == naive.runs);
    });
    CHECK_TRUE(agreed);
}
