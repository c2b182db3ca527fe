#include "siskindrift/log/data_folder.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace siskindrift::log {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view format_text = "siskindrift-data 1\n";
constexpr mode_t file_mode = 0640;

std::string describe_error(const fs::path& path, std::string_view what)
{
    return path.string() + ": " + std::string{what} + ": " + std::strerror(errno);
}

// Returns whether the folder contains no other files than those of an interrupted setup.
bool contains_only_setup_files(const fs::path& folder)
{
    for (const auto& item : fs::directory_iterator{folder}) {
        const auto name = item.path().filename().string();
        if (name != "LOCK" && name != "IDENTITY" && !name.ends_with(".tmp")) {
            return false;
        }
    }
    return true;
}

bool write_all(int file, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto written = ::write(file, bytes.data(), bytes.size());
        if (written < 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace

std::string read_file(const fs::path& path)
{
    std::ifstream file{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

bool sync_folder(const fs::path& path, core::error_message& error)
{
    const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = folder >= 0 && ::fsync(folder) == 0;
    if (!synced) {
        error.set(describe_error(path, "can't sync the folder"));
    }
    if (folder >= 0) {
        ::close(folder);
    }
    return synced;
}

bool replace_file(const fs::path& path, std::string_view content, core::error_message& error)
{
    const auto temporary = path.string() + ".tmp";
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
    if (file < 0) {
        error.set(describe_error(temporary, "can't create"));
        return false;
    }
    const bool written = write_all(file, content) && ::fsync(file) == 0;
    if (!written) {
        error.set(describe_error(temporary, "can't write"));
    }
    ::close(file);
    if (!written) {
        return false;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        error.set(describe_error(path, "can't rename into place"));
        return false;
    }
    return sync_folder(path.parent_path(), error);
}

std::optional<data_folder> data_folder::open(const fs::path& path, std::uint64_t new_identity,
                                             core::error_message& error)
{
    std::error_code code;
    fs::create_directories(path, code);
    const auto lock_path = path / "LOCK";
    const int lock = ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (lock < 0) {
        error.set(describe_error(lock_path, "can't open"));
        return std::nullopt;
    }
    data_folder folder{path, lock};
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        error.set(path.string() + ": the data folder is locked by another process");
        return std::nullopt;
    }
    const auto format = read_file(path / "FORMAT");
    if (format.empty()) {
        if (!contains_only_setup_files(path)) {
            error.set(path.string() + ": not a data folder: it contains files but no FORMAT file");
            return std::nullopt;
        }
        const bool written =
            replace_file(path / "IDENTITY", std::to_string(new_identity) + "\n", error) &&
            replace_file(path / "FORMAT", format_text, error);
        if (!written) {
            return std::nullopt;
        }
        folder.m_created = true;
    }
    else if (format != format_text) {
        error.set(path.string() + ": unknown format version: " + format);
        return std::nullopt;
    }
    const auto identity = read_file(path / "IDENTITY");
    folder.m_identity = core::replica_id{std::strtoull(identity.c_str(), nullptr, 10)};
    if (folder.m_identity.value() == 0) {
        error.set((path / "IDENTITY").string() + ": no valid identity");
        return std::nullopt;
    }
    return folder;
}

data_folder::data_folder(data_folder&& other) noexcept
    : m_path(std::move(other.m_path)), m_lock(std::exchange(other.m_lock, -1)),
      m_identity(other.m_identity), m_created(other.m_created)
{
}

data_folder::~data_folder()
{
    if (m_lock >= 0) {
        ::close(m_lock);
    }
}

} // namespace siskindrift::log
