// Persistent storage of a control replica.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/control/control_core.h"
#include "siskindrift/log/data_folder.h"
#include "siskindrift/log/replica_store.h"

namespace siskindrift::apps {

/// Result of one cycle of a replica.
enum class storage_result : std::uint8_t {
    done,
    disk_full, ///< Nothing was written; the next cycle tries again.
    failed,    ///< The contents of the disk are unknown.
};

/// The data folder of a control replica, locked by this process, and the store in it.
class replica_storage {
public:
    /// Opens and locks the data folder at @p path and recovers the state in it. Logs the result.
    /// @param state receives the recovered state.
    /// @param max_segment_bytes length of the log on the disk from which on it is compacted, even
    ///     if few of its entries are in force: votes and replaced entries take space as well.
    /// @param time clock of the process; must outlive the returned object.
    /// @return null if the folder or the store can't be opened; the reason is logged.
    static std::unique_ptr<replica_storage> open(const std::string& path,
                                                 std::optional<consensus::recovered_state>& state,
                                                 std::uint64_t max_segment_bytes,
                                                 const core::clock& time);

    /// Returns the id of this replica, which is stored in the data folder.
    [[nodiscard]] core::replica_id identity() const { return m_folder.identity(); }

    /// Sends consensus messages to the other replicas.
    using send_function = std::function<void(const std::vector<consensus::outgoing_message>&)>;

    /// Runs one cycle of @p core: sends the messages that need not wait for the disk, persists the
    /// state, sends the other messages, applies committed entries and stores a snapshot if one is
    /// due. While the disk is full, nothing is acknowledged or applied, as if the disk were slow.
    /// A snapshot that finds no room is stored later. Failures are logged.
    storage_result run_cycle(control::control_core& core, const send_function& send);
    /// Returns whether work waits for room on the disk.
    [[nodiscard]] bool disk_full() const { return m_unwritten.has_value(); }

private:
    replica_storage(log::data_folder folder, std::uint64_t max_segment_bytes,
                    const core::clock& time)
        : m_clock(time), m_folder(std::move(folder)), m_store(m_folder.path(), m_opener),
          m_max_segment_bytes(max_segment_bytes)
    {
    }

    /// Stores @p snapshot, or keeps it for another try.
    ///
    /// @returns false when the contents of the disk are unknown
    bool store_snapshot(std::shared_ptr<const consensus::snapshot> snapshot,
                        const consensus::raft_node& node);
    bool retry_snapshot(const consensus::raft_node& node);

    const core::clock& m_clock;
    log::data_folder m_folder;
    log::system_file_opener m_opener;
    log::replica_store m_store;
    std::uint64_t m_max_segment_bytes;
    std::optional<consensus::ready> m_unwritten; ///< Waits for room on the disk.
    /// Snapshot that waits for room on the disk; the log holds what it covers.
    std::shared_ptr<const consensus::snapshot> m_unstored;
    core::time_point m_snapshot_retry_at{};
};

} // namespace siskindrift::apps
