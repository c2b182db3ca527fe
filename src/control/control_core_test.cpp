#include "siskindrift/control/control_core.h"

#include "siskindrift/wire/frame.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::control;

// A cluster of one replica whose disk is always fast enough.
class control_core_fixture : public Utest {
public:
    core::manual_clock clock;
    control_options options;
    std::unique_ptr<control_core> replica;
    int snapshots = 0;
    std::vector<client_reply> replies;

    void start(consensus::recovered_state state = {})
    {
        replica = std::make_unique<control_core>(core::replica_id{1}, std::move(state), options, 1,
                                                 clock, nullptr);
    }

    void form()
    {
        start();
        wire::form_cluster_t form;
        form.vm = "vm-1";
        form.address = "127.0.0.1:1";
        replica->on_request(0, wire::make_control_request(form));
        run(4);
    }

    void run(int cycles)
    {
        for (int i = 0; i < cycles; ++i) {
            clock.advance(std::chrono::seconds{1});
            run_cycle();
        }
    }

    void run_cycle()
    {
        replica->tick();
        const auto work = replica->take_ready();
        snapshots += replica->apply_ready(work) != nullptr ? 1 : 0;
        for (auto& reply : replica->take_replies()) {
            replies.push_back(std::move(reply));
        }
    }

    void put_document(std::uint64_t version, std::size_t bytes)
    {
        wire::put_document_t command;
        command.version = version;
        command.content = std::string(bytes, 'd');
        replica->on_request(version, wire::make_control_request(std::move(command)));
    }
};

TEST_GROUP_BASE(ControlCore, control_core_fixture){};

// Guards against coordinators that can't be started again: a log of large documents that is
// compacted by the number of its entries alone outgrows the memory and the disk.
TEST(ControlCore, CompactsItsLogByBytes)
{
    options.compact_after_bytes = 1000;
    form();
    std::uint64_t longest = 0;
    for (std::uint64_t version = 1; version <= 50; ++version) {
        put_document(version, 400);
        run(3);
        longest = std::max(longest, replica->raft().log().bytes());
    }
    CHECK_TRUE(longest < 2000);
    CHECK_TRUE(snapshots >= 12);
    UNSIGNED_LONGS_EQUAL(50, replica->state().current_document().version);
}

TEST(ControlCore, RefusesChangesWhileTooManyBytesWaitForAQuorum)
{
    options.max_uncommitted_bytes = 1000;
    form();
    replies.clear();
    put_document(1, 900);
    put_document(2, 900);
    put_document(3, 900); // 1,800 bytes wait
    run(3);
    CHECK_EQUAL(3, replies.size());
    CHECK_TRUE(replies.front().client == 3);
    CHECK_TRUE(replies.front().reply.outcome == wire::control_outcome::unavailable);
    UNSIGNED_LONGS_EQUAL(2, replica->state().current_document().version);
}

// Guards against reads of an older state where committed entries are applied in several batches.
TEST(ControlCore, AnswersReadsOnlyOnceAllThatWasCommittedBeforeIsApplied)
{
    options.raft.max_committed_bytes_per_batch = 1000;
    form();
    for (std::uint64_t version = 1; version <= 6; ++version) {
        put_document(version, 900);
    }
    run_cycle(); // commits all of them
    UNSIGNED_LONGS_EQUAL(0, replica->applied() == replica->raft().commit_index() ? 1 : 0);
    replies.clear();
    replica->on_request(100, wire::make_control_request(wire::read_document_t{}));
    for (int i = 0; i < 20; ++i) {
        run_cycle();
        clock.advance(core::milliseconds{1});
    }
    std::uint64_t read = 0;
    for (const auto& reply : replies) {
        const auto* page = reply.client == 100 ? reply.reply.body.Asdocument_page() : nullptr;
        read = page != nullptr ? page->version : read;
    }
    UNSIGNED_LONGS_EQUAL(6, read);
}
