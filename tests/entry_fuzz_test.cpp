#include <iostream>
#include <rapidcheck.h>
#include <vector>

#include "entry_world.h"

#include <CppUTest/TestHarness.h>

using siskindrift::tests::entry_world;
using siskindrift::tests::event;
using siskindrift::tests::event_kind;

namespace {

// Faults are rarer than requests, so that most requests encounter at most one fault.
rc::Gen<event_kind> event_kind_generator()
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

rc::Gen<event> event_generator()
{
    return rc::gen::build<event>(rc::gen::set(&event::kind, event_kind_generator()),
                                 rc::gen::set(&event::a, rc::gen::inRange<std::uint8_t>(0, 60)),
                                 rc::gen::set(&event::b, rc::gen::inRange<std::uint8_t>(0, 60)));
}

constexpr std::size_t events_per_run = 400;

} // namespace

TEST_GROUP(EntryFuzz){};

// Guards against wrong verdicts, repeated runs of non-idempotent requests and incomplete answers
// when several faults overlap or recur. RC_PARAMS sets the number of runs.
TEST(EntryFuzz, HoldsInvariantsUnderOverlappingAndRepeatedFaults)
{
    entry_world::totals sum;
    const bool held = rc::check("entry VMs, owners and engines against the oracle", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto events = *rc::gen::resize(
            100, rc::gen::container<std::vector<event>>(events_per_run, event_generator()));
        entry_world world{seed};
        for (const auto& next : events) {
            world.apply(next);
            if (!world.violation().empty()) {
                break;
            }
        }
        if (world.violation().empty()) {
            world.settle();
        }
        sum.ran += world.counts().ran;
        sum.not_run += world.counts().not_run;
        sum.may_have_run += world.counts().may_have_run;
        sum.runs += world.counts().runs;
        if (!world.violation().empty()) {
            RC_FAIL(world.violation());
        }
    });
    std::cout << "ran " << sum.ran << ", not_run " << sum.not_run << ", may_have_run "
              << sum.may_have_run << ", engine runs " << sum.runs << "\n";
    CHECK_TRUE_TEXT(held, "an invariant was violated; the minimized events are printed above");
    CHECK_TRUE_TEXT(sum.ran > sum.not_run, "most requests were refused, so the runs tested little");
}

namespace {

// Reference model of a single process without failures: every request runs once, and a resend
// of an idempotency key returns the first answer without another run.
struct reference_model {
    std::uint64_t answers = 0;
    std::uint64_t runs = 0;

    void apply(const event& next)
    {
        if (next.kind == event_kind::run) {
            return;
        }
        ++answers;
        const bool resend = next.kind == event_kind::resend_key && m_keys > 0;
        runs += resend ? 0 : 1;
        m_keys += next.kind != event_kind::model_request && !resend ? 1 : 0;
    }

private:
    std::uint64_t m_keys = 0;
};

rc::Gen<event> fault_free_event_generator()
{
    return rc::gen::build<event>(rc::gen::set(&event::kind, rc::gen::weightedElement<event_kind>(
                                                                {{3, event_kind::run},
                                                                 {3, event_kind::model_request},
                                                                 {2, event_kind::service_request},
                                                                 {1, event_kind::resend_key}})),
                                 rc::gen::set(&event::a, rc::gen::inRange<std::uint8_t>(0, 60)),
                                 rc::gen::set(&event::b, rc::gen::inRange<std::uint8_t>(0, 60)));
}

} // namespace

// Compares verdicts and engine runs with the reference model. The request rate stays below the
// load capacity of the engines, so that no request is refused.
TEST(EntryFuzz, MatchesSingleProcessReferenceModelOnFaultFreeTraces)
{
    const bool agreed = rc::check("verdicts and runs against one process", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto events = *rc::gen::resize(
            100, rc::gen::container<std::vector<event>>(60, fault_free_event_generator()));
        entry_world world{seed, "siskindrift", false};
        reference_model reference;
        for (const auto& next : events) {
            world.apply(next);
            reference.apply(next);
            world.apply({event_kind::run, 40, 0});
        }
        world.settle();
        RC_ASSERT(world.violation() == "");
        RC_ASSERT(world.counts().ran == reference.answers);
        RC_ASSERT(world.counts().runs == reference.runs);
    });
    CHECK_TRUE(agreed);
}
