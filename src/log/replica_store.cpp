#include "siskindrift/log/replica_store.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

#include "siskindrift/log/data_folder.h"
#include "siskindrift/log/segment_reader.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::log {
namespace {

namespace fs = std::filesystem;

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

class log_replayer {
public:
    log_replayer(consensus::recovered_state& state, recovery_report& report)
        : m_state(state), m_report(report)
    {
    }

    /// Replays the segment that contains the log. Its last record may be incomplete.
    ///
    /// Each record is synced before the next one is written, so a crash can tear only the last
    /// record of a segment. A valid record after an invalid one means that the data is damaged.
    void replay_segment(const numbered_file& file, segment_reader& reader)
    {
        while (auto payload = reader.next()) {
            auto record = wire::decode_table<wire::log_record_t>(*payload);
            payload.reset(); // the entries are copied once, however long the record is
            if (!record || !apply(*record)) {
                report_damage(file, reader.offset());
                return;
            }
            ++m_report.records;
        }
        if (!reader.at_end()) {
            if (reader.contains_record_after(reader.offset()) || reader.failed()) {
                report_damage(file, reader.offset());
            }
            m_report.cut_bytes += reader.size() - reader.offset();
        }
        m_end = {file.number, reader.offset(), !reader.at_end()};
    }

    /// Skips a segment whose first record is invalid, because the segment was never completely
    /// started. A valid record after it means that the segment is damaged instead.
    void skip_segment(const numbered_file& file, const segment_reader& reader)
    {
        if (reader.contains_record_after(0) || reader.failed()) {
            report_damage(file, 0);
        }
        m_report.cut_bytes += reader.size();
    }

    void report_damage(const numbered_file& file, std::size_t offset)
    {
        m_report.damage = file.path.string() + ": damaged at byte " + std::to_string(offset);
    }

    [[nodiscard]] std::uint64_t base_index() const { return m_base_index; }
    [[nodiscard]] const log_end& end() const { return m_end; }

private:
    bool apply(wire::log_record_t& record)
    {
        m_state.hard = {record.cluster, record.term, record.voted_for};
        if (record.reset) {
            m_state.entries.clear();
            m_base_index = record.base_index;
        }
        for (auto& entry : record.entries) {
            const auto next = m_base_index + m_state.entries.size() + 1;
            if (entry->index <= m_base_index || entry->index > next) {
                return false;
            }
            m_state.entries.resize(entry->index - m_base_index - 1);
            m_state.entries.push_back(std::move(*entry));
        }
        return true;
    }

    consensus::recovered_state& m_state;
    recovery_report& m_report;
    std::uint64_t m_base_index = 0;
    log_end m_end;
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
        segment_reader bytes{segment->path};
        if (bytes.has_valid_start()) {
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

struct recovery {
    consensus::recovered_state state;
    std::uint64_t last_index = 0; // of the log, which may end before the snapshot
    log_end end;
};

recovery recover(const fs::path& folder, recovery_report& report)
{
    recovery found;
    read_snapshot(folder, found.state, report);
    log_replayer reader{found.state, report};
    read_log(folder, reader);
    found.last_index = reader.base_index() + found.state.entries.size();
    if (report.damage.empty()) {
        discard_covered_entries(found.state, reader.base_index(), report);
    }
    found.state.damaged = !report.damage.empty();
    found.end = reader.end();
    return found;
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
    return recover(folder, report).state;
}

std::optional<consensus::recovered_state> replica_store::open(recovery_report& report,
                                                              core::error_message& error)
{
    auto found = recover(m_folder, report);
    m_hard = found.state.hard;
    if (found.state.damaged) {
        return std::move(found.state); // nothing is written, so the folder can be examined
    }
    const auto segments = list_segments(m_folder);
    m_last_segment = segments.empty() ? first_segment - 1 : segments.back().number;
    const auto& base = found.state.base;
    const auto base_index = base ? base->last_index : 0;
    // No entry can follow in a segment that ends before the snapshot.
    const bool can_continue = found.end.segment != 0 && found.last_index >= base_index;
    if (can_continue && !continue_segment(found.end, error)) {
        return std::nullopt;
    }
    if (!can_continue) {
        auto record = make_record(m_hard);
        record.reset = true;
        record.base_index = base_index;
        record.base_term = base ? base->last_term : 0;
        for (const auto& entry : found.state.entries) {
            wire::append(record.entries, entry);
        }
        if (!start_segment(record, error)) {
            return std::nullopt;
        }
    }
    remove_obsolete_files(base_index);
    return std::move(found.state);
}

// Writing the log anew would need its size in memory several times, and on the disk once more.
bool replica_store::continue_segment(const log_end& end, core::error_message& error)
{
    m_file = m_opener.open(segment_path(end.segment), error);
    if (!m_file || (end.torn && (!m_file->truncate(end.offset, error) || !sync(*m_file, error)))) {
        return false;
    }
    m_segment = end.segment;
    m_segment_bytes = end.offset;
    return true;
}

fs::path replica_store::segment_path(std::uint64_t number) const
{
    return m_folder / make_numbered_name("log-", number, ".seg");
}

// The previous segment stays in use if the new one can't be written.
bool replica_store::start_segment(const wire::log_record_t& first, core::error_message& error)
{
    const auto number = ++m_last_segment; // never that of a file that could not be removed
    const auto path = segment_path(number);
    const auto bytes = encode_record(wire::encode_table(first), segment_magic);
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
    m_segment = number;
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
    remove_obsolete_files(snapshot.last_index);
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

void replica_store::remove_obsolete_files(std::uint64_t snapshot_index)
{
    std::error_code ignored;
    for (const auto& file : list_segments(m_folder)) {
        if (file.number != m_segment) {
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
