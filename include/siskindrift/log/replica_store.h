// Durable storage of a replica: log segments of checksummed records, and snapshots.
#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskindrift/consensus/raft_node.h"
#include "siskindrift/core/error_message.h"

namespace siskindrift::log {

/// A file that is written only by appending.
class append_file {
public:
    append_file() = default;
    append_file(const append_file&) = delete;
    append_file& operator=(const append_file&) = delete;
    virtual ~append_file() = default;

    /// Appends @p bytes.
    ///
    /// @returns false, with the error message in @p error, when not all of them were written
    virtual bool write(std::string_view bytes, core::error_message& error) = 0;

    /// Syncs everything that was written to the disk.
    ///
    /// @returns false, with the error message in @p error, when the sync failed
    virtual bool sync(core::error_message& error) = 0;

    /// Removes everything after the first @p size bytes.
    ///
    /// @returns false, with the error message in @p error, when that failed
    virtual bool truncate(std::uint64_t size, core::error_message& error) = 0;
};

/// Opens append-only files. Tests replace it to inject faults.
class file_opener {
public:
    file_opener() = default;
    file_opener(const file_opener&) = delete;
    file_opener& operator=(const file_opener&) = delete;
    virtual ~file_opener() = default;

    /// Opens or creates the file at @p path.
    ///
    /// @returns null, with the error message in @p error, when that failed
    virtual std::unique_ptr<append_file> open(const std::filesystem::path& path,
                                              core::error_message& error) = 0;
};

/// Opens files of the file system.
class system_file_opener final : public file_opener {
public:
    std::unique_ptr<append_file> open(const std::filesystem::path& path,
                                      core::error_message& error) override;
};

/// Statistics and errors of reading a folder.
struct recovery_report {
    std::uint64_t records = 0;   ///< Log records that were replayed.
    std::uint64_t cut_bytes = 0; ///< Length of incomplete records and segments that were ignored.
    std::string damage;          ///< What is damaged and where; empty if nothing is.
};

/// Reads the state of a replica without changing the folder.
///
/// @param folder the data folder of the replica
/// @param report receives statistics and the description of any damage
/// @returns the recovered state, which is marked as damaged when @p report describes damage
[[nodiscard]] consensus::recovered_state read_replica(const std::filesystem::path& folder,
                                                      recovery_report& report);

/// Where the valid records of a log end.
struct log_end {
    std::uint64_t segment = 0; ///< Number of the segment, or 0 if none contains the log.
    std::uint64_t offset = 0;  ///< Bytes of the segment's valid records.
    bool torn = false;         ///< An incomplete record follows.
};

/// Writes the state of a `raft_node` to its data folder. After a failed call the process must stop,
/// because the content of the disk is unknown, unless `can_retry` returns true. Not thread-safe.
class replica_store {
public:
    replica_store(std::filesystem::path folder, file_opener& opener)
        : m_folder(std::move(folder)), m_opener(opener)
    {
    }

    /// Recovers the state and opens the log for writing, which needs no free space on the disk
    /// unless the log is empty or a snapshot was stored without its segment. An incomplete record
    /// at the end of the log is dropped.
    ///
    /// @param report receives statistics and the description of any damage
    /// @param error receives the error message
    /// @returns the recovered state, or no value when the folder can't be written. When the state
    ///     is damaged, nothing is written and the store must not be used.
    std::optional<consensus::recovered_state> open(recovery_report& report,
                                                   core::error_message& error);

    /// Writes and syncs the batch @p work of @p node as one record.
    ///
    /// @returns false, with the error message in @p error, when that failed
    bool persist(const consensus::ready& work, const consensus::raft_node& node,
                 core::error_message& error);

    /// Writes and syncs a snapshot, starts a segment with the entries of @p node that follow it,
    /// and removes older snapshots and segments.
    ///
    /// @returns false, with the error message in @p error, when that failed
    bool store_snapshot(const consensus::snapshot& snapshot, const consensus::raft_node& node,
                        core::error_message& error);

    /// Returns whether a call that failed may be repeated: nothing was written, for example because
    /// the disk is full. A call that failed while syncing may not.
    [[nodiscard]] bool can_retry() const { return !m_sync_failed; }

    /// Returns the number of records and snapshots that were synced since construction.
    [[nodiscard]] std::uint64_t syncs() const { return m_syncs; }
    /// Returns the length of the segment that is written, in bytes.
    [[nodiscard]] std::uint64_t segment_bytes() const { return m_segment_bytes; }
    /// Returns the number of bytes of log records that were synced since construction.
    [[nodiscard]] std::uint64_t written_bytes() const { return m_written_bytes; }

private:
    bool write_snapshot_file(const consensus::snapshot& snapshot, std::uint64_t cluster,
                             core::error_message& error);
    bool start_segment(const wire::log_record_t& first, core::error_message& error);
    bool continue_segment(const log_end& end, core::error_message& error);
    [[nodiscard]] std::filesystem::path segment_path(std::uint64_t number) const;
    bool write_record(const wire::log_record_t& record, core::error_message& error);
    bool sync(append_file& file, core::error_message& error);
    void remove_obsolete_files(std::uint64_t snapshot_index);

    std::filesystem::path m_folder;
    file_opener& m_opener;
    std::unique_ptr<append_file> m_file;
    std::uint64_t m_segment = 0;          ///< Number of the segment that is written.
    std::uint64_t m_last_segment = 0;     ///< Highest number that was ever used.
    std::uint64_t m_segment_bytes = 0;    ///< Length of the complete records of the segment.
    bool m_has_incomplete_record = false; ///< A write failed; its bytes must be removed.
    bool m_sync_failed = false;
    consensus::hard_state m_hard;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_written_bytes = 0;
};

} // namespace siskindrift::log
