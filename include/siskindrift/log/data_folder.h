// One data folder: its lock, format version and identity.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "siskindrift/core/error_message.h"
#include "siskindrift/core/ids.h"

namespace siskindrift::log {

/// Holds a folder open under an exclusive lock.
class data_folder {
public:
    /// Opens or creates the folder. A new folder draws a new identity from @p fresh_identity.
    /// Refuses a folder that another process holds, that has another format, or that
    /// holds files of something else.
    static std::optional<data_folder> open(const std::filesystem::path& path,
                                           std::uint64_t fresh_identity, core::error_message& why);

    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;
    data_folder(data_folder&& other) noexcept;
    data_folder& operator=(data_folder&&) = delete;
    ~data_folder();

    [[nodiscard]] const std::filesystem::path& path() const { return m_path; }
    [[nodiscard]] core::replica_id identity() const { return m_identity; }
    /// Returns whether `open` created the folder's contents.
    [[nodiscard]] bool created() const { return m_created; }

private:
    data_folder(std::filesystem::path path, int lock) : m_path(std::move(path)), m_lock(lock) {}

    std::filesystem::path m_path;
    int m_lock = -1;
    core::replica_id m_identity;
    bool m_created = false;
};

/// Returns the bytes of a file; empty when it can't be read.
[[nodiscard]] std::string read_whole(const std::filesystem::path& path);

/// Writes a file so that it has either its old or its new content after a crash.
bool replace_file(const std::filesystem::path& path, std::string_view content,
                  core::error_message& why);

/// Syncs the entries of a folder.
bool sync_folder(const std::filesystem::path& path, core::error_message& why);

} // namespace siskindrift::log
