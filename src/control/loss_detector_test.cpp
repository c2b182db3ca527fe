#include "siskindrift/control/loss_detector.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::control;

// A message of an earlier replica at an address must never make a sound member count as lost.
TEST_GROUP(LossDetector)
{
    core::manual_clock clock;
    loss_detector detector{7};

    // Returns replica 1 of the voters 1 and 2, which knows no leader.
    consensus::raft_node make_replica() const
    {
        consensus::recovered_state recovered;
        recovered.hard = {99, 1, 0};
        recovered.base.emplace();
        recovered.base->last_index = recovered.base->last_term = 1;
        for (std::uint64_t id = 1; id <= 2; ++id) {
            wire::replica_info_t info;
            info.id = id;
            info.address = "a:" + std::to_string(id);
            info.voter = true;
            recovered.base->members.push_back(info);
        }
        return {core::replica_id{1}, recovered, {}, 1, clock.now()};
    }

    static wire::identity_reply_t answer(std::uint64_t nonce, std::uint64_t id)
    {
        wire::identity_reply_t reply;
        reply.nonce = nonce;
        reply.id = id;
        return reply;
    }
};

TEST(LossDetector, AsksAtTheAddressOfEachVoterWhileNobodyLeads)
{
    const auto raft = make_replica();
    const auto queries = detector.take_queries(raft, clock.now());
    UNSIGNED_LONGS_EQUAL(1, queries.size());
    STRCMP_EQUAL("a:2", queries.front().address.c_str());
    UNSIGNED_LONGS_EQUAL(0, detector.take_queries(raft, clock.now()).size());
}

TEST(LossDetector, TakesAMemberForLostWhenAnotherReplicaAnswersAtItsAddress)
{
    const auto nonce = detector.take_queries(make_replica(), clock.now()).front().nonce;
    const auto lost = detector.on_reply(answer(nonce, 5));
    CHECK_TRUE(lost.has_value());
    UNSIGNED_LONGS_EQUAL(2, *lost);
}

TEST(LossDetector, KeepsAMemberThatAnswersItself)
{
    const auto nonce = detector.take_queries(make_replica(), clock.now()).front().nonce;
    CHECK_FALSE(detector.on_reply(answer(nonce, 2)).has_value());
}

TEST(LossDetector, IgnoresAnAnswerToNoQueryOfItsOwn)
{
    const auto nonce = detector.take_queries(make_replica(), clock.now()).front().nonce;
    CHECK_FALSE(detector.on_reply(answer(nonce + 1, 5)).has_value());
}

TEST(LossDetector, IgnoresAnAnswerWithoutAnIdentity)
{
    const auto nonce = detector.take_queries(make_replica(), clock.now()).front().nonce;
    CHECK_FALSE(detector.on_reply(answer(nonce, 0)).has_value());
}
