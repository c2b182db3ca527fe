#include "siskindrift/log/segment_reader.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <memory>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace siskindrift::log {
namespace {

constexpr std::size_t block_bytes = 64UL * 1024;

} // namespace

std::string encode_record(std::string_view payload, std::string_view prefix)
{
    const auto length = static_cast<std::uint32_t>(payload.size());
    const std::uint64_t checksum = XXH3_64bits_withSeed(payload.data(), payload.size(), length);
    std::string record;
    record.reserve(prefix.size() + record_header_bytes + payload.size());
    record += prefix;
    record.append(reinterpret_cast<const char*>(&length), sizeof length);
    record.append(reinterpret_cast<const char*>(&checksum), sizeof checksum);
    record += payload;
    return record;
}

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

segment_reader::segment_reader(const std::filesystem::path& path)
    : m_file(::open(path.c_str(), O_RDONLY | O_CLOEXEC))
{
    struct stat status {};
    m_failed = m_file < 0 || ::fstat(m_file, &status) != 0;
    if (!m_failed) {
        m_size = static_cast<std::uint64_t>(status.st_size);
    }
}

segment_reader::~segment_reader()
{
    if (m_file >= 0) {
        ::close(m_file);
    }
}

std::size_t segment_reader::read_at(std::uint64_t offset, char* to, std::size_t size) const
{
    std::size_t done = 0;
    while (done < size) {
        const auto got = ::pread(m_file, to + done, size - done, static_cast<off_t>(offset + done));
        if (got < 0 && errno == EINTR) {
            continue;
        }
        m_failed = m_failed || got < 0;
        if (got <= 0) {
            break;
        }
        done += static_cast<std::size_t>(got);
    }
    return done;
}

segment_reader::record_header segment_reader::parse_header(const char* bytes)
{
    record_header header;
    std::memcpy(&header.length, bytes, sizeof header.length);
    std::memcpy(&header.checksum, bytes + sizeof header.length, sizeof header.checksum);
    return header;
}

bool segment_reader::fits(const record_header& header, std::uint64_t offset) const
{
    return header.length != 0 && header.length <= max_record_bytes &&
           header.length + record_header_bytes <= m_size - offset;
}

bool segment_reader::checksum_matches(const record_header& header, std::uint64_t offset) const
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state{XXH3_createState(),
                                                                         &XXH3_freeState};
    XXH3_64bits_reset_withSeed(state.get(), header.length);
    std::array<char, block_bytes> block{};
    std::uint64_t at = offset + record_header_bytes;
    for (std::size_t left = header.length; left > 0;) {
        const auto got = read_at(at, block.data(), std::min(left, block.size()));
        if (got == 0) {
            return false;
        }
        XXH3_64bits_update(state.get(), block.data(), got);
        left -= got;
        at += got;
    }
    return XXH3_64bits_digest(state.get()) == header.checksum;
}

bool segment_reader::has_valid_start() const
{
    constexpr auto start_bytes = segment_magic.size() + record_header_bytes;
    std::array<char, start_bytes> start{};
    if (read_at(0, start.data(), start.size()) < start.size() ||
        !std::string_view{start.data(), start.size()}.starts_with(segment_magic)) {
        return false;
    }
    const auto header = parse_header(start.data() + segment_magic.size());
    return fits(header, segment_magic.size()) && checksum_matches(header, segment_magic.size());
}

std::optional<std::string> segment_reader::next()
{
    m_offset = std::max<std::uint64_t>(m_offset, segment_magic.size());
    std::array<char, record_header_bytes> bytes{};
    if (read_at(m_offset, bytes.data(), bytes.size()) < bytes.size()) {
        return std::nullopt;
    }
    const auto header = parse_header(bytes.data());
    if (!fits(header, m_offset)) {
        return std::nullopt;
    }
    std::string payload(header.length, '\0');
    const auto got = read_at(m_offset + record_header_bytes, payload.data(), payload.size());
    if (got < payload.size() ||
        XXH3_64bits_withSeed(payload.data(), payload.size(), header.length) != header.checksum) {
        return std::nullopt;
    }
    m_offset += record_header_bytes + payload.size();
    return payload;
}

bool segment_reader::contains_record_after(std::uint64_t offset) const
{
    std::string block(block_bytes, '\0');
    for (auto start = offset + 1; start + record_header_bytes < m_size;) {
        const auto got = read_at(start, block.data(), block.size());
        if (got < record_header_bytes) {
            return false;
        }
        const auto candidates = got - record_header_bytes + 1;
        for (std::size_t i = 0; i < candidates; ++i) {
            const auto header = parse_header(block.data() + i);
            if (fits(header, start + i) && checksum_matches(header, start + i)) {
                return true;
            }
        }
        start += candidates;
    }
    return false;
}

} // namespace siskindrift::log
