// A data folder with its lock, format version and identity, and durable writes of small files.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "siskindrift/core/error_message.h"
#include "siskindrift/core/ids.h"

namespace siskindrift::log {

/// An open data folder. Holds an exclusive lock on it until destruction.
class data_folder {
public:
    /// Opens a data folder, or sets one up when it doesn't exist or is empty.
    ///
    /// @param path the folder
    /// @param new_identity identity that a new folder gets; must not be 0
    /// @param error receives the error message
    /// @returns no value when the folder can't be read or written, is locked by another process,
    ///     has another format version, or contains files but isn't a data folder
    static std::optional<data_folder> open(const std::filesystem::path& path,
                                           std::uint64_t new_identity, core::error_message& error);

    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;
    data_folder(data_folder&& other) noexcept;
    data_folder& operator=(data_folder&&) = delete;
    ~data_folder();

    [[nodiscard]] const std::filesystem::path& path() const { return m_path; }
    [[nodiscard]] core::replica_id identity() const { return m_identity; }
    /// Returns whether `open` set up a new data folder.
    [[nodiscard]] bool created() const { return m_created; }

private:
    data_folder(std::filesystem::path path, int lock) : m_path(std::move(path)), m_lock(lock) {}

    std::filesystem::path m_path;
    int m_lock = -1; ///< File descriptor that holds the lock, or -1 after a move.
    core::replica_id m_identity;
    bool m_created = false;
};

/// Returns the content of a file, or an empty string when it can't be read.
[[nodiscard]] std::string read_file(const std::filesystem::path& path);

/// Replaces a file atomically and durably: after a crash it has either its old or its new content.
///
/// @param path the file
/// @param content the new content
/// @param error receives the error message
/// @returns false when a step failed
bool replace_file(const std::filesystem::path& path, std::string_view content,
                  core::error_message& error);

/// Syncs a folder, which makes the creation, renaming and removal of its files durable.
///
/// @param path the folder
/// @param error receives the error message
/// @returns false when the sync failed
bool sync_folder(const std::filesystem::path& path, core::error_message& error);

} // namespace siskindrift::log
