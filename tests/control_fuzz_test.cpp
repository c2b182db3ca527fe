#include <rapidcheck.h>
#include <vector>

#include "control_world.h"

#include <CppUTest/TestHarness.h>

using siskindrift::tests::control_world;
using siskindrift::tests::fault_kind;
using siskindrift::tests::step;

namespace {

// Faults are rarer than what ends them, so that the replicas get far between faults.
rc::Gen<fault_kind> any_kind()
{
    return rc::gen::weightedElement<fault_kind>(
        {{34, fault_kind::run},        {2, fault_kind::kill},        {16, fault_kind::restart},
         {3, fault_kind::wipe},        {1, fault_kind::tear_write},  {2, fault_kind::freeze},
         {16, fault_kind::thaw},       {2, fault_kind::cut_one_way}, {1, fault_kind::cut_both_ways},
         {16, fault_kind::heal},       {12, fault_kind::change},     {4, fault_kind::resend_change},
         {4, fault_kind::race_change}, {4, fault_kind::read},        {4, fault_kind::add_learner},
         {4, fault_kind::promote},     {3, fault_kind::remove_lost}, {5, fault_kind::register_vm},
         {10, fault_kind::renew},      {6, fault_kind::acquire},     {1, fault_kind::release},
         {6, fault_kind::claim},       {2, fault_kind::finish},      {5, fault_kind::permit},
         {1, fault_kind::transfer},    {2, fault_kind::depose},      {1, fault_kind::steal}});
}

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(rc::gen::set(&step::what, any_kind()),
                                rc::gen::set(&step::a, rc::gen::inRange<std::uint8_t>(0, 60)),
                                rc::gen::set(&step::b, rc::gen::inRange<std::uint8_t>(0, 60)));
}

constexpr std::size_t steps_per_run = 500;

} // namespace

TEST_GROUP(ControlFuzz){};

// Runs as often as RC_PARAMS says; each run takes 500 steps.
TEST(ControlFuzz, KeepsEveryPromiseUnderKillsCutsFreezesAndLostDisks)
{
    std::uint64_t accepted = 0;
    const bool held = rc::check("control replicas against the oracle", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto steps =
            *rc::gen::resize(100, rc::gen::container<std::vector<step>>(steps_per_run, any_step()));
        control_world world{seed};
        for (const auto& next : steps) {
            world.take(next);
            if (!world.fault().empty()) {
                break;
            }
        }
        if (world.fault().empty()) {
            world.settle();
        }
        accepted += world.accepted();
        if (!world.fault().empty()) {
            RC_FAIL(world.fault());
        }
    });
    CHECK_TRUE_TEXT(held, "a promise was broken; the shrunk steps stand above");
    CHECK_TRUE_TEXT(accepted > 0, "no change was ever accepted, so nothing was tried");
}
