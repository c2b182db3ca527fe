#include <rapidcheck.h>
#include <vector>

#include "control_world.h"

#include <CppUTest/TestHarness.h>

using siskindrift::tests::control_world;
using siskindrift::tests::step;
using siskindrift::tests::step_kind;

namespace {

// Faults are rarer than the steps that end them, so that the replicas make progress in between.
rc::Gen<step_kind> step_kind_generator()
{
    return rc::gen::weightedElement<step_kind>(
        {{34, step_kind::run},        {2, step_kind::kill},        {16, step_kind::restart},
         {3, step_kind::wipe},        {1, step_kind::tear_write},  {2, step_kind::freeze},
         {16, step_kind::thaw},       {2, step_kind::cut_one_way}, {1, step_kind::cut_both_ways},
         {16, step_kind::heal},       {12, step_kind::change},     {4, step_kind::resend_change},
         {4, step_kind::race_change}, {4, step_kind::read},        {4, step_kind::add_learner},
         {4, step_kind::promote},     {3, step_kind::remove_lost}, {5, step_kind::register_vm},
         {10, step_kind::renew},      {6, step_kind::acquire},     {1, step_kind::release},
         {6, step_kind::claim},       {2, step_kind::finish},      {5, step_kind::permit},
         {1, step_kind::transfer},    {2, step_kind::depose},      {1, step_kind::steal}});
}

rc::Gen<step> step_generator()
{
    return rc::gen::build<step>(rc::gen::set(&step::kind, step_kind_generator()),
                                rc::gen::set(&step::a, rc::gen::inRange<std::uint8_t>(0, 60)),
                                rc::gen::set(&step::b, rc::gen::inRange<std::uint8_t>(0, 60)));
}

constexpr std::size_t steps_per_run = 500;

} // namespace

TEST_GROUP(ControlFuzz){};

// Guards against violations of the safety invariants (one leader per term, equal logs and states,
// one owner per upstream, one answer per change) under random faults. RC_PARAMS sets the number
// of runs.
TEST(ControlFuzz, HoldsInvariantsUnderKillsPartitionsFreezesAndLostDisks)
{
    std::uint64_t accepted = 0;
    const bool held = rc::check("control replicas against the oracle", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto steps = *rc::gen::resize(
            100, rc::gen::container<std::vector<step>>(steps_per_run, step_generator()));
        control_world world{seed};
        for (const auto& next : steps) {
            world.apply(next);
            if (!world.violation().empty()) {
                break;
            }
        }
        if (world.violation().empty()) {
            world.settle();
        }
        accepted += world.accepted();
        if (!world.violation().empty()) {
            RC_FAIL(world.violation());
        }
    });
    CHECK_TRUE_TEXT(held, "an invariant was violated; the minimized steps are printed above");
    CHECK_TRUE_TEXT(accepted > 0, "no change was accepted, so the runs tested nothing");
}
