#include "siskindrift/control/membership_manager.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::control;

TEST_GROUP(MembershipManager)
{
    core::manual_clock clock;
    consensus::raft_node raft{core::replica_id{1}, {}, {}, 7, clock.now()};
    membership_manager keeper;

    // Lets the replica lead a cluster of its own.
    void lead()
    {
        raft.form(99, "vm-1", "a:1");
        raft.take_ready();
        raft.persisted(clock.now());
        for (int i = 0; i < 100 && !raft.has_committed_in_term(); ++i) {
            clock.advance(core::milliseconds{50});
            raft.tick(clock.now());
            raft.take_ready();
            raft.persisted(clock.now());
        }
        CHECK_TRUE(raft.has_committed_in_term());
    }

    void join(std::uint64_t id, const std::string& address)
    {
        wire::join_request_t wish;
        wish.id = id;
        wish.vm = "vm";
        wish.address = address;
        keeper.record_join_request(wish, clock.now());
    }

    // Proposes what the keeper wants; a lone voter commits at once.
    std::string apply()
    {
        const auto members = keeper.next_members(raft, clock.now());
        if (!members) {
            return "as it is";
        }
        CHECK_TRUE(raft.propose_members(*members).has_value());
        raft.take_ready();
        raft.persisted(clock.now());
        return shown();
    }

    std::string shown()
    {
        std::string text;
        for (const auto& info : raft.members()) {
            text += std::to_string(info.id) + (info.voter ? "v " : "l ");
        }
        return text;
    }

    void acknowledge(std::uint64_t from)
    {
        wire::append_reply_t reply;
        reply.cluster = 99;
        reply.to = 1;
        reply.from = from;
        reply.term = raft.term();
        reply.success = true;
        reply.match_index = raft.last_index();
        raft.step(wire::make_envelope(reply), clock.now());
    }
};

TEST(MembershipManager, AdmitsANewcomerAsALearner)
{
    lead();
    join(2, "b:1");
    STRCMP_EQUAL("1v 2l ", apply().c_str());
}

TEST(MembershipManager, LetsALearnerVoteOnlyOnceItIsCaughtUp)
{
    lead();
    join(2, "b:1");
    apply();
    STRCMP_EQUAL("as it is", apply().c_str());
    acknowledge(2);
    STRCMP_EQUAL("1v 2v ", apply().c_str());
}

TEST(MembershipManager, RemovesTheFormerIdentityOfAReplicaThatLostItsDisk)
{
    lead();
    join(2, "b:1");
    apply();
    join(3, "b:1"); // the same address under another identity
    STRCMP_EQUAL("1v ", apply().c_str());
    STRCMP_EQUAL("1v 3l ", apply().c_str());
}

TEST(MembershipManager, KeepsAFurtherReplicaAsAStandby)
{
    lead();
    membership_manager_options options;
    options.target_voters = 1;
    keeper = membership_manager{options};
    join(2, "b:1");
    apply();
    acknowledge(2);
    STRCMP_EQUAL("as it is", apply().c_str());
}

TEST(MembershipManager, ForgetsAWishThatIsNotRepeated)
{
    lead();
    join(2, "b:1");
    clock.advance(core::milliseconds{4000});
    STRCMP_EQUAL("as it is", apply().c_str());
}

TEST(MembershipManager, ChangesNothingWithoutLeadership)
{
    join(2, "b:1");
    CHECK_FALSE(keeper.next_members(raft, clock.now()).has_value());
}
