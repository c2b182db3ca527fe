// Frames of the protocol between the system's own processes: a fixed header, then one FlatBuffers
// envelope.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskindrift/core/verdict.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::wire {

/// Version in the header of each frame; frames of another version are rejected.
inline constexpr std::uint16_t protocol_version = 1;
/// Layout: 4 bytes payload length, 2 bytes version, 2 zero bytes; little-endian.
inline constexpr std::size_t frame_header_bytes = 8;
/// Limit for the payload; larger than any snapshot chunk or page.
inline constexpr std::size_t max_payload_bytes = 16 * 1024 * 1024;

/// Header of one frame.
struct frame_header {
    std::uint32_t length = 0; ///< Of the payload, in bytes.
    std::uint16_t version = 0;
};

/// Returns the frame of @p message, header included.
[[nodiscard]] std::string encode_frame(const envelope_t& message);

/// Decodes the header in the first `frame_header_bytes` of @p bytes.
/// @param why set to `unknown_version` or `malformed_frame` when none is returned; otherwise its
/// value has no meaning.
/// @return the header, or none when it is too short, of another version, or of a length that is 0
/// or above `max_payload_bytes`.
[[nodiscard]] std::optional<frame_header> decode_header(std::string_view bytes, core::reason& why);

/// Decodes the envelope in the payload of a frame; returns none when verification fails.
[[nodiscard]] std::optional<envelope_t> decode_payload(std::string_view payload);

/// Encodes any table of the schema.
template <class Native>
[[nodiscard]] std::string encode_table(const Native& value)
{
    using table = typename Native::TableType;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(table::Pack(builder, &value));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// Decodes a table; returns none when verification of @p bytes fails.
template <class Native>
[[nodiscard]] std::optional<Native> decode_table(std::string_view bytes)
{
    using table = typename Native::TableType;
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    constexpr std::size_t max_depth = 64;
    constexpr std::size_t max_tables = 4'000'000;
    flatbuffers::Verifier verifier{data, bytes.size(), max_depth, max_tables};
    if (!verifier.VerifyBuffer<table>(nullptr)) {
        return std::nullopt;
    }
    Native value;
    flatbuffers::GetRoot<table>(data)->UnPackTo(&value);
    return value;
}

} // namespace siskindrift::wire
