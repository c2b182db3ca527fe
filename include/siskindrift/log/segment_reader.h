// Reads the records of a log segment one at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

namespace siskindrift::log {

/// The first bytes of each segment.
inline constexpr std::string_view segment_magic = "siskindrift-log1";
/// Layout of a record's header: 4 bytes payload length, 8 bytes checksum; little-endian.
inline constexpr std::size_t record_header_bytes = 12;
inline constexpr std::size_t max_record_bytes = 256 * 1024 * 1024;

/// Returns @p prefix followed by the record with @p payload.
[[nodiscard]] std::string encode_record(std::string_view payload, std::string_view prefix = {});

/// Returns the payload of the record at the start of @p bytes, or no value when the record is
/// incomplete or its checksum doesn't match.
[[nodiscard]] std::optional<std::string_view> decode_record(std::string_view bytes);

/// Reads a segment with the memory of one record, whatever the length of the segment.
class segment_reader {
public:
    /// Opens the segment at @p path.
    explicit segment_reader(const std::filesystem::path& path);
    segment_reader(const segment_reader&) = delete;
    segment_reader& operator=(const segment_reader&) = delete;
    ~segment_reader();

    /// Returns whether the segment begins with its magic and a valid record.
    [[nodiscard]] bool has_valid_start() const;

    /// Reads the next record.
    ///
    /// @returns its payload, or no value at the end of the segment or of its valid records
    std::optional<std::string> next();

    /// Returns whether all bytes have been read.
    [[nodiscard]] bool at_end() const { return m_offset == m_size; }
    /// Returns whether a part of the segment could not be read, which then seems to end early.
    [[nodiscard]] bool failed() const { return m_failed; }
    /// Returns the offset behind the last record that was read, in bytes.
    [[nodiscard]] std::uint64_t offset() const { return m_offset; }
    /// Returns the length of the segment, in bytes.
    [[nodiscard]] std::uint64_t size() const { return m_size; }

    /// Returns whether a valid record starts anywhere after the byte at @p offset.
    [[nodiscard]] bool contains_record_after(std::uint64_t offset) const;

private:
    struct record_header {
        std::uint32_t length = 0;
        std::uint64_t checksum = 0;
    };

    /// Reads up to @p size bytes at @p offset; fewer at the end of the file or after an error.
    std::size_t read_at(std::uint64_t offset, char* to, std::size_t size) const;
    [[nodiscard]] static record_header parse_header(const char* bytes);
    [[nodiscard]] bool fits(const record_header& header, std::uint64_t offset) const;
    [[nodiscard]] bool checksum_matches(const record_header& header, std::uint64_t offset) const;

    int m_file = -1;
    std::uint64_t m_size = 0;
    std::uint64_t m_offset = 0;
    mutable bool m_failed = false;
};

} // namespace siskindrift::log
