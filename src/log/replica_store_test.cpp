#include "siskindrift/log/replica_store.h"

#include <cstdlib>
#include <fstream>

#include "siskindrift/log/data_folder.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::log;
namespace fs = std::filesystem;

namespace {

// A file whose writes or syncs fail after a number of calls, like those of a full or broken disk.
class failing_file final : public append_file {
public:
    explicit failing_file(int& writes_left, int& syncs_left)
        : m_writes_left(writes_left), m_syncs_left(syncs_left)
    {
    }
    bool write(std::string_view, core::error_message& error) override
    {
        error.set("no space left on device");
        return m_writes_left-- > 0;
    }
    bool sync(core::error_message& error) override
    {
        error.set("input/output error");
        return m_syncs_left-- > 0;
    }
    bool truncate(std::uint64_t, core::error_message&) override { return true; }

private:
    int& m_writes_left;
    int& m_syncs_left;
};

class failing_opener final : public file_opener {
public:
    std::unique_ptr<append_file> open(const fs::path&, core::error_message&) override
    {
        return std::make_unique<failing_file>(writes_left, syncs_left);
    }
    int writes_left = 1'000'000;
    int syncs_left = 1'000'000;
};

// Opens files that accept a limited number of bytes, like a disk that fills up during a write.
class limited_opener final : public file_opener {
public:
    std::unique_ptr<append_file> open(const fs::path& path, core::error_message& error) override
    {
        return std::make_unique<file>(m_system.open(path, error), free_bytes);
    }
    std::size_t free_bytes = 1'000'000;

private:
    class file final : public append_file {
    public:
        file(std::unique_ptr<append_file> inner, std::size_t& free_bytes)
            : m_inner(std::move(inner)), m_free_bytes(free_bytes)
        {
        }
        bool write(std::string_view bytes, core::error_message& error) override
        {
            const auto accepted = std::min(bytes.size(), m_free_bytes);
            m_free_bytes -= accepted;
            const bool written = m_inner->write(bytes.substr(0, accepted), error);
            error.set("no space left on device");
            return written && accepted == bytes.size();
        }
        bool sync(core::error_message& error) override { return m_inner->sync(error); }
        bool truncate(std::uint64_t size, core::error_message& error) override
        {
            return m_inner->truncate(size, error);
        }

    private:
        std::unique_ptr<append_file> m_inner;
        std::size_t& m_free_bytes;
    };

    system_file_opener m_system;
};

consensus::ready make_batch(std::uint64_t first, std::uint64_t count)
{
    consensus::ready work;
    work.hard = consensus::hard_state{5, 1, 3};
    for (std::uint64_t i = 0; i < count; ++i) {
        wire::log_entry_t entry;
        entry.term = 1;
        entry.index = first + i;
        entry.data = {1, 2, 3};
        work.entries.push_back(entry);
    }
    return work;
}

consensus::raft_node idle_node()
{
    return {core::replica_id{3}, {}, {}, 1, core::time_point{}};
}

} // namespace

TEST_GROUP(ReplicaStore)
{
    fs::path folder;
    system_file_opener opener;
    recovery_report report;
    core::error_message error;

    void setup() override
    {
        std::string pattern = (fs::temp_directory_path() / "siskindrift-test-XXXXXX").string();
        folder = ::mkdtemp(pattern.data());
    }
    void teardown() override
    {
        fs::remove_all(folder);
    }

    fs::path last_segment() const
    {
        fs::path last;
        for (const auto& item : fs::directory_iterator{folder}) {
            if (item.path().extension() == ".seg" && item.path() > last) {
                last = item.path();
            }
        }
        return last;
    }

    void write_two_batches()
    {
        replica_store store{folder, opener};
        CHECK_TRUE(store.open(report, error).has_value());
        const auto node = idle_node();
        CHECK_TRUE(store.persist(make_batch(1, 3), node, error));
        CHECK_TRUE(store.persist(make_batch(4, 2), node, error));
    }
};

TEST(ReplicaStore, ReturnsEverythingThatWasSynced)
{
    write_two_batches();
    const auto state = read_replica(folder, report);
    CHECK_FALSE(state.damaged);
    UNSIGNED_LONGS_EQUAL(5, state.entries.size());
    UNSIGNED_LONGS_EQUAL(3, state.hard.voted_for);
}

TEST(ReplicaStore, CutsATornTail)
{
    write_two_batches();
    fs::resize_file(last_segment(), fs::file_size(last_segment()) - 5);
    const auto state = read_replica(folder, report);
    CHECK_FALSE(state.damaged);
    UNSIGNED_LONGS_EQUAL(3, state.entries.size());
    CHECK_TRUE(report.cut_bytes > 0);
}

TEST(ReplicaStore, ReportsDamageBeforeTheTail)
{
    write_two_batches();
    {
        std::fstream file{last_segment(), std::ios::in | std::ios::out | std::ios::binary};
        file.seekp(60);
        file.put('\x5A');
        file.put('\x5A');
    }
    const auto state = read_replica(folder, report);
    CHECK_TRUE(state.damaged);
    CHECK_FALSE(report.damage.empty());
}

TEST(ReplicaStore, ReportsDamageInTheFirstRecordOfItsSegment)
{
    write_two_batches();
    {
        std::fstream file{last_segment(), std::ios::in | std::ios::out | std::ios::binary};
        file.seekp(30); // after the segment's magic and the record's header
        file.put('\x5A');
    }
    CHECK_TRUE(read_replica(folder, report).damaged);
}

TEST(ReplicaStore, WritesTheSameBatchAgainWhenAFullDiskHasRoomAgain)
{
    limited_opener limited;
    {
        replica_store store{folder, limited};
        CHECK_TRUE(store.open(report, error).has_value());
        CHECK_TRUE(store.persist(make_batch(1, 3), idle_node(), error));
        limited.free_bytes = 20; // the record is written in part
        CHECK_FALSE(store.persist(make_batch(4, 2), idle_node(), error));
        CHECK_TRUE(store.can_retry());
        limited.free_bytes = 1'000'000;
        CHECK_TRUE(store.persist(make_batch(4, 2), idle_node(), error));
        CHECK_TRUE(store.persist(make_batch(6, 1), idle_node(), error));
    }
    const auto state = read_replica(folder, report);
    CHECK_FALSE(state.damaged);
    UNSIGNED_LONGS_EQUAL(6, state.entries.size());
}

TEST(ReplicaStore, GoesOnWithItsSegmentWhenASnapshotDoesNotFitOnTheDisk)
{
    limited_opener limited;
    {
        replica_store store{folder, limited};
        CHECK_TRUE(store.open(report, error).has_value());
        CHECK_TRUE(store.persist(make_batch(1, 3), idle_node(), error));
        limited.free_bytes = 10;
        consensus::snapshot image;
        image.last_index = 3;
        CHECK_FALSE(store.store_snapshot(image, idle_node(), error));
        CHECK_TRUE(store.can_retry());
        limited.free_bytes = 1'000'000;
        CHECK_TRUE(store.persist(make_batch(4, 2), idle_node(), error));
    }
    const auto state = read_replica(folder, report);
    CHECK_FALSE(state.damaged);
    UNSIGNED_LONGS_EQUAL(2, state.entries.size()); // after the snapshot
}

TEST(ReplicaStore, DoesNotRepeatABatchAfterAFailedSync)
{
    failing_opener failing;
    replica_store store{folder, failing};
    CHECK_TRUE(store.open(report, error).has_value());
    failing.syncs_left = 0;
    CHECK_FALSE(store.persist(make_batch(1, 1), idle_node(), error));
    CHECK_FALSE(store.can_retry());
}

TEST(ReplicaStore, KeepsItsLogWhenTheDiskFillsUpInTheMiddleOfARecord)
{
    limited_opener limited;
    {
        replica_store store{folder, limited};
        CHECK_TRUE(store.open(report, error).has_value());
        CHECK_TRUE(store.persist(make_batch(1, 5), idle_node(), error));
        limited.free_bytes = 20;
        CHECK_FALSE(store.persist(make_batch(6, 1), idle_node(), error));
    }
    const auto bytes = fs::file_size(last_segment());
    for (int start = 0; start < 3; ++start) { // the disk is still almost full
        limited.free_bytes = 40;
        replica_store store{folder, limited};
        const auto state = store.open(report, error);
        CHECK_TRUE(state.has_value());
        UNSIGNED_LONGS_EQUAL(5, state->entries.size());
        CHECK_FALSE(store.persist(make_batch(6, 1), idle_node(), error));
        CHECK_TRUE(store.can_retry());
        CHECK_TRUE(fs::file_size(last_segment()) <= bytes + limited.free_bytes + 40);
    }
    limited.free_bytes = 1'000'000;
    replica_store store{folder, limited};
    const auto state = store.open(report, error);
    CHECK_TRUE(state.has_value());
    CHECK_FALSE_TEXT(state->damaged, report.damage.c_str());
    UNSIGNED_LONGS_EQUAL(5, state->entries.size());
}

// Guards against a start that takes the size of the log in memory and on the disk once more.
TEST(ReplicaStore, GoesOnWithItsLogAfterAStartWithoutWritingItAnew)
{
    write_two_batches();
    const auto segment = last_segment();
    fs::resize_file(segment, fs::file_size(segment) - 5);
    {
        replica_store store{folder, opener};
        CHECK_TRUE(store.open(report, error).has_value());
        UNSIGNED_LONGS_EQUAL(0, store.written_bytes());
        CHECK_TRUE(store.persist(make_batch(4, 3), idle_node(), error));
    }
    CHECK_TRUE(segment == last_segment());
    const auto state = read_replica(folder, report);
    CHECK_FALSE_TEXT(state.damaged, report.damage.c_str());
    UNSIGNED_LONGS_EQUAL(6, state.entries.size());
}

// A crash between the two files of a snapshot leaves a segment that ends before the snapshot.
TEST(ReplicaStore, BeginsASegmentAfterASnapshotThatIsNewerThanTheLog)
{
    write_two_batches();
    limited_opener limited;
    {
        replica_store store{folder, limited};
        CHECK_TRUE(store.open(report, error).has_value());
        limited.free_bytes = 0;
        consensus::snapshot image;
        image.last_index = 9;
        CHECK_FALSE(store.store_snapshot(image, idle_node(), error));
    }
    {
        replica_store store{folder, opener};
        CHECK_TRUE(store.open(report, error).has_value());
        CHECK_TRUE(store.persist(make_batch(10, 1), idle_node(), error));
    }
    const auto state = read_replica(folder, report);
    CHECK_FALSE_TEXT(state.damaged, report.damage.c_str());
    UNSIGNED_LONGS_EQUAL(1, state.entries.size());
}

TEST(ReplicaStore, IgnoresASegmentThatWasBegunAndNeverSynced)
{
    write_two_batches();
    std::ofstream{folder / "log-0000000000000009.seg"} << "siskindrift-log1"
                                                       << "half a record";
    const auto state = read_replica(folder, report);
    CHECK_FALSE_TEXT(state.damaged, report.damage.c_str());
    UNSIGNED_LONGS_EQUAL(5, state.entries.size());
}

TEST(ReplicaStore, ReportsDamageWhereNoSegmentHoldsAWholeLogAnyMore)
{
    write_two_batches();
    {
        replica_store store{folder, opener};
        CHECK_TRUE(store.open(report, error).has_value());
        consensus::snapshot image;
        image.last_index = 5;
        CHECK_TRUE(store.store_snapshot(image, idle_node(), error)); // removes the first segment
    }
    fs::resize_file(last_segment(), fs::file_size(last_segment()) / 2);
    CHECK_TRUE(read_replica(folder, report).damaged);
}

TEST(ReplicaStore, ReplacesEntriesThatALaterLeaderOverwrote)
{
    {
        replica_store store{folder, opener};
        store.open(report, error);
        const auto node = idle_node();
        store.persist(make_batch(1, 5), node, error);
        store.persist(make_batch(3, 1), node, error);
    }
    UNSIGNED_LONGS_EQUAL(3, read_replica(folder, report).entries.size());
}

TEST(ReplicaStore, StopsWhenTheDiskIsFull)
{
    failing_opener failing;
    replica_store store{folder, failing};
    CHECK_TRUE(store.open(report, error).has_value());
    failing.writes_left = 0;
    CHECK_FALSE(store.persist(make_batch(1, 1), idle_node(), error));
    STRCMP_EQUAL("no space left on device", error.text().c_str());
}

TEST(ReplicaStore, StopsWhenASyncFails)
{
    failing_opener failing;
    replica_store store{folder, failing};
    CHECK_TRUE(store.open(report, error).has_value());
    failing.syncs_left = 0;
    CHECK_FALSE(store.persist(make_batch(1, 1), idle_node(), error));
    STRCMP_EQUAL("input/output error", error.text().c_str());
}

TEST(ReplicaStore, RecoversFromSnapshotAndLogTogether)
{
    {
        replica_store store{folder, opener};
        store.open(report, error);
        auto node = idle_node();
        store.persist(make_batch(1, 3), node, error);
        consensus::snapshot snapshot;
        snapshot.last_index = 3;
        snapshot.last_term = 1;
        snapshot.state = "state";
        CHECK_TRUE(store.store_snapshot(snapshot, node, error));
        CHECK_TRUE(store.persist(make_batch(4, 2), node, error));
    }
    const auto state = read_replica(folder, report);
    CHECK_FALSE(state.damaged);
    STRCMP_EQUAL("state", state.base->state.c_str());
    UNSIGNED_LONGS_EQUAL(2, state.entries.size());
    UNSIGNED_LONGS_EQUAL(4, state.entries.front().index);
}

TEST(ReplicaStore, ReportsADamagedSnapshot)
{
    {
        replica_store store{folder, opener};
        store.open(report, error);
        consensus::snapshot snapshot;
        snapshot.last_index = 3;
        snapshot.state = "state";
        store.store_snapshot(snapshot, idle_node(), error);
    }
    for (const auto& item : fs::directory_iterator{folder}) {
        if (item.path().filename().string().starts_with("snapshot-")) {
            fs::resize_file(item.path(), fs::file_size(item.path()) / 2);
        }
    }
    CHECK_TRUE(read_replica(folder, report).damaged);
}

TEST(ReplicaStore, RefusesASecondProcessOnOneFolder)
{
    const auto first = data_folder::open(folder, 7, error);
    CHECK_TRUE(first.has_value());
    CHECK_FALSE(data_folder::open(folder, 8, error).has_value());
}

TEST(ReplicaStore, KeepsItsIdentityAndDrawsANewOneOnAnEmptyDisk)
{
    {
        const auto first = data_folder::open(folder, 7, error);
        UNSIGNED_LONGS_EQUAL(7, first->identity().value());
    }
    UNSIGNED_LONGS_EQUAL(7, data_folder::open(folder, 8, error)->identity().value());
    fs::remove_all(folder);
    UNSIGNED_LONGS_EQUAL(8, data_folder::open(folder, 8, error)->identity().value());
}

TEST(ReplicaStore, RefusesAFolderOfSomethingElse)
{
    std::ofstream{folder / "letters.txt"} << "not ours";
    CHECK_FALSE(data_folder::open(folder, 7, error).has_value());
}
