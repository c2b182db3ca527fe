#include "quorum_model.h"

#include "siskindrift/consensus/quorum.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::tests;

namespace {

const std::vector<std::uint64_t> three{0, 1, 2};
const std::vector<std::uint64_t> four{0, 1, 2, 3};
const std::vector<std::uint64_t> five{0, 1, 2, 3, 4};

// Explores all states and fails with the steps that lead to a violation.
void check_safe(const model_options& options)
{
    const auto result = quorum_model{options}.explore();
    std::string text = result.violation;
    for (const auto& step : result.trace) {
        text += "\n  " + step;
    }
    CHECK_TRUE_TEXT(result.violation.empty(), text.c_str());
    CHECK_TRUE(result.states > 1000);
}

bool finds_violation(const model_options& options)
{
    return !quorum_model{options}.explore().violation.empty();
}

} // namespace

// Guards against two leaders of one term and against acknowledged entries that a later leader
// lacks, when half of the voters decides because another one has lost its disk.
TEST_GROUP(QuorumModel){};

TEST(QuorumModel, ThreeVotersBearALostDisk)
{
    check_safe({.voters = three, .replicas = 3, .elections = 2, .losses = 1, .values = 1});
}

TEST(QuorumModel, FourVotersAreSafeWhenTwoLoseTheirDisks)
{
    check_safe({.voters = four, .replicas = 4, .elections = 2, .losses = 2, .values = 0});
}

TEST(QuorumModel, ALearnerMayBePromotedBesideALostDisk)
{
    check_safe({.voters = three,
                .replicas = 4,
                .elections = 1,
                .changes = 1,
                .losses = 1,
                .values = 0,
                .repeats_lists = true});
}

TEST(QuorumModel, AVoterMayBeRemovedBesideTwoLostDisks)
{
    check_safe(
        {.voters = four, .replicas = 4, .elections = 1, .changes = 1, .losses = 2, .values = 0});
}

TEST(QuorumModel, TwoVotersMayBecomeThreeBesideALostDisk)
{
    check_safe(
        {.voters = {0, 1}, .replicas = 3, .elections = 2, .changes = 1, .losses = 1, .values = 0});
}

TEST(QuorumModel, FiveVotersBearALostDisk)
{
    check_safe({.voters = five, .replicas = 5, .elections = 1, .losses = 1, .values = 0});
}

TEST(QuorumModel, AVoterOfFiveMayBeRemovedBesideALostDisk)
{
    check_safe(
        {.voters = five, .replicas = 5, .elections = 1, .changes = 1, .losses = 1, .values = 0});
}

// Of two halves each could elect its leader with votes that were cast before the losses.
TEST(QuorumModel, ShowsThatVotesFromBeforeALossMustNotCount)
{
    CHECK_TRUE(finds_violation({.voters = four,
                                .replicas = 4,
                                .elections = 2,
                                .losses = 2,
                                .values = 0,
                                .requires_replies_after_loss = false}));
}

// Half of the former voters may not have heard of the change that the others have committed.
TEST(QuorumModel, ShowsThatAnOpenChangeNeedsTheFormerVotersAsWell)
{
    CHECK_TRUE(finds_violation({.voters = four,
                                .replicas = 4,
                                .elections = 1,
                                .changes = 1,
                                .losses = 1,
                                .values = 0,
                                .requires_both_lists = false}));
}

// A group of three with a successor that votes goes on when one voter never comes back and another
// one loses its disk.
TEST(QuorumModel, FourVotersDecideWithoutOneThatIsGoneAndOneThatHasLostItsDisk)
{
    const std::vector<std::uint64_t> voters{1, 2, 3, 4};
    const auto decides = [&](std::uint64_t gone, std::uint64_t lost, bool known) {
        return consensus::is_quorum(
            voters, [&](std::uint64_t id) { return known && id == lost; },
            [&](std::uint64_t id, std::uint64_t) { return id != gone && id != lost; });
    };
    for (const auto gone : voters) {
        for (const auto lost : voters) {
            CHECK_EQUAL(gone == lost, decides(gone, lost, false));
            CHECK_TRUE(decides(gone, lost, true));
        }
    }
}
