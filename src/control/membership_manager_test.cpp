#include "siskindrift/control/membership_manager.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::control;

TEST_GROUP(MembershipManager)
{
    core::manual_clock clock;
    consensus::raft_node raft{core::replica_id{1}, {}, {}, 7, clock.now()};
    membership_manager manager;

    // Forms a cluster with this replica as its only voter and makes it the leader.
    void become_leader()
    {
        raft.bootstrap(99, "vm-1", "a:1");
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
        wire::join_request_t request;
        request.id = id;
        request.vm = "vm";
        request.address = address;
        manager.record_join_request(request, clock.now());
    }

    // Proposes the change that the manager returns. A single voter commits it at once.
    std::string apply()
    {
        const auto members = manager.next_members(raft, clock.now());
        if (!members) {
            return "unchanged";
        }
        CHECK_TRUE(raft.propose_members(*members).has_value());
        raft.take_ready();
        raft.persisted(clock.now());
        return describe_members();
    }

    std::string describe_members()
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

TEST(MembershipManager, AdmitsANewReplicaAsALearner)
{
    become_leader();
    join(2, "b:1");
    STRCMP_EQUAL("1v 2l ", apply().c_str());
}

TEST(MembershipManager, LetsALearnerVoteOnlyOnceItIsCaughtUp)
{
    become_leader();
    join(2, "b:1");
    apply();
    STRCMP_EQUAL("unchanged", apply().c_str());
    acknowledge(2);
    STRCMP_EQUAL("1v 2v ", apply().c_str());
}

TEST(MembershipManager, RemovesTheFormerIdentityOfAReplicaThatLostItsDisk)
{
    become_leader();
    join(2, "b:1");
    apply();
    clock.advance(core::milliseconds{301});
    join(3, "b:1"); // the same address under another identity
    STRCMP_EQUAL("1v ", apply().c_str());
    STRCMP_EQUAL("1v 3l ", apply().c_str());
}

// Guards against the removal of a sound replica by a late request of a former one at its address.
TEST(MembershipManager, KeepsAReplicaThatRepliesWhenAFormerOneAsksToJoin)
{
    become_leader();
    join(2, "b:1");
    apply();
    clock.advance(core::milliseconds{1000});
    acknowledge(2);
    join(3, "b:1");
    STRCMP_EQUAL("1v 2v ", apply().c_str()); // only the pending promotion
    join(4, "a:1");                          // the address of the leader
    STRCMP_EQUAL("unchanged", apply().c_str());
}

TEST(MembershipManager, KeepsAFurtherReplicaAsAStandby)
{
    become_leader();
    membership_manager_options options;
    options.target_voters = 1;
    manager = membership_manager{options};
    join(2, "b:1");
    apply();
    acknowledge(2);
    STRCMP_EQUAL("unchanged", apply().c_str());
}

TEST(MembershipManager, ExpiresAJoinRequestThatIsNotRepeated)
{
    become_leader();
    join(2, "b:1");
    clock.advance(core::milliseconds{4000});
    STRCMP_EQUAL("unchanged", apply().c_str());
}

TEST(MembershipManager, ChangesNothingWithoutLeadership)
{
    join(2, "b:1");
    CHECK_FALSE(manager.next_members(raft, clock.now()).has_value());
}

// Guards against a successor whose vote doesn't count yet when the member that it replaces ends.
TEST(MembershipManager, LetsASuccessorVoteBesideTheTarget)
{
    become_leader();
    membership_manager_options options;
    options.target_voters = 1;
    options.max_spare_voters = 1;
    manager = membership_manager{options};
    join(2, "b:1");
    apply();
    acknowledge(2);
    STRCMP_EQUAL("1v 2v ", apply().c_str());
}

TEST(MembershipManager, KeepsASilentSpareVoterThatIsNeededForTheChange)
{
    become_leader();
    membership_manager_options options;
    options.target_voters = 1;
    options.max_spare_voters = 1;
    manager = membership_manager{options};
    join(2, "b:1");
    apply();
    acknowledge(2);
    apply();
    acknowledge(2);
    raft.take_ready(); // the repeated list
    raft.persisted(clock.now());
    acknowledge(2);
    clock.advance(core::milliseconds{3000});
    STRCMP_EQUAL("unchanged", apply().c_str());
    raft.mark_lost(2);
    STRCMP_EQUAL("1v ", apply().c_str());
}
