// Framing of the inner protocol: a fixed header, then one FlatBuffers envelope.
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

inline constexpr std::uint16_t protocol_version = 1;
inline constexpr std::size_t frame_header_bytes = 8;             // length, version, zero
inline constexpr std::size_t max_frame_bytes = 16 * 1024 * 1024; // above any snapshot chunk or page

/// Header of one frame.
struct frame_header {
    std::uint32_t length = 0;
    std::uint16_t version = 0;
};

/// Returns the frame of @p message, header included.
[[nodiscard]] std::string encode_frame(const envelope_t& message);

/// Returns the header in the first `frame_header_bytes` of @p bytes.
/// @param why receives `unknown_version` or `malformed_frame` when none is returned.
[[nodiscard]] std::optional<frame_header> decode_header(std::string_view bytes, core::reason& why);

/// Returns the envelope in the payload of a frame, or none when it does not verify.
[[nodiscard]] std::optional<envelope_t> decode_payload(std::string_view payload);

/// Returns the encoded form of any table of the schema.
template <class Native>
[[nodiscard]] std::string encode_table(const Native& value)
{
    using table = typename Native::TableType;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(table::Pack(builder, &value));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// Returns the decoded table, or none when @p bytes do not verify.
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
