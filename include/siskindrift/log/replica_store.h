// Durable storage of one replica: checksummed log segments and snapshots.
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

/// A file that is only appended to.
class append_file {
public:
    append_file() = default;
    append_file(const append_file&) = delete;
    append_file& operator=(const append_file&) = delete;
    virtual ~append_file() = default;

    /// Appends all of @p bytes. Returns false with the reason on any shortfall.
    virtual bool write(std::string_view bytes, core::error_message& why) = 0;
    /// Returns once everything written is on the disk.
    virtual bool sync(core::error_message& why) = 0;
};

/// Opens append files; tests replace it to inject faults.
class file_opener {
public:
    file_opener() = default;
    file_opener(const file_opener&) = delete;
    file_opener& operator=(const file_opener&) = delete;
    virtual ~file_opener() = default;

    virtual std::unique_ptr<append_file> open(const std::filesystem::path& path,
                                              core::error_message& why) = 0;
};

/// Opens files of the operating system.
class system_file_opener final : public file_opener {
public:
    std::unique_ptr<append_file> open(const std::filesystem::path& path,
                                      core::error_message& why) override;
};

/// What reading a folder found besides the state.
struct recovery_report {
    std::uint64_t records = 0;
    std::uint64_t cut_bytes = 0; ///< Length of a torn tail that was cut.
    std::string damage;          ///< Empty, or what is damaged and where.
};

/// Reads a folder without changing it.
[[nodiscard]] consensus::recovered_state read_replica(const std::filesystem::path& folder,
                                                      recovery_report& report);

/// Writes what a `raft_node` hands out. After a failed call the replica must stop: what is
/// on the disk is unknown.
class replica_store {
public:
    replica_store(std::filesystem::path folder, file_opener& opener)
        : m_folder(std::move(folder)), m_opener(opener)
    {
    }

    /// Recovers the folder, cuts a torn tail and opens the log for writing.
    std::optional<consensus::recovered_state> open(recovery_report& report,
                                                   core::error_message& why);

    /// Writes and syncs one batch as one record.
    bool persist(const consensus::ready& work, const consensus::raft_node& node,
                 core::error_message& why);

    /// Stores a snapshot and drops the log that it covers.
    bool store_snapshot(const consensus::snapshot& made, const consensus::raft_node& node,
                        core::error_message& why);

    [[nodiscard]] std::uint64_t syncs() const { return m_syncs; }
    [[nodiscard]] std::uint64_t written_bytes() const { return m_written_bytes; }

private:
    bool write_snapshot_file(const consensus::snapshot& made, std::uint64_t cluster,
                             core::error_message& why);
    bool start_segment(const wire::log_record_t& first, core::error_message& why);
    bool write_record(const wire::log_record_t& record, core::error_message& why);
    void remove_older(std::uint64_t segment, std::uint64_t snapshot_index);

    std::filesystem::path m_folder;
    file_opener& m_opener;
    std::unique_ptr<append_file> m_file;
    std::uint64_t m_segment = 0;
    consensus::hard_state m_hard;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_written_bytes = 0;
};

} // namespace siskindrift::log
