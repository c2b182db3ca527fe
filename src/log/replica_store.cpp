#include "siskindrift/log/replica_store.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include "siskindrift/log/data_folder.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::log {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view segment_magic = "siskindrift-log1";
constexpr std::size_t record_header_bytes = 12; // 4 bytes length, 8 bytes checksum
constexpr std::size_t max_record_bytes = 256 * 1024 * 1024;
constexpr mode_t file_mode = 0640;
constexpr std::uint64_t first_segment = 1;

struct numbered_file {
    std::uint64_t number = 0;
    fs::path path;
};

std::string make_numbered_name(std::string_view prefix, std::uint64_t number,
                               std::string_view suffix)
{
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(number));
    return std::string{prefix} + digits.data() + std::string{suffix};
}

std::vector<numbered_file> list_numbered_files(const fs::path& folder, std::string_view prefix,
                                               std::string_view suffix)
{
    std::vector<numbered_file> files;
    for (const auto& item : fs::directory_iterator{folder}) {
        const auto name = item.path().filename().string();
        if (name.starts_with(prefix) && name.ends_with(suffix) && !name.ends_with(".tmp")) {
            const auto digits = name.substr(prefix.size());
            files.push_back({std::strtoull(digits.c_str(), nullptr, 16), item.path()});
        }
    }
    std::sort(files.begin(), files.end(),
              [](const auto& a, const auto& b) { return a.number < b.number; });
    return files;
}

std::vector<numbered_file> list_segments(const fs::path& folder)
{
    return list_numbered_files(folder, "log-", ".seg");
}

std::vector<numbered_file> list_snapshots(const fs::path& folder)
{
    return list_numbered_files(folder, "snapshot-", "");
}

std::string encode_record(std::string_view payload)
{
    const auto length = static_cast<std::uint32_t>(payload.size());
    const std::uint64_t checksum = XXH3_64bits_withSeed(payload.data(), payload.size(), length);
    std::string record(record_header_bytes, '\0');
    std::memcpy(record.data(), &length, sizeof length);
    std::memcpy(record.data() + sizeof length, &checksum, sizeof checksum);
    record += payload;
    return record;
}

// Returns the payload of the record at the start of `bytes`, or no value when the record is
// incomplete or its checksum doesn't match.
std::optional<std::string_view> decode_record(std::string_view bytes)
{
    if (bytes.size() < record_header_bytes) {
        return std::nullopt;
    }
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
    std::memcpy(&length, bytes.data(), sizeof length);
    std::memcpy(&checksum, bytes.data() + sizeof length, sizeof checksum);
    const auto rest = bytes.substr(record_header_bytes);
    if (length == 0 || length > max_record_bytes || length > rest.size()) {
        return std::nullopt;
    }
    const auto payload = rest.substr(0, length);
    if (XXH3_64bits_withSeed(payload.data(), payload.size(), length) != checksum) {
        return std::nullopt;
    }
    return payload;
}

// Returns whether a valid record starts anywhere after the first byte. Each record is synced before
// the next one is written, so a crash can tear only the last record of a segment. A valid record
// after an invalid one therefore means that the data is damaged.
bool contains_valid_record(std::string_view bytes)
{
    for (std::size_t offset = 1; offset + record_header_bytes < bytes.size(); ++offset) {
        if (decode_record(bytes.substr(offset))) {
            return true;
        }
    }
    return false;
}

bool has_valid_first_record(std::string_view segment)
{
    return segment.starts_with(segment_magic) &&
           decode_record(segment.substr(segment_magic.size()));
}

class log_replayer {
public:
    log_replayer(consensus::recovered_state& state, recovery_report& report)
        : m_state(state), m_report(report)
    {
    }

    /// Replays the segment that contains the log. Its last record may be incomplete.
    void replay_segment(const numbered_file& file, std::string_view bytes)
    {
        auto rest = bytes.substr(segment_magic.size());
        while (!rest.empty() && m_report.damage.empty()) {
            const auto payload = decode_record(rest);
            if (!payload) {
                if (contains_valid_record(rest)) {
                    report_damage(file, bytes.size() - rest.size());
                }
                m_report.cut_bytes += rest.size();
                return;
            }
            rest.remove_prefix(record_header_bytes + payload->size());
            const auto record = wire::decode_table<wire::log_record_t>(std::string{*payload});
            if (!record || !apply(*record)) {
                report_damage(file, bytes.size() - rest.size());
            }
            ++m_report.records;
        }
    }

    /// Skips a segment whose first record is invalid, because the segment was never completely
    /// started. A valid record after it means that the segment is damaged instead.
    void skip_segment(const numbered_file& file, std::string_view bytes)
    {
        if (contains_valid_record(bytes)) {
            report_damage(file, 0);
        }
        m_report.cut_bytes += bytes.size();
    }

    void report_damage(const numbered_file& file, std::size_t offset)
    {
        m_report.damage = file.path.string() + ": damaged at byte " + std::to_string(offset);
    }

    [[nodiscard]] std::uint64_t base_index() const { return m_base_index; }

private:
    bool apply(const wire::log_record_t& record)
    {
        m_state.hard = {record.cluster, record.term, record.voted_for};
        if (record.reset) {
            m_state.entries.clear();
            m_base_index = record.base_index;
        }
        for (const auto& entry : record.entries) {
            const auto next = m_base_index + m_state.entries.size() + 1;
            if (entry->index <= m_base_index || entry->index > next) {
                return false;
            }
            m_state.entries.resize(entry->index - m_base_index - 1);
            m_state.entries.push_back(*entry);
        }
        return true;
    }

    consensus::recovered_state& m_state;
    recovery_report& m_report;
    std::uint64_t m_base_index = 0;
};

void read_snapshot(const fs::path& folder, consensus::recovered_state& state,
                   recovery_report& report)
{
    const auto files = list_snapshots(folder);
    if (files.empty()) {
        return;
    }
    const auto bytes = read_file(files.back().path);
    const auto payload = decode_record(bytes);
    const auto image =
        payload ? wire::decode_table<wire::snapshot_file_t>(std::string{*payload}) : std::nullopt;
    if (!image) {
        report.damage = files.back().path.string() + ": damaged snapshot";
        return;
    }
    consensus::snapshot base;
    base.last_index = image->last_index;
    base.last_term = image->last_term;
    for (const auto& info : image->members) {
        base.members.push_back(*info);
    }
    base.state.assign(image->state.begin(), image->state.end());
    state.base = std::move(base);
}

// Drops the entries that the snapshot covers. A gap between the snapshot and the log is damage.
void discard_covered_entries(consensus::recovered_state& state, std::uint64_t log_base,
                             recovery_report& report)
{
    const auto covered = state.base ? state.base->last_index : 0;
    if (log_base > covered) {
        report.damage = "the log begins after entry " + std::to_string(log_base) +
                        " but the snapshot ends at " + std::to_string(covered);
        return;
    }
    const auto drop = std::min<std::size_t>(covered - log_base, state.entries.size());
    state.entries.erase(state.entries.begin(),
                        state.entries.begin() + static_cast<std::ptrdiff_t>(drop));
}

class system_append_file final : public append_file {
public:
    explicit system_append_file(int file) : m_file(file) {}
    ~system_append_file() override { ::close(m_file); }

    bool write(std::string_view bytes, core::error_message& error) override
    {
        while (!bytes.empty()) {
            const auto written = ::write(m_file, bytes.data(), bytes.size());
            if (written < 0) {
                error.set(std::string{"can't write the log: "} + std::strerror(errno));
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    bool sync(core::error_message& error) override
    {
        if (::fdatasync(m_file) != 0) {
            error.set(std::string{"can't sync the log: "} + std::strerror(errno));
            return false;
        }
        return true;
    }

    bool truncate(std::uint64_t size, core::error_message& error) override
    {
        if (::ftruncate(m_file, static_cast<off_t>(size)) != 0) {
            error.set(std::string{"can't truncate the log: "} + std::strerror(errno));
            return false;
        }
        return true;
    }

private:
    int m_file;
};

// The first record of a segment contains the whole state of the log so far, and older segments are
// removed once that record is synced. The newest segment with a valid first record therefore
// contains the log.
void read_log(const fs::path& folder, log_replayer& reader)
{
    const auto segments = list_segments(folder);
    for (auto segment = segments.rbegin(); segment != segments.rend(); ++segment) {
        const auto bytes = read_file(segment->path);
        if (has_valid_first_record(bytes)) {
            reader.replay_segment(*segment, bytes);
            return;
        }
        reader.skip_segment(*segment, bytes);
    }
    if (!segments.empty() && segments.front().number > first_segment) {
        // This segment replaced older ones, so its first record was once complete.
        reader.report_damage(segments.front(), 0);
    }
}

wire::log_record_t make_record(const consensus::hard_state& hard)
{
    wire::log_record_t record;
    record.cluster = hard.cluster;
    record.term = hard.term;
    record.voted_for = hard.voted_for;
    return record;
}

} // namespace

std::unique_ptr<append_file> system_file_opener::open(const fs::path& path,
                                                      core::error_message& error)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (file < 0) {
        error.set(path.string() + ": " + std::strerror(errno));
        return nullptr;
    }
    return std::make_unique<system_append_file>(file);
}

consensus::recovered_state read_replica(const fs::path& folder, recovery_report& report)
{
    consensus::recovered_state state;
    read_snapshot(folder, state, report);
    log_replayer reader{state, report};
    read_log(folder, reader);
    if (report.damage.empty()) {
        discard_covered_entries(state, reader.base_index(), report);
    }
    state.damaged = !report.damage.empty();
    return state;
}

std::optional<consensus::recovered_state> replica_store::open(recovery_report& report,
                                                              core::error_message& error)
{
    auto state = read_replica(m_folder, report);
    m_hard = state.hard;
    if (state.damaged) {
        return state; // nothing is written, so the folder can be examined
    }
    const auto segments = list_segments(m_folder);
    m_segment = segments.empty() ? first_segment - 1 : segments.back().number;
    auto record = make_record(m_hard);
    record.reset = true;
    record.base_index = state.base ? state.base->last_index : 0;
    record.base_term = state.base ? state.base->last_term : 0;
    for (const auto& entry : state.entries) {
        wire::append(record.entries, entry);
    }
    // The new segment doesn't contain an incomplete record at the end of the old one.
    if (!start_segment(record, error)) {
        return std::nullopt;
    }
    remove_obsolete_files(m_segment, record.base_index);
    return state;
}

// The previous segment stays in use if the new one can't be written.
bool replica_store::start_segment(const wire::log_record_t& first, core::error_message& error)
{
    const auto path = m_folder / make_numbered_name("log-", m_segment + 1, ".seg");
    const auto bytes = std::string{segment_magic} + encode_record(wire::encode_table(first));
    auto file = m_opener.open(path, error);
    bool started = file && file->write(bytes, error);
    if (started) {
        started = sync(*file, error) && sync_folder(m_folder, error);
        m_sync_failed = m_sync_failed || !started;
    }
    if (!started) {
        std::error_code ignored; // if the file remains, it is skipped when the log is read
        fs::remove(path, ignored);
        return false;
    }
    ++m_segment;
    m_file = std::move(file);
    m_segment_bytes = bytes.size();
    m_has_incomplete_record = false;
    ++m_syncs;
    m_written_bytes += bytes.size() - segment_magic.size();
    return true;
}

bool replica_store::sync(append_file& file, core::error_message& error)
{
    m_sync_failed = m_sync_failed || !file.sync(error);
    return !m_sync_failed;
}

bool replica_store::write_record(const wire::log_record_t& record, core::error_message& error)
{
    if (m_has_incomplete_record && !m_file->truncate(m_segment_bytes, error)) {
        return false;
    }
    m_has_incomplete_record = false;
    const auto encoded = encode_record(wire::encode_table(record));
    if (!m_file->write(encoded, error)) {
        m_has_incomplete_record = true;
        return false;
    }
    if (!sync(*m_file, error)) {
        return false;
    }
    m_segment_bytes += encoded.size();
    ++m_syncs;
    m_written_bytes += encoded.size();
    return true;
}

bool replica_store::persist(const consensus::ready& work, const consensus::raft_node& node,
                            core::error_message& error)
{
    if (work.hard) {
        m_hard = *work.hard;
    }
    if (work.installed_snapshot) {
        return store_snapshot(*work.installed_snapshot, node, error);
    }
    if (!work.must_write()) {
        return true;
    }
    auto record = make_record(m_hard);
    for (const auto& entry : work.entries) {
        wire::append(record.entries, entry);
    }
    return write_record(record, error);
}

bool replica_store::store_snapshot(const consensus::snapshot& snapshot,
                                   const consensus::raft_node& node, core::error_message& error)
{
    if (!write_snapshot_file(snapshot, m_hard.cluster, error)) {
        return false;
    }
    auto record = make_record(m_hard);
    record.reset = true;
    record.base_index = snapshot.last_index;
    record.base_term = snapshot.last_term;
    for (auto index = snapshot.last_index + 1; index <= node.log().last_index(); ++index) {
        wire::append(record.entries, node.log().at(index));
    }
    if (!start_segment(record, error)) {
        return false;
    }
    remove_obsolete_files(m_segment, snapshot.last_index);
    return true;
}

bool replica_store::write_snapshot_file(const consensus::snapshot& snapshot, std::uint64_t cluster,
                                        core::error_message& error)
{
    wire::snapshot_file_t image;
    image.cluster = cluster;
    image.last_index = snapshot.last_index;
    image.last_term = snapshot.last_term;
    for (const auto& info : snapshot.members) {
        wire::append(image.members, info);
    }
    image.state.assign(snapshot.state.begin(), snapshot.state.end());
    const auto path = m_folder / make_numbered_name("snapshot-", snapshot.last_index, "");
    ++m_syncs;
    return replace_file(path, encode_record(wire::encode_table(image)), error);
}

void replica_store::remove_obsolete_files(std::uint64_t segment, std::uint64_t snapshot_index)
{
    std::error_code ignored;
    for (const auto& file : list_segments(m_folder)) {
        if (file.number < segment) {
            fs::remove(file.path, ignored);
        }
    }
    for (const auto& file : list_snapshots(m_folder)) {
        if (file.number < snapshot_index) {
            fs::remove(file.path, ignored);
        }
    }
}

} // namespace siskindrift::log
